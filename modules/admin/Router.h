#pragma once

#include "admin/AdminBackend.h"
#include "admin/AdminServer.h"
#include "core/Error.h"
#include "json/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace figchute::admin {

/** One request as it came in. */
struct AdminRequest
{
  std::string method;
  /** The path without the query. */
  std::string path;
  /** The text after the question mark. */
  std::string query;
  /** The value of the header Authorization; empty when there is none. */
  std::string authorization;
  std::string body;
};

/** Checks the keys and parameters of requests and hands them to the backend. It does no I/O.
    Thread safety: every method is safe from several threads if the backend is. */
class Router
{
public:
  /** Creates a router.
      @param options  the keys; both are not empty
      @param backend  answers the requests; it must outlive the router */
  Router(const AdminOptions& options, AdminBackend& backend);

  /** Answers one request.
      @returns the JSON for status 200; `unauthenticated` without a known key, `forbidden` with the
               key of the other kind of client, `not_found` for another path or method,
               `bad_request` for bad parameters, or an error of the backend */
  Expected<json::Value> route(const AdminRequest& request) const;

  /** Checks the key of a request for its path, before the body is read.
      @returns nothing, or `unauthenticated` or `forbidden` */
  [[nodiscard]] Expected<void> checkKey(const AdminRequest& request) const;

private:
  using Segments = std::vector<std::string_view>;

  [[nodiscard]] Expected<json::Value> routeDocuments(const AdminRequest& request,
                                                     const Segments& segments) const;
  [[nodiscard]] Expected<json::Value> apply(const AdminRequest& request,
                                            const std::string& team) const;
  [[nodiscard]] Expected<json::Value> routeReport(const AdminRequest& request,
                                                  std::string_view report) const;
  [[nodiscard]] Expected<json::Value> routeChange(const AdminRequest& request,
                                                  std::string_view target) const;
  [[nodiscard]] Expected<json::Value> changeMembers(const AdminRequest& request) const;
  [[nodiscard]] Expected<json::Value> retire(const AdminRequest& request) const;
  [[nodiscard]] Expected<json::Value> announce(const AdminRequest& request) const;

  std::string operatorKey_;
  std::string endpointKey_;
  AdminBackend& backend_;
};

} // namespace figchute::admin
