#include "admin/Router.h"

#include "admin/Parameters.h"

#include <algorithm>
#include <array>

namespace figchute::admin {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kAnnouncePath = "/v1/announce";

struct ReportRoute
{
  std::string_view name;
  Expected<json::Value> (AdminBackend::*handler)();
};

constexpr std::array<ReportRoute, 7> kReportRoutes{ {
  { "spend", &AdminBackend::spend },
  { "service", &AdminBackend::service },
  { "endpoints", &AdminBackend::endpoints },
  { "versions", &AdminBackend::versions },
  { "members", &AdminBackend::members },
  { "dump", &AdminBackend::dump },
  { "metrics", &AdminBackend::metrics },
} };

std::vector<std::string_view> split(std::string_view path)
{
  std::vector<std::string_view> segments;
  while (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    segments.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return segments;
}

tl::unexpected<Error> routeNotFound(const AdminRequest& request)
{
  return fail(ErrorKind::notFound,
              "no route for " + request.method.substr(0, 16) + " " + request.path.substr(0, 128));
}

} // namespace

Router::Router(const AdminOptions& options, AdminBackend& backend)
  : operatorKey_(options.operatorKey)
  , endpointKey_(options.endpointKey)
  , backend_(backend)
{
}

Expected<void> Router::checkKey(const AdminRequest& request) const
{
  const std::string_view header = request.authorization;
  const auto isBearer = header.substr(0, kBearer.size()) == kBearer;
  const auto key = isBearer ? header.substr(kBearer.size()) : std::string_view();
  // Both comparisons are always made, so that the response time does not reveal the kind of key.
  const auto isOperator = equalsSecret(key, operatorKey_);
  const auto isEndpoint = equalsSecret(key, endpointKey_);
  if (!isOperator && !isEndpoint) {
    return fail(ErrorKind::unauthenticated, "the header Authorization has no valid bearer key");
  }
  const auto isAnnouncement = request.path == kAnnouncePath;
  if (isAnnouncement != isEndpoint) {
    return fail(ErrorKind::forbidden,
                isAnnouncement ? "announcements need the endpoint key"
                               : "this path needs the operator key");
  }
  return {};
}

Expected<json::Value> Router::route(const AdminRequest& request) const
{
  if (const auto keyCheck = checkKey(request); !keyCheck) {
    return tl::unexpected<Error>(keyCheck.error());
  }
  const auto segments = split(request.path);
  if (segments.size() < 2 || segments[0] != "v1") {
    return routeNotFound(request);
  }
  if (segments[1] == "documents") {
    return routeDocuments(request, segments);
  }
  if (segments.size() > 2) {
    return routeNotFound(request);
  }
  if (request.method == "GET") {
    return routeReport(request, segments[1]);
  }
  return request.method == "POST" ? routeChange(request, segments[1]) : routeNotFound(request);
}

Expected<json::Value> Router::routeDocuments(const AdminRequest& request,
                                             const Segments& segments) const
{
  const auto isHistory = segments.size() == 4 && segments[3] == "history";
  if (segments.size() != 3 && !isHistory) {
    return routeNotFound(request);
  }
  const std::string team(segments[2]);
  if (!isName(team)) {
    return fail(ErrorKind::badRequest, "\"" + team.substr(0, 64) + "\" is not a valid team name");
  }
  if (request.method == "POST" && !isHistory) {
    return apply(request, team);
  }
  if (request.method != "GET") {
    return routeNotFound(request);
  }
  if (const auto query = parseQuery(request.query, {}); !query) {
    return tl::unexpected<Error>(query.error());
  }
  return isHistory ? backend_.history(team) : backend_.showDocument(team);
}

Expected<json::Value> Router::apply(const AdminRequest& request, const std::string& team) const
{
  auto query = parseQuery(request.query, { "base", "change" });
  if (!query) {
    return tl::unexpected<Error>(query.error());
  }
  const auto base = parseUnsigned((*query)["base"]);
  if (!base) {
    return fail(ErrorKind::badRequest,
                "query parameter base = \"" + (*query)["base"] + "\": expected a version number");
  }
  const auto& change = (*query)["change"];
  if (!isChangeId(change)) {
    return fail(ErrorKind::badRequest,
                "query parameter change = \"" + change.substr(0, 64) +
                  "\": expected 1 to 128 visible ASCII characters");
  }
  if (request.body.empty()) {
    return fail(ErrorKind::badRequest, "the request body is empty; expected a document");
  }
  return backend_.applyDocument(ApplyRequest{ team, *base, change, request.body });
}

Expected<json::Value> Router::routeReport(const AdminRequest& request,
                                          std::string_view reportName) const
{
  const auto* const routeIt =
    std::find_if(kReportRoutes.begin(), kReportRoutes.end(), [&](const ReportRoute& reportRoute) {
      return reportRoute.name == reportName;
    });
  if (routeIt == kReportRoutes.end()) {
    return routeNotFound(request);
  }
  if (const auto query = parseQuery(request.query, {}); !query) {
    return tl::unexpected<Error>(query.error());
  }
  return (backend_.*routeIt->handler)();
}

Expected<json::Value> Router::routeChange(const AdminRequest& request,
                                          std::string_view target) const
{
  if (target == "members") {
    return changeMembers(request);
  }
  if (target == "retire") {
    return retire(request);
  }
  return target == "announce" ? announce(request) : routeNotFound(request);
}

Expected<json::Value> Router::changeMembers(const AdminRequest& request) const
{
  const auto query = parseQuery(request.query, { "add", "remove" });
  if (!query) {
    return tl::unexpected<Error>(query.error());
  }
  if (query->size() != 1 || !isName(query->begin()->second)) {
    return fail(ErrorKind::badRequest, "expected add=ID or remove=ID with the id of a process");
  }
  const auto& [operation, process] = *query->begin();
  return operation == "add" ? backend_.addMember(process) : backend_.removeMember(process);
}

Expected<json::Value> Router::retire(const AdminRequest& request) const
{
  const auto query = parseQuery(request.query, { "process" });
  if (!query) {
    return tl::unexpected<Error>(query.error());
  }
  if (query->empty() || !isName(query->begin()->second)) {
    return fail(ErrorKind::badRequest, "expected process=ID with the id of a process");
  }
  return backend_.retire(query->begin()->second);
}

Expected<json::Value> Router::announce(const AdminRequest& request) const
{
  const auto value = json::parse(request.body);
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  const auto announcement = parseAnnouncement(*value);
  if (!announcement) {
    return tl::unexpected<Error>(announcement.error());
  }
  return backend_.announce(*announcement);
}

} // namespace figchute::admin
