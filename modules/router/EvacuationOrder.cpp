#include "router/EvacuationOrder.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace figchute::router {

Expected<EvacuationOrder> parseEvacuationOrder(const http::RequestHead& head,
                                               std::string_view body,
                                               std::string_view path,
                                               std::span<const ZoneId> knownZones,
                                               const fleet::EvacuationStore& evacuations)
{
  const bool isActive = head.method == "POST";
  if (!isActive && head.method != "DELETE") {
    return fail(ErrorKind::methodNotAllowed, "POST evacuates a zone, DELETE returns it to service");
  }
  const auto name = std::string_view(head.target).substr(path.size());
  if (!fleet::isZoneName(name)) {
    return fail(ErrorKind::badRequest,
                fmt::format("the path has to end with the name of a zone, 1 to {} letters, digits, "
                            "'-', '_', '.' and ':', without a query",
                            fleet::kMaxZoneName));
  }
  if (!body.empty()) {
    return fail(ErrorKind::badRequest, "an evacuation order has no body");
  }
  const ZoneId zone{ std::string(name) };
  const bool isKnown = knownZones.empty() ||
                       std::find(knownZones.begin(), knownZones.end(), zone) != knownZones.end() ||
                       (!isActive && evacuations.contains(zone));
  if (!isKnown) {
    return fail(ErrorKind::badRequest, fmt::format("unknown zone {}", zone.value));
  }
  return EvacuationOrder{ zone, isActive };
}

} // namespace figchute::router
