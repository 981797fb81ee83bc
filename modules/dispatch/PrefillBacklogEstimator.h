#pragma once

#include "core/Types.h"

#include <cstdint>

namespace figchute::dispatch {

/** Estimates how busy an engine is with prefill from the gaps between the events of this process's
    streams.

    Engines interleave prefill with decoding, so prefill lengthens the decode steps of all streams
    of an engine. This includes prompts sent by other processes, which no load report shows.
    Thread safety: use one instance from one thread only. */
class PrefillBacklogEstimator
{
public:
  /** Records the first event of a stream. */
  void streamStarted(Time now);

  /** Records the end of a stream. */
  void streamEnded() { --openStreams_; }

  /** Records tokens received from a stream.
      @param sinceLast  time since the previous tokens of the same stream */
  void tokensReceived(Time now, Duration sinceLast, std::int64_t tokens);

  /** Returns the estimated time until the prefill in progress is done. */
  [[nodiscard]] Duration backlog(Time now) const;

private:
  [[nodiscard]] double prefillShareAt(Time now) const;

  int openStreams_ = 0;
  Time lastEventAt_;
  /** Shortest step time in the window that starts at windowStart_. */
  double minStepMicros_ = 0;
  Time windowStart_;
  Time slowUntil_;
  /** Share of the step time spent on prefill, 0 to 1, at prefillShareUpdatedAt_. */
  double prefillShare_ = 0;
  Time prefillShareUpdatedAt_;
};

} // namespace figchute::dispatch
