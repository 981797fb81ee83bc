#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace figchute::dispatch {

/** The recent distribution of the prompt sizes of this process's requests.
    Thread safety: use one instance from one thread only. */
class RequestSizes
{
public:
  RequestSizes();

  /** Adds a request. */
  void add(Time now, std::int64_t promptTokens);

  /** Returns the prompt size above which requests arrive at about a given rate; 0 if all of them
      together are not more frequent.
      @param requestsPerSecond  at least 0 */
  [[nodiscard]] std::int64_t sizeExceededAt(Time now, double requestsPerSecond) const;

private:
  /** Two buckets for each doubling, up to 2^20 tokens. */
  static constexpr std::size_t kBuckets = 41;

  static std::size_t bucketOf(std::int64_t promptTokens);

  std::array<routing::DecayedSum, kBuckets> requests_;
};

} // namespace figchute::dispatch
