#include "Standin.h"

#include "gateway/JsonText.h"
#include "Session.h"
#include "json/json.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <sys/resource.h>

namespace figchute::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using gateway::jsonQuote;

constexpr std::chrono::milliseconds kTickInterval(100);
constexpr std::uint64_t kTicksPerAnnouncement = 10;

[[noreturn]] void crash()
{
  // Core files of deliberate crashes would fill the disk.
  const rlimit noCore{ 0, 0 };
  setrlimit(RLIMIT_CORE, &noCore);
  std::abort();
}

/** Sends one announcement on a separate connection. */
class AnnounceCall : public std::enable_shared_from_this<AnnounceCall>
{
public:
  AnnounceCall(asio::io_context& io, std::uint64_t& acceptedCount, std::uint64_t& failedCount)
    : stream_(io)
    , acceptedCount_(acceptedCount)
    , failedCount_(failedCount)
  {
  }

  void start(const Address& address, std::string key, std::string body)
  {
    request_.method(http::verb::post);
    request_.target("/v1/announce");
    request_.version(11);
    request_.set(http::field::host, address.host);
    request_.set(http::field::content_type, "application/json");
    request_.set(http::field::authorization, "Bearer " + std::move(key));
    request_.set(http::field::connection, "close");
    request_.body() = std::move(body);
    request_.prepare_payload();
    beast::error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    if (error) {
      ++failedCount_;
      return;
    }
    stream_.expires_after(std::chrono::seconds(1));
    stream_.async_connect({ ip, address.port }, [self = shared_from_this()](beast::error_code ec) {
      if (ec) {
        ++self->failedCount_;
        return;
      }
      self->send();
    });
  }

private:
  void send()
  {
    http::async_write(
      stream_, request_, [self = shared_from_this()](beast::error_code ec, std::size_t) {
        if (ec) {
          ++self->failedCount_;
          return;
        }
        self->receive();
      });
  }

  void receive()
  {
    http::async_read(
      stream_, buffer_, response_, [self = shared_from_this()](beast::error_code ec, std::size_t) {
        const bool accepted = !ec && self->response_.result_int() < 300;
        ++(accepted ? self->acceptedCount_ : self->failedCount_);
      });
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  HttpRequest request_;
  http::response<http::string_body> response_;
  std::uint64_t& acceptedCount_;
  std::uint64_t& failedCount_;
};

JsonResponse errorResponse(int status, std::string_view message)
{
  return { status, fmt::format(R"({{"error":{{"message":{}}}}})", jsonQuote(message)) };
}

} // namespace

Standin::Standin(asio::io_context& io, Options options)
  : io_(io)
  , options_(std::move(options))
  , acceptor_(io)
  , tickTimer_(io)
  , slots_(options_.slots)
{
}

std::uint16_t Standin::start()
{
  const tcp::endpoint listenEndpoint(asio::ip::make_address(options_.listen.host),
                                     options_.listen.port);
  acceptor_.open(listenEndpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listenEndpoint);
  acceptor_.listen(4096);
  options_.listen.port = acceptor_.local_endpoint().port();
  accept();
  tick();
  return options_.listen.port;
}

void Standin::accept()
{
  acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<Session>(std::move(socket), *this)->start();
    }
    accept();
  });
}

void Standin::tick()
{
  history_.add(LoadHistory::Clock::now(), slots_.load());
  if (ticks_++ % kTicksPerAnnouncement == 0) {
    announce();
  }
  tickTimer_.expires_after(kTickInterval);
  tickTimer_.async_wait([this](beast::error_code error) {
    if (!error) {
      tick();
    }
  });
}

void Standin::announce()
{
  for (const auto& address : options_.announceTo) {
    announceTo(address);
  }
}

void Standin::announceTo(const Address& address)
{
  std::make_shared<AnnounceCall>(io_, announcementsAccepted_, announcementsFailed_)
    ->start(address, options_.endpointKey, announcement());
}

std::string Standin::announcement() const
{
  std::string servedWork;
  if (options_.kind == "model") {
    for (const auto& model : options_.models) {
      servedWork += (servedWork.empty() ? "" : ",") + jsonQuote(model);
    }
    servedWork = "\"models\":[" + servedWork + "]";
  } else {
    servedWork = "\"service\":" + jsonQuote(options_.service);
  }
  const auto load = history_.loadAt(LoadHistory::Clock::now() - options_.reportLag);
  return fmt::format(R"({{"id":{},"address":"{}:{}","zone":{},"kind":"{}",{},"slots":{},)"
                     R"("running":{},"waiting":{},"checks_fencing":{},"leaving":{}}})",
                     jsonQuote(options_.id),
                     options_.listen.host,
                     options_.listen.port,
                     jsonQuote(options_.zone),
                     options_.kind,
                     servedWork,
                     options_.slots,
                     load.running,
                     load.waiting,
                     options_.checksFencing,
                     isLeaving_);
}

