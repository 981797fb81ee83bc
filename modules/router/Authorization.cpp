#include "router/Authorization.h"

#include <string_view>

namespace figchute::router {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

} // namespace

const fleet::WorkspaceSettings* workspaceOf(const fleet::RouteTable& table,
                                            const http::Fields& fields)
{
  const auto authorization = fields.get("Authorization");
  if (fields.count("Authorization") != 1 || authorization.size() <= kBearerPrefix.size() ||
      !http::equalsIgnoreCase(authorization.substr(0, kBearerPrefix.size()), kBearerPrefix)) {
    return nullptr;
  }
  return table.workspaceOf(authorization.substr(kBearerPrefix.size()));
}

} // namespace figchute::router
