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

cxxtools::Milliseconds toCxxtools(std::chrono::milliseconds time)
{
  return cxxtools::Milliseconds(static_cast<double>(time.count()));
}

std::string nameOf(const ServerAddress& server)
{
  const auto isV6 = server.ip.find(':') != std::string::npos;
  return (isV6 ? "[" + server.ip + "]" : server.ip) + ":" + std::to_string(server.port);
}

std::string textOf(const json::Value& body, const char* member)
{
  const auto* error = body.find("error");
  const auto* value = error != nullptr ? error->find(member) : nullptr;
  const auto* text = value != nullptr ? value->asString() : nullptr;
  return text != nullptr ? *text : std::string();
}

// cxxtools ends the text of every fault of a connection with the category of the exception.
std::string withoutSuffix(std::string text, const std::string& suffix)
{
  const auto at = text.rfind(suffix);
  if (at != std::string::npos && at + suffix.size() == text.size()) {
    text.resize(at);
  }
  return text;
}

// Answers of these kinds say that another server or a later time may serve the request.
const ErrorTraits* findPassingError(const ClientResponse& answer)
{
  const auto* traits = findErrorTraits(answer.error);
  return traits != nullptr && traits->retry != RetryAdvice::never ? traits : nullptr;
}

void fill(cxxtools::http::Request& http, const ClientRequest& request, const std::string& key)
{
  http.method(request.method);
  http.setHeader("Authorization", ("Bearer " + key).c_str());
  http.body() << request.body;
}

} // namespace

/** What came of sending a request to one server. */
struct AdminClient::Attempt
{
  std::optional<ClientResponse> answer;
  /** Whether a server may have got the request. */
  bool isSent = false;
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
    // cxxtools sends qparams() with GET only, so the query goes into the URL.
    const auto query = request.query.empty() ? std::string() : "?" + request.query;
    cxxtools::http::Request http(request.path + query);
    fill(http, request, options_.key);
    const auto& header =
      client.execute(http, toCxxtools(options_.answerTimeout), toCxxtools(options_.connectTimeout));
    attempt.isSent = true;
    client.readBody();
    ClientResponse answer;
    answer.status = header.httpReturnCode();
    auto body = json::parse(client.body());
    if (!body) {
      attempt.failure = "the answer is not JSON: " + body.error().detail;
      return attempt;
    }
    answer.body = std::move(*body);
    if (answer.status != 200) {
      answer.error = textOf(answer.body, "type");
      answer.message = textOf(answer.body, "message");
    }
    attempt.answer = std::move(answer);
  } catch (const std::exception& e) {
    attempt.failure = withoutSuffix(e.what(), ": iostream error");
    // cxxtools has one exception type for all faults of a connection. A text that is not known is
    // taken as a request that was sent.
    attempt.isSent = attempt.failure.find("failed to connect") == std::string::npos;
  }
  return attempt;
}

Expected<ClientResponse> AdminClient::send(const ClientRequest& request)
{
  auto kind = ErrorKind::noEndpoint;
  std::string failures;
  for (unsigned round = 0; round < options_.maxRounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(options_.pause);
    }
    failures.clear();
    for (const auto& server : options_.servers) {
      auto attempt = sendTo(server, request);
      const auto* passing = attempt.answer ? findPassingError(*attempt.answer) : nullptr;
      if (attempt.answer && passing == nullptr) {
        return std::move(*attempt.answer);
      }
      if (passing != nullptr) {
        kind = passing->kind;
        attempt.failure = attempt.answer->error + ": " + attempt.answer->message;
      } else if (attempt.isSent && kind == ErrorKind::noEndpoint) {
        kind = ErrorKind::outcomeUnknown;
      }
      failures += (failures.empty() ? "" : "; ") + nameOf(server) + ": " + attempt.failure;
    }
  }
  return fail(kind, failures);
}

std::string escapeQuery(const std::string& text)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const auto c : text) {
    const auto isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~') {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kDigits[byte >> 4U];
    escaped += kDigits[byte & 15U];
  }
  return escaped;
}

} // namespace figchute::admin
