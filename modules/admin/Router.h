#pragma once

#include "admin/AdminBackend.h"
#include "admin/AdminServer.h"
#include "core/Error.h"
#include "json/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace figchute::admin {

/** A received request. */
struct AdminRequest
{
  std::string method;
  /** The path without the query. */
  std::string path;
  /** The text after the question mark. */
  std::string query;
  /** The value of the Authorization header; empty if there is none. */
  std::string authorization;
  std::string body;
};

/** Validates the keys and parameters of requests and passes them to the backend. Performs no I/O.
    Thread safety: every method is safe from several threads if the backend is. */
class Router
{
public:
  /** Creates a router.
      @param options  the keys; both must not be empty
      @param backend  handles the requests; must outlive the router */
  Router(const AdminOptions& options, AdminBackend& backend);

  /** Handles a request.
      @returns the JSON for status 200; `unauthenticated` without a valid key, `forbidden` with the
               key of the other kind of client, `not_found` for an unknown path or method,
               `bad_request` for invalid parameters, or an error of the backend */
  Expected<json::Value> route(const AdminRequest& request) const;

  /** Checks whether the key of a request permits access to its path, before the body is read.
      @returns nothing, or `unauthenticated` or `forbidden` */
  [[nodiscard]] Expected<void> checkKey(const AdminRequest& request) const;

private:
  using Segments = std::vector<std::string_view>;

  [[nodiscard]] Expected<json::Value> routeDocuments(const AdminRequest& request,
                                                     const Segments& segments) const;
  [[nodiscard]] Expected<json::Value> apply(const AdminRequest& request,
                                            const std::string& team) const;
  [[nodiscard]] Expected<json::Value> routeReport(const AdminRequest& request,
                                                  std::string_view reportName) const;
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
