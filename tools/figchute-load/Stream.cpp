#include "Stream.h"

#include "gateway/JsonText.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

namespace figchute::load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kData = "data: ";

} // namespace

Stream::Stream(asio::io_context& io, const Options& options, Results& results, Source source)
  : socket_(io)
  , timer_(io)
  , options_(options)
  , results_(results)
  , source_(std::move(source))
{
}

void Stream::start()
{
  next();
}

void Stream::stop()
{
  stopped_ = true;
  receiving_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void Stream::next()
{
  const auto number = stopped_ ? std::nullopt : source_();
  if (!number) {
    stop();
    return;
  }
  number_ = *number;
  connected_ ? sendRequest() : connect();
}

void Stream::connect()
{
  restartTimer();
  sentAt_ = Clock::now();
  const asio::ip::tcp::endpoint target(asio::ip::make_address(options_.host), options_.port);
  socket_.async_connect(target, [self = shared_from_this()](error_code error) {
    if (self->stopped_) {
      return;
    }
    if (error) {
      self->fail("connect");
      return;
    }
    self->connected_ = true;
    error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->sendRequest();
  });
}

std::string Stream::requestText() const
{
  std::string prompt = fmt::format("request {} ", number_);
  prompt.resize(std::max(prompt.size(), static_cast<std::size_t>(options_.promptBytes)), 'x');
  const auto body = fmt::format(R"({{"model":{},"stream":true,"max_tokens":{},"messages":)"
                                R"([{{"role":"user","content":{}}}]}})",
                                gateway::jsonQuote(options_.model),
                                options_.maxTokens,
                                gateway::jsonQuote(prompt));
  const auto authorization =
    options_.key.empty() ? "" : fmt::format("Authorization: Bearer {}\r\n", options_.key);
  return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: {}\r\n{}"
                     "Content-Type: application/json\r\nX-Request-Id: load-{}\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     options_.host,
                     authorization,
                     number_,
                     body.size(),
                     body);
}

void Stream::sendRequest()
{
  request_ = requestText();
  input_.clear();
  events_.clear();
  tokens_ = 0;
  sawEnd_ = false;
  streamError_.clear();
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);
  receiving_ = true;
  restartTimer();
  sentAt_ = Clock::now();
  asio::async_write(socket_,
                    asio::buffer(request_),
                    [self = shared_from_this()](error_code error, std::size_t /*count*/) {
                      if (self->stopped_) {
                        return;
                      }
                      error ? self->fail("send") : self->receive();
                    });
}

void Stream::receive()
{
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](error_code error, std::size_t count) {
                            if (self->stopped_ || !self->receiving_) {
                              return;
                            }
                            error ? self->fail("cut") : self->onBytes(count);
                          });
}

void Stream::onBytes(std::size_t count)
{
  restartTimer();
  input_.append(buffer_.data(), count);
  while (!input_.empty() && !parser_->is_done()) {
    error_code error;
    const auto used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
      fail("malformed");
      return;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  if (parser_->is_header_done() && parser_->get().result_int() == 200) {
    takeBody();
  }
  parser_->is_done() ? onComplete() : receive();
}

/** Takes the complete events out of what was received so far. */
void Stream::takeBody()
{
  events_ += parser_->get().body();
  parser_->get().body().clear();
  std::size_t start = 0;
  for (auto end = events_.find(kEventEnd); end != std::string::npos;
       end = events_.find(kEventEnd, start)) {
    const auto event = std::string_view(events_).substr(start, end - start);
    if (event.starts_with(kData)) {
      takeEvent(event.substr(kData.size()));
    }
    start = end + kEventEnd.size();
  }
  events_.erase(0, start);
}

void Stream::takeEvent(std::string_view data)
{
  constexpr std::string_view kContent = R"("content":")";
  constexpr std::string_view kErrorType = R"({"error":{"type":")";
  if (data == "[DONE]") {
    sawEnd_ = true;
    return;
  }
  if (data.starts_with(kErrorType)) {
    const auto type = data.substr(kErrorType.size());
    streamError_ = type.substr(0, type.find('"'));
    return;
  }
  const auto content = data.find(kContent);
  const bool isToken =
    content != std::string_view::npos && !data.substr(content + kContent.size()).starts_with('"');
  if (!isToken) {
    return;
  }
  const auto now = Clock::now();
  const auto since = Results::Milliseconds(now - (tokens_ == 0 ? sentAt_ : lastTokenAt_)).count();
  (tokens_ == 0 ? results_.firstTokenMs : results_.gapMs).push_back(since);
  lastTokenAt_ = now;
  ++tokens_;
  ++results_.tokens;
}

void Stream::onComplete()
{
  receiving_ = false;
  const auto& head = parser_->get();
  if (head.result_int() != 200) {
    const auto kind = head["X-Figchute-Error"];
    const auto status = "http_" + std::to_string(head.result_int());
    ++results_.errors[kind.empty() ? status : std::string(kind)];
  } else if (!sawEnd_) {
    ++results_.errors["no_stream_end"];
  } else {
    ++results_.completed;
  }
  if (!head.keep_alive()) {
    error_code ignored;
    socket_.close(ignored);
    connected_ = false;
  }
  next();
}

void Stream::fail(const std::string& kind)
{
  receiving_ = false;
  connected_ = false;
  ++results_.errors[streamError_.empty() ? kind : "stream_" + streamError_];
  error_code ignored;
  socket_.close(ignored);
  // Pauses, so that a target that is down does not make a busy loop.
  timer_.expires_after(std::chrono::milliseconds(10));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->next();
    }
  });
}

void Stream::restartTimer()
{
  timer_.expires_after(options_.timeout);
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->stopped_) {
      self->fail("timeout");
    }
  });
}

} // namespace figchute::load
