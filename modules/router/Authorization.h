#pragma once

#include "fleet/RouteTable.h"
#include "http/Head.h"

namespace figchute::router {

/** Returns the workspace whose API key a request contains, or nullptr if it contains none or an
    unknown one. The result is valid as long as the table.
    Thread safety: safe from any thread. */
[[nodiscard]] const fleet::WorkspaceSettings* workspaceOf(const fleet::RouteTable& table,
                                                          const http::Fields& fields);

} // namespace figchute::router
