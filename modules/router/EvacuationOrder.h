#pragma once

#include "core/core.h"
#include "fleet/EvacuationStore.h"
#include "http/Head.h"

#include <span>
#include <string_view>

namespace figchute::router {

/** An order of an operator to evacuate an availability zone, or to return it to service. */
struct EvacuationOrder
{
  ZoneId zone;
  bool active = false;
};

/** The value of the Allow field in responses with status 405 to calls of orders. */
constexpr std::string_view kEvacuationOrderMethods = "POST, DELETE";

/** Parses an order.
    @param head         the head of the request, whose target begins with @p path
    @param body         the body, which has to be empty
    @param path         ApiPaths::evacuations
    @param knownZones   the zones of the settings; any zone is known if there are none
    @param evacuations  the evacuated zones as known here; these can be returned to service even if
                        the settings no longer name them
    @returns method_not_allowed or bad_request
    Thread safety: safe from any thread. */
Expected<EvacuationOrder> parseEvacuationOrder(const http::RequestHead& head,
                                               std::string_view body,
                                               std::string_view path,
                                               std::span<const ZoneId> knownZones,
                                               const fleet::EvacuationStore& evacuations);

} // namespace figchute::router
