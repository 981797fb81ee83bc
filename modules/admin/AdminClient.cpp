#include "admin/AdminClient.h"

#include "core/ErrorKind.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>
#include <exception>
#include <optional>
#include <thread>

namespace figchute::admin {
namespace {

cxxtools::Milliseconds toCxxtoolsTime(std::chrono::milliseconds time)
{
  return cxxtools::Milliseconds(static_cast<double>(time.count()));
}

std::string formatAddress(const ServerAddress& server)
{
  const auto isV6 = server.ip.find(':') != std::string::npos;
  return (isV6 ? "[" + server.ip + "]" : server.ip) + ":" + std::to_string(server.port);
}

std::string findErrorText(const json::Value& body, const char* member)
{
  const auto* error = body.find("error");
  const auto* value = error != nullptr ? error->find(member) : nullptr;
  const auto* text = value != nullptr ? value->asString() : nullptr;
  return text != nullptr ? *text : std::string();
}

// cxxtools appends the category of the exception to the text of every connection error.
std::string withoutSuffix(std::string text, const std::string& suffix)
{
  const auto suffixOffset = text.rfind(suffix);
  if (suffixOffset != std::string::npos && suffixOffset + suffix.size() == text.size()) {
    text.resize(suffixOffset);
  }
  return text;
}

// Returns the traits of an error after which another server or a later attempt may serve the
// request; otherwise null.
const ErrorTraits* findRetryableError(const ClientResponse& response)
{
  const auto* traits = findErrorTraits(response.error);
  return traits != nullptr && traits->retry != RetryAdvice::never ? traits : nullptr;
}

void fillRequest(cxxtools::http::Request& httpRequest,
                 const ClientRequest& request,
                 const std::string& key)
{
  httpRequest.method(request.method);
  httpRequest.setHeader("Authorization", ("Bearer " + key).c_str());
  httpRequest.body() << request.body;
}

} // namespace

/** The result of sending a request to one server. */
struct AdminClient::Attempt
{
  std::optional<ClientResponse> response;
  /** True if the server may have received the request. */
  bool isPossiblySent = false;
  std::string failure;
};

AdminClient::AdminClient(ClientOptions options)
  : options_(std::move(options))
{
}

AdminClient::Attempt AdminClient::sendTo(const ServerAddress& server,
                                         const ClientRequest& request) const
{
  Attempt attempt;
  try {
    cxxtools::http::Client client(server.ip, server.port);
    // cxxtools sends qparams() only with GET, so the query is part of the URL.
    const auto query = request.query.empty() ? std::string() : "?" + request.query;
    cxxtools::http::Request httpRequest(request.path + query);
    fillRequest(httpRequest, request, options_.key);
    const auto& header = client.execute(httpRequest,
                                        toCxxtoolsTime(options_.responseTimeout),
                                        toCxxtoolsTime(options_.connectTimeout));
    attempt.isPossiblySent = true;
    client.readBody();
    ClientResponse response;
    response.status = header.httpReturnCode();
    auto body = json::parse(client.body());
    if (!body) {
      attempt.failure = "the response is not valid JSON: " + body.error().detail;
      return attempt;
    }
    response.body = std::move(*body);
    if (response.status != 200) {
      response.error = findErrorText(response.body, "type");
      response.message = findErrorText(response.body, "message");
    }
    attempt.response = std::move(response);
  } catch (const std::exception& exception) {
    attempt.failure = withoutSuffix(exception.what(), ": iostream error");
    // cxxtools has a single exception type for all connection errors. Any other error text is
    // treated as a request that was sent.
    attempt.isPossiblySent = attempt.failure.find("failed to connect") == std::string::npos;
  }
  return attempt;
}

Expected<ClientResponse> AdminClient::send(const ClientRequest& request)
{
  auto errorKind = ErrorKind::noEndpoint;
  std::string failures;
  for (unsigned round = 0; round < options_.maxRounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(options_.roundDelay);
    }
    failures.clear();
    for (const auto& server : options_.servers) {
      auto attempt = sendTo(server, request);
      const auto* retryableError =
        attempt.response ? findRetryableError(*attempt.response) : nullptr;
      if (attempt.response && retryableError == nullptr) {
        return std::move(*attempt.response);
      }
      if (retryableError != nullptr) {
        errorKind = retryableError->kind;
        attempt.failure = attempt.response->error + ": " + attempt.response->message;
      } else if (attempt.isPossiblySent && errorKind == ErrorKind::noEndpoint) {
        errorKind = ErrorKind::outcomeUnknown;
      }
      failures += (failures.empty() ? "" : "; ") + formatAddress(server) + ": " + attempt.failure;
    }
  }
  return fail(errorKind, failures);
}

std::string escapeQuery(const std::string& text)
{
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const auto c : text) {
    const auto isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~') {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kHexDigits[byte >> 4U];
    escaped += kHexDigits[byte & 15U];
  }
  return escaped;
}

} // namespace figchute::admin
