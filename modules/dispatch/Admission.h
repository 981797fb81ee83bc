#pragma once

#include "core/Types.h"

#include <cstddef>

namespace figchute::dispatch {

/** How full one endpoint may be for a request, and when it has room again.

    An engine queues three times its slots and orders its queue by priority. The less urgent a
    request is, the smaller the part of the queue that it may fill, so that urgent work finds room.
    Requests of small workspaces may fill as much as the most urgent ones.
    Thread safety: safe from any thread. */
struct Admission
{
  int priority = 5;
  bool smallWorkspace = true;

  /** Returns the running and waiting requests from which on an engine counts as full. */
  [[nodiscard]] double engineLimit(int slots) const;

  /** Returns the part of this process's connections to an endpoint that the request may use.
      @param share  connections of this process, at least 1 */
  [[nodiscard]] std::size_t connectionLimit(std::size_t share) const;

  /** Returns when an endpoint is likely to have room.
      @param load         its running and waiting requests
      @param limit        from engineLimit(), or the slots
      @param slots        requests that it runs at once
      @param serviceTime  mean time that a request keeps a slot */
  [[nodiscard]] static Duration roomAfter(double load,
                                          double limit,
                                          int slots,
                                          Duration serviceTime);
};

} // namespace figchute::dispatch
