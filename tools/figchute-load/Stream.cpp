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
constexpr std::string_view kDataPrefix = "data: ";

} // namespace

Stream::Stream(asio::io_context& io,
               const Options& options,
               Results& results,
               RequestSource requestSource)
  : socket_(io)
  , timer_(io)
  , options_(options)
  , results_(results)
  , requestSource_(std::move(requestSource))
{
}

void Stream::start(std::chrono::milliseconds delay)
{
  if (delay.count() == 0) {
    startNextRequest();
    return;
  }
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->startNextRequest();
    }
  });
}

void Stream::stop()
{
  isStopped_ = true;
  isReceiving_ = false;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void Stream::startNextRequest()
{
  const auto requestNumber = isStopped_ ? std::nullopt : requestSource_();
  if (!requestNumber) {
    stop();
    return;
  }
  requestNumber_ = *requestNumber;
  isConnected_ ? sendRequest() : connect();
}

void Stream::connect()
{
  restartTimer();
  sentAt_ = Clock::now();
  const asio::ip::tcp::endpoint target(asio::ip::make_address(options_.host), options_.port);
  socket_.async_connect(target, [self = shared_from_this()](error_code error) {
    if (self->isStopped_) {
      return;
    }
    if (error) {
      self->fail("connect");
      return;
    }
    self->isConnected_ = true;
    error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->sendRequest();
  });
}

std::string Stream::requestText() const
{
  std::string prompt = fmt::format("request {} ", requestNumber_);
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
                     requestNumber_,
                     body.size(),
                     body);
}

void Stream::sendRequest()
{
  request_ = requestText();
  receivedBytes_.clear();
  eventText_.clear();
  tokenCount_ = 0;
  endReceived_ = false;
  streamError_.clear();
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);
  isReceiving_ = true;
  restartTimer();
  sentAt_ = Clock::now();
  asio::async_write(socket_,
                    asio::buffer(request_),
                    [self = shared_from_this()](error_code error, std::size_t /*count*/) {
                      if (self->isStopped_) {
                        return;
                      }
                      error ? self->fail("send") : self->receive();
                    });
}

void Stream::receive()
{
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](error_code error, std::size_t count) {
                            if (self->isStopped_ || !self->isReceiving_) {
                              return;
                            }
                            error ? self->fail("cut") : self->onBytesReceived(count);
                          });
}

void Stream::onBytesReceived(std::size_t count)
{
  restartTimer();
  receivedBytes_.append(buffer_.data(), count);
  while (!receivedBytes_.empty() && !parser_->is_done()) {
    error_code error;
    const auto consumedBytes = parser_->put(asio::buffer(receivedBytes_), error);
    receivedBytes_.erase(0, consumedBytes);
    if (error && error != http::error::need_more) {
      fail("malformed");
      return;
    }
    if (error == http::error::need_more || consumedBytes == 0) {
      break;
    }
  }
  if (parser_->is_header_done() && parser_->get().result_int() == 200) {
    processBody();
  }
  parser_->is_done() ? onResponseComplete() : receive();
}

/** Processes the complete events received so far and removes them from the buffer. */
void Stream::processBody()
{
  eventText_ += parser_->get().body();
  parser_->get().body().clear();
  std::size_t start = 0;
  for (auto end = eventText_.find(kEventEnd); end != std::string::npos;
       end = eventText_.find(kEventEnd, start)) {
    const auto event = std::string_view(eventText_).substr(start, end - start);
    if (event.starts_with(kDataPrefix)) {
      processEvent(event.substr(kDataPrefix.size()));
    }
    start = end + kEventEnd.size();
  }
  eventText_.erase(0, start);
}

void Stream::processEvent(std::string_view data)
{
  constexpr std::string_view kContentPrefix = R"("content":")";
  constexpr std::string_view kErrorTypePrefix = R"({"error":{"type":")";
  if (data == "[DONE]") {
    endReceived_ = true;
    return;
  }
  if (data.starts_with(kErrorTypePrefix)) {
    const auto type = data.substr(kErrorTypePrefix.size());
    streamError_ = type.substr(0, type.find('"'));
    return;
  }
  const auto contentStart = data.find(kContentPrefix);
  const bool isToken = contentStart != std::string_view::npos &&
                       !data.substr(contentStart + kContentPrefix.size()).starts_with('"');
  if (!isToken) {
    return;
  }
  const auto now = Clock::now();
  const auto elapsedMs =
    Results::Milliseconds(now - (tokenCount_ == 0 ? sentAt_ : lastTokenAt_)).count();
  (tokenCount_ == 0 ? results_.firstTokenMs : results_.gapMs).push_back(elapsedMs);
  lastTokenAt_ = now;
  ++tokenCount_;
  ++results_.tokens;
}

void Stream::onResponseComplete()
{
  isReceiving_ = false;
  const auto& response = parser_->get();
  if (response.result_int() != 200) {
    const auto kind = response["X-Figchute-Error"];
    const auto status = "http_" + std::to_string(response.result_int());
    ++results_.errors[kind.empty() ? status : std::string(kind)];
  } else if (!endReceived_) {
    ++results_.errors["no_stream_end"];
  } else {
    ++results_.completed;
  }
  if (!response.keep_alive()) {
    error_code ignored;
    socket_.close(ignored);
    isConnected_ = false;
  }
  startNextRequest();
}

void Stream::fail(const std::string& kind)
{
  isReceiving_ = false;
  isConnected_ = false;
  ++results_.errors[streamError_.empty() ? kind : "stream_" + streamError_];
  error_code ignored;
  socket_.close(ignored);
  // Pauses, so that a target that is down does not cause a busy loop.
  timer_.expires_after(std::chrono::milliseconds(10));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->startNextRequest();
    }
  });
}

void Stream::restartTimer()
{
  timer_.expires_after(options_.timeout);
  timer_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->isStopped_) {
      self->fail("timeout");
    }
  });
}

} // namespace figchute::load