std::string Standin::nextResponseId(std::string_view requestId)
{
  if (crossedResponsesLeft_ == 0) {
    return std::string(requestId);
  }
  --crossedResponsesLeft_;
  return "crossed-" + std::string(requestId);
}

void Standin::crashIfRequested(std::string_view body) const
{
  const auto& crashText = options_.crashOnPrompt;
  if (!crashText.empty() && body.find(crashText) != std::string_view::npos) {
    crash();
  }
}

std::optional<JsonResponse> Standin::rejectOldFencing(const HttpRequest& request)
{
  const auto fencingField = request.find("X-Fencing");
  const bool isOrder = request.method() == http::verb::post && request.target() == "/orders";
  if (!isOrder || fencingField == request.end()) {
    return std::nullopt;
  }
  std::uint64_t fencing = 0;
  const auto text = fencingField->value();
  const auto [end, error] = std::from_chars(text.begin(), text.end(), fencing);
  if (error != std::errc{} || end != text.end()) {
    return errorResponse(400, "X-Fencing is not a number");
  }
  if (options_.checksFencing && fencing < highestFencing_) {
    return errorResponse(409, fmt::format("fencing {} is below {}", fencing, highestFencing_));
  }
  highestFencing_ = std::max(highestFencing_, fencing);
  return std::nullopt;
}

JsonResponse Standin::runPlain(const HttpRequest& request)
{
  if (auto refusal = rejectOldFencing(request)) {
    return *refusal;
  }
  const RunKey key{ std::string(request.method_string()),
                    std::string(request.target()),
                    request.body() };
  const auto count = ++runs_[key];
  return { 200,
           fmt::format(R"({{"endpoint":{},"target":{},"runs":{}}})",
                       jsonQuote(options_.id),
                       jsonQuote(key.target),
                       count) };
}

JsonResponse Standin::handleControl(const HttpRequest& request)
{
  if (request.method() == http::verb::post && request.target() == "/standin") {
    return executeCommand(request.body());
  }
  if (request.target() == "/standin/runs") {
    return { 200, runsJson() };
  }
  if (request.target() == "/standin/state") {
    return { 200, stateJson() };
  }
  return errorResponse(404, "unknown control path");
}

JsonResponse Standin::executeCommand(std::string_view body)
{
  const auto parsed = json::parse(body);
  const auto* name = parsed ? parsed->find("command") : nullptr;
  if (name == nullptr || name->asString() == nullptr) {
    return errorResponse(400, R"(expected {"command": NAME})");
  }
  const auto integerParameter = [&](const char* key, std::int64_t fallback) {
    const auto* value = parsed->find(key);
    const auto integer = value == nullptr ? std::nullopt : value->asInteger();
    return integer.value_or(fallback);
  };
  const auto& commandName = *name->asString();
  if (commandName == "crash") {
    crash();
  }
  if (commandName == "silent") {
    ++silenceEpoch_;
  } else if (commandName == "late") {
    responseDelay_ = std::chrono::milliseconds(integerParameter("ms", 0));
  } else if (commandName == "crossed") {
    crossedResponsesLeft_ = static_cast<std::uint64_t>(integerParameter("count", 1));
  } else if (commandName == "leave") {
    isLeaving_ = true;
    announce();
  } else if (commandName == "crash_on_prompt") {
    const auto* text = parsed->find("text");
    if (text == nullptr || text->asString() == nullptr) {
      return errorResponse(400, "crash_on_prompt requires text");
    }
    options_.crashOnPrompt = *text->asString();
  } else {
    return errorResponse(400, "unknown command: " + commandName);
  }
  return { 200, R"({"done":true})" };
}

std::string Standin::runsJson() const
{
  std::string rows;
  for (const auto& [key, count] : runs_) {
    rows += fmt::format(R"({}{{"method":"{}","target":{},"body":{},"count":{}}})",
                        rows.empty() ? "" : ",",
                        key.method,
                        jsonQuote(key.target),
                        jsonQuote(key.body),
                        count);
  }
  return "{\"runs\":[" + rows + "]}";
}

std::string Standin::stateJson() const
{
  const auto load = slots_.load();
  return fmt::format(R"({{"id":{},"running":{},"waiting":{},"leaving":{},"announced":{},)"
                     R"("announce_failures":{},"highest_fencing":{}}})",
                     jsonQuote(options_.id),
                     load.running,
                     load.waiting,
                     isLeaving_,
                     announcementsAccepted_,
                     announcementsFailed_,
                     highestFencing_);
}

} // namespace figchute::standin
