#include "gateway/ErrorResponse.h"

#include "gateway/JsonText.h"

namespace figchute::gateway {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

std::string retryAfterSeconds(Duration delay)
{
  const auto seconds = (delay + kSecond - Duration(1)) / kSecond;
  return std::to_string(seconds < 1 ? 1 : seconds);
}

std::string errorBody(const Error& error, const ErrorTraits& traits, const RequestId& request)
{
  std::string body = R"({"error":{"type":)";
  appendJsonString(body, traits.name);
  body += R"(,"message":)";
  appendJsonString(body, error.detail);
  body += R"(,"ran":)";
  appendJsonString(body, toString(traits.ran));
  body += R"(,"retry":)";
  appendJsonString(body, toString(traits.retry));
  if (!request.empty()) {
    body += R"(,"request_id":)";
    appendJsonString(body, request.view());
  }
  body += "}}";
  return body;
}

} // namespace

ErrorResponse makeErrorResponse(const Error& error,
                                std::optional<Duration> retryDelay,
                                const RequestId& request)
{
  const auto& traits = errorTraits(error.kind);
  ErrorResponse response;
  response.status = traits.httpStatus;
  response.headers = { { "Content-Type", "application/json" },
                       { "X-Figchute-Error", std::string(traits.name) },
                       { "X-Figchute-Ran", std::string(toString(traits.ran)) } };
  if (traits.retry != RetryAdvice::never) {
    const auto delay = retryDelay.value_or(Duration(traits.retryAfter));
    response.headers.push_back({ "Retry-After", retryAfterSeconds(delay) });
  }
  response.body = errorBody(error, traits, request);
  return response;
}

} // namespace figchute::gateway
