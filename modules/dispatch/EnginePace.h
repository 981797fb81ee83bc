#pragma once

#include "core/Types.h"

#include <cstdint>

namespace figchute::dispatch {

/** Tells from the pauses between events of own streams how busy an engine is with reading prompts.

    Reading is interleaved with decoding, so it stretches the steps of all streams there, also while
    the prompts are those of other processes, which no load report shows.
    Thread safety: use one instance from one thread only. */
class EnginePace
{
public:
  /** A stream had its first event. */
  void streamBegan(Time now);

  /** A stream ended. */
  void streamEnded() { --streams_; }

  /** Tokens of a stream came.
      @param sinceLast  time since the last tokens of this stream */
  void tokensCame(Time now, Duration sinceLast, std::int64_t tokens);

  /** Returns the estimated time that the reading which is under way takes. */
  [[nodiscard]] Duration backlog(Time now) const;

private:
  [[nodiscard]] double busyAt(Time now) const;

  int streams_ = 0;
  Time heardAt_;
  /** Shortest step time of the window that began at windowFrom_. */
  double shortestStep_ = 0;
  Time windowFrom_;
  Time slowUntil_;
  /** Part of the step time spent on reading, 0 to 1, at busyFrom_. */
  double busy_ = 0;
  Time busyFrom_;
};

} // namespace figchute::dispatch
