#pragma once

#include "fleet/StreamOrigin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace figchute::fleet {

/** The origins of recent streams, in memory.
    Thread safety: use one instance from one thread only. */
class StreamOriginStore
{
public:
  /** Longer than any stream lasts, including the requests that take it up again. */
  static constexpr Duration kRetention = std::chrono::seconds(120);
  /** The oldest origins are dropped when there are more. */
  static constexpr std::size_t kMaxOrigins = 100'000;

  /** Adds an origin. If the same stream has another origin already, neither is known from then on:
      the caller used one request id for two streams. */
  void add(Time now, const StreamOrigin& origin);

  /** Returns the origin of a stream, or nothing if it is unknown. */
  [[nodiscard]] std::optional<StreamOrigin> find(Fingerprint stream) const;

  /** Returns whether a stream was added with two origins. */
  [[nodiscard]] bool isAmbiguous(Fingerprint stream) const;

  /** Removes origins that are older than kRetention. */
  void expire(Time now);

  [[nodiscard]] std::size_t size() const { return origins_.size(); }

private:
  struct Entry
  {
    StreamOrigin origin;
    Time addedAt;
    bool isAmbiguous = false;
  };

  struct Addition
  {
    Time at;
    Fingerprint stream = 0;
  };

  void removeOldest();

  std::unordered_map<Fingerprint, Entry> origins_;
  /** Oldest first. A stream that was added again has several entries. */
  std::deque<Addition> additions_;
};

} // namespace figchute::fleet
