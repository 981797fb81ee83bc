#pragma once

#include "dispatch/dispatch.h"
#include "fleet/RouteTable.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "router/Dialect.h"
#include "json/json.h"

#include <string>

namespace figchute::router {

/** The path at the metrics address of an entry process that explains a request. */
inline constexpr std::string_view kExplanationPath = "/v1/explain";

/** The state of an entry process that decides where a request goes. */
struct PlacementState
{
  /** Null before the first configuration. */
  const fleet::RouteTable* table = nullptr;
  const Dialect& dialect;
  dispatch::Dispatcher& dispatcher;
  const ledger::QuotaManager& quotaManager;
  /** How long the network link allows no new connection. */
  Duration acceptDelay{ 0 };
};

/** Explains where a request would go now and why, without sending or counting it.
    @param fields  the fields of the request to explain; Authorization holds the API key of the
                   caller, and the fields of the prompt are those of the dialect
    @param body    JSON object with the strings "host" and "path" of the request to explain
    @returns the explanation; badRequest for a malformed body or prompt, notFound for an unknown
             route, unauthenticated for an unknown key, overloaded before the first configuration
    Thread safety: use it on the thread of the event loop only. */
Expected<json::Value> explainRequest(Time now,
                                     const PlacementState& state,
                                     const http::Fields& fields,
                                     std::string_view body);

} // namespace figchute::router
