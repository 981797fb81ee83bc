#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "routing/DecayedSum.h"

#include <cstddef>
#include <unordered_map>

namespace figchute::dispatch {

/** Measures how much prefill the requests of each shared prompt prefix cause in this process.
    Thread safety: use one instance from one thread only. */
class PrefixPrefillRates
{
public:
  /** Adds a request.
      @param prefix   key of its shared prefix
      @param prefill  time to prefill the tokens after the prefix */
  void add(Time now, Fingerprint prefix, Duration prefill);

  /** Returns the number of engines that a prefix should be placed on: two, or more if its requests
      would overload two.
      @param prefix        key of the prefix
      @param trafficShare  this process's share of all requests, above 0 */
  [[nodiscard]] std::size_t preferredEngineCount(Time now,
                                                 Fingerprint prefix,
                                                 double trafficShare) const;

  /** Returns the seconds per second that the requests of this process with a prefix take. */
  [[nodiscard]] double perSecond(Time now, Fingerprint prefix) const;

private:
  void prune(Time now);

  /** Seconds of prefill by key of the prefix. */
  std::unordered_map<Fingerprint, routing::DecayedSum> prefillSeconds_;
};

} // namespace figchute::dispatch
