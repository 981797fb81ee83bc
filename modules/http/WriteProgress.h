#pragma once

#include "core/core.h"

#include <cstdint>

namespace figchute::http::detail {

/** Measures how long the peer of a connection has taken no bytes. The bytes that the peer's system
    has acknowledged are the measure: a socket reports that it is writable again only when a
    third of its buffer is free, which takes minutes if it holds megabytes for a slow peer.
    Thread safety: use one instance from one thread only. */
class WriteProgress
{
public:
  /** Starts measuring; has no effect while it is running.
      @param acknowledgedBytes  the bytes acknowledged since the connection began */
  void start(Duration now, std::int64_t acknowledgedBytes)
  {
    if (isRunning_)
      return;
    isRunning_ = true;
    acknowledgedBytes_ = acknowledgedBytes;
    progressAt_ = now;
  }

  void stop() { isRunning_ = false; }

  [[nodiscard]] bool isRunning() const { return isRunning_; }

  /** Records the bytes that have been acknowledged up to now.
      @returns the time since the last check, or since the start, that found progress */
  Duration update(Duration now, std::int64_t acknowledgedBytes)
  {
    if (acknowledgedBytes > acknowledgedBytes_) {
      acknowledgedBytes_ = acknowledgedBytes;
      progressAt_ = now;
    }
    return now - progressAt_;
  }

private:
  std::int64_t acknowledgedBytes_ = 0;
  Duration progressAt_{};
  bool isRunning_ = false;
};

} // namespace figchute::http::detail
