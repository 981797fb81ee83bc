#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "routing/DecayedSum.h"

#include <cstddef>
#include <unordered_map>

namespace figchute::dispatch {

/** How much reading the requests of each subject cause, as this process sees it.
    Thread safety: use one instance from one thread only. */
class SubjectRates
{
public:
  /** Adds a request. @param reading  time to read what is not shared */
  void add(Time now, Fingerprint subject, Duration reading);

  /** Returns the engines that a subject needs: two, more for one whose requests would keep two
     busy.
      @param share  part of all requests that this process gets, above 0 */
  [[nodiscard]] std::size_t homes(Time now, Fingerprint subject, double share) const;

private:
  void prune(Time now);

  /** Seconds of reading by subject. */
  std::unordered_map<Fingerprint, routing::DecayedSum> readings_;
};

} // namespace figchute::dispatch
