#include "router/RequestExplanation.h"

#include "router/Authorization.h"
#include "router/RequestDescription.h"
#include "router/WorkspaceBudgets.h"

#include <fmt/format.h>

namespace figchute::router {
namespace {

/** Returns a member of type string, or nullptr. */
const std::string* findText(const json::Value& value, std::string_view name)
{
  const auto* member = value.find(name);
  return member != nullptr ? member->asString() : nullptr;
}

json::Value describeBudget(const PlacementState& state, const dispatch::RequestInfo& info)
{
  const Tokens bound{ info.promptTokens + info.maxOutputTokens };
  auto value = json::Value::object({ { "bound", bound.count } });
  const auto account = state.quotaManager.account(budgetOf(info.workspace));
  if (!account) {
    return value.set("decision", "a grant is requested: this process holds nothing");
  }
  value.set("available", account->available.count);
  value.set("reserved", account->reserved.count);
  value.set("reserve", account->reserve.count);
  value.set("unlockable", account->unlockable.count);
  if (account->free) {
    value.set("free", account->free->count);
    value.set("held_by_others", account->heldByOthers.value_or(Tokens{}).count);
  }
  return value.set("decision",
                   account->available >= bound ? "admitted at once" : "a grant is requested");
}

json::Value describeEndpoint(const dispatch::EndpointExplanation& endpoint, bool isChosen)
{
  auto value = json::Value::object({ { "endpoint", endpoint.endpoint.value },
                                     { "zone", endpoint.zone.value },
                                     { "chosen", isChosen },
                                     { "obstacle", std::string(toString(endpoint.obstacle)) },
                                     { "load", fmt::format("{:.1f}", endpoint.load) },
                                     { "own", fmt::format("{:.0f}", endpoint.ownRequests) } });
  value.set("report_age_ms",
            endpoint.reportAge ? std::to_string(toMillis(*endpoint.reportAge)) : std::string("-"));
  if (endpoint.predictedTtft) {
    value.set("first_token_ms", std::to_string(toMillis(*endpoint.predictedTtft)));
    value.set("penalty_ms", std::to_string(toMillis(endpoint.penalty)));
    value.set("uncached_tokens", std::to_string(endpoint.uncachedTokens));
    value.set("speed", fmt::format("{:.2f}", endpoint.speed));
  }
  return value;
}

json::Value describePlacement(const dispatch::Explanation& explanation)
{
  auto endpoints = json::Value::array();
  for (const auto& endpoint : explanation.endpoints) {
    endpoints.push(describeEndpoint(endpoint, explanation.chosen == endpoint.endpoint));
  }
  return endpoints;
}

} // namespace

Expected<json::Value> explainRequest(Time now,
                                     const PlacementState& state,
                                     const http::Fields& fields,
                                     std::string_view body)
{
  const auto query = json::parse(body);
  const auto* const host = query ? findText(*query, "host") : nullptr;
  const auto* const path = query ? findText(*query, "path") : nullptr;
  if (host == nullptr || path == nullptr) {
    return fail(ErrorKind::badRequest, "the body is no JSON object with host and path");
  }
  if (state.table == nullptr) {
    return fail(ErrorKind::overloaded, "no configuration has been received yet");
  }
  const auto* const route = state.table->match(*host, *path);
  if (route == nullptr) {
    return fail(ErrorKind::notFound, "no route matches host and path");
  }
  const auto* const workspace =
    state.table->configuration().hasWorkspaces ? workspaceOf(*state.table, fields) : nullptr;
  if (state.table->configuration().hasWorkspaces && workspace == nullptr && !route->open) {
    return fail(ErrorKind::unauthenticated, "the API key is unknown");
  }
  const auto prompt = state.dialect.parsePrompt(fields);
  if (!prompt) {
    return tl::unexpected(prompt.error());
  }
  auto info = describeRequest(now, *route, workspace, *prompt, route->timeout);
  info.service =
    fleet::RouteTable::pickService(*route, fields.get(state.dialect.fields().requestId));
  const auto explanation = state.dispatcher.explain(now, info);
  auto result = json::Value::object(
    { { "route", route->name },
      { "workspace", info.workspace },
      { "rank", info.priority },
      { "target_ms", toMillis(info.target) },
      { "timeout_ms", toMillis(route->timeout) },
      { "service", info.service.value },
      { "link_accept_delay_ms", toMillis(state.acceptDelay) },
      { "endpoint", explanation.chosen ? explanation.chosen->value : std::string("-") } });
  if (explanation.refusal) {
    result.set("refusal", explanation.refusal->detail);
    result.set("retry_after_ms", toMillis(explanation.refusal->retryAfter));
  }
  if (workspace != nullptr && workspace->prepaid) {
    result.set("budget", describeBudget(state, info));
  }
  return result.set("endpoints", describePlacement(explanation));
}

} // namespace figchute::router
