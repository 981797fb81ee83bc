#include "router/ErrorResponse.h"

#include "json/json.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::router {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);

std::string errorBody(const Error& error)
{
  const auto name = errorTraits(error.kind).name;
  return json::dump(json::Value::object(
    { { "error", json::Value::object({ { "type", name }, { "message", error.detail } }) } }));
}

} // namespace

bool guaranteesNotExecuted(int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

http::HeadRefusal makeErrorResponse(const Error& error, Duration retryAfter)
{
  const auto& traits = errorTraits(error.kind);
  http::ResponseHead head;
  head.status = traits.httpStatus;
  head.fields.add("Content-Type", "application/json");
  head.fields.add("X-Figchute-Error", std::string(traits.name));
  if (guaranteesNotExecuted(head.status) && traits.retry != RetryAdvice::never) {
    const auto wait = std::max(kMinRetryAfter, retryAfter);
    head.fields.add("Retry-After", fmt::format("{:.3f}", static_cast<double>(wait.count()) / 1e6));
  }
  return { std::move(head), errorBody(error) };
}

int sendErrorResponse(http::ServerRequest& request,
                      const Error& error,
                      Duration retryAfter,
                      std::string_view allow)
{
  auto response = makeErrorResponse(error, retryAfter);
  if (!allow.empty()) {
    response.head.fields.add("Allow", std::string(allow));
  }
  request.respond(response.head, response.body);
  return response.head.status;
}

void sendJsonResponse(http::ServerRequest& request, std::string_view body)
{
  http::ResponseHead head;
  head.fields.add("Content-Type", "application/json");
  request.respond(head, body);
}

} // namespace figchute::router
