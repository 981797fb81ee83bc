#pragma once

#include "core/Types.h"

#include <cstddef>

namespace figchute::dispatch {

/** Admission limits of one request: how much load an endpoint may have to accept it, and when an
    endpoint over its limit is expected to accept requests again.

    An engine queues up to three times its number of slots and orders its queue by priority. The
    less urgent a request is, the smaller the part of the queue it may fill, so that urgent requests
    still find space. Requests of small workspaces get the same limits as the most urgent ones.
    Thread safety: safe from any thread. */
struct Admission
{
  int priority = 5;
  bool smallWorkspace = true;

  /** Returns the number of running and waiting requests at which an engine counts as full. */
  [[nodiscard]] double maxEngineLoad(int slots) const;

  /** Returns how many of this process's connections to an endpoint the request may use.
      @param processLimit  maximum connections of this process to the endpoint, at least 1 */
  [[nodiscard]] std::size_t connectionLimit(std::size_t processLimit) const;

  /** Returns the expected time until an endpoint accepts the request.
      @param load         running and waiting requests of the endpoint
      @param limit        result of maxEngineLoad(), or the number of slots
      @param slots        number of requests that the endpoint runs at once
      @param serviceTime  mean time that a request occupies a slot */
  [[nodiscard]] static Duration timeUntilCapacity(double load,
                                                  double limit,
                                                  int slots,
                                                  Duration serviceTime);
};

} // namespace figchute::dispatch
