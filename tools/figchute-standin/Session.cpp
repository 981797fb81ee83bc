#include "Session.h"

#include "gateway/JsonText.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace figchute::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using gateway::jsonQuote;

constexpr std::size_t kMaxBodyBytes = 64U * 1024 * 1024;

bool isChat(const HttpRequest& request)
{
  return request.method() == http::verb::post && request.target() == "/v1/chat/completions";
}

} // namespace

Session::Session(asio::ip::tcp::socket socket, Standin& standin)
  : socket_(std::move(socket))
  , standin_(standin)
  , timer_(socket_.get_executor())
  , silenceEpoch_(standin.silenceEpoch())
{
  beast::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Session::start()
{
  readRequest();
}

void Session::readRequest()
{
  answering_ = false;
  answerEnded_ = false;
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  http::async_read(
    socket_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      if (error) {
        self->close();
        return;
      }
      self->handle();
    });
}

void Session::handle()
{
  request_ = parser_->release();
  answering_ = true;
  const auto id = request_.find("X-Request-Id");
  answerId_ = id == request_.end() ? "" : standin_.answerId(std::string(id->value()));
  if (request_.target().starts_with("/standin")) {
    // The reply to a command is sent even when the command silences open connections.
    const auto reply = standin_.control(request_);
    silenceEpoch_ = standin_.silenceEpoch();
    sendWhole(reply);
    return;
  }
  standin_.crashIfMarked(request_.body());
  if (standin_.lateness().count() == 0) {
    answer();
    return;
  }
  timer_.expires_after(standin_.lateness());
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (!error) {
      self->answer();
    }
  });
}

void Session::answer()
{
  if (request_.target() == "/healthz") {
    sendWhole({ 200, R"({"status":"ok"})" });
  } else if (standin_.options().kind == "model") {
    answerChat();
  } else {
    sendWhole(standin_.runPlain(request_));
  }
}

void Session::sendWhole(const WholeReply& reply)
{
  const auto reason = http::obsolete_reason(http::int_to_status(unsigned(reply.status)));
  send(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                   "{}{}{}\r\n{}",
                   reply.status,
                   std::string_view(reason.data(), reason.size()),
                   reply.body.size(),
                   answerId_.empty() ? "" : "X-Request-Id: ",
                   answerId_,
                   answerId_.empty() ? "" : "\r\n",
                   reply.body));
  endAnswer();
}

void Session::answerChat()
{
  if (!isChat(request_)) {
    sendWhole({ 404, R"({"error":{"message":"a model endpoint has /v1/chat/completions only"}})" });
    return;
  }
  auto [prompt, fault] = readPrompt(request_.body());
  if (!fault.empty()) {
    sendWhole({ 400, fmt::format(R"({{"error":{{"message":{}}}}})", jsonQuote(fault)) });
    return;
  }
  prompt_ = std::move(prompt);
  generation_ = generate(prompt_, standin_.options().answerTokens);
  nextToken_ = 0;
  watchForClose();
  ticket_ = standin_.slots().take(prompt_.priority, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      asio::post(self->socket_.get_executor(), [self] { self->startGeneration(); });
    }
  });
}

void Session::startGeneration()
{
  if (closed_) {
    return;
  }
  timer_.expires_after(standin_.options().firstToken);
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (error || self->closed_) {
      return;
    }
    self->nextTokenAt_ = Clock::now();
    if (self->prompt_.stream) {
      self->sendHead();
    }
    self->sendTokens();
  });
}

void Session::sendHead()
{
  send(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n{}{}{}\r\n",
                   answerId_.empty() ? "" : "X-Request-Id: ",
                   answerId_,
                   answerId_.empty() ? "" : "\r\n"));
  sendChunk(
    chunk(R"({"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null})", true));
}

std::string Session::chunk(const std::string& choices, bool withUsage) const
{
  const auto usage = fmt::format(R"(,"usage":{{"prompt_tokens":{},"completion_tokens":{},)"
                                 R"("total_tokens":{}}})",
                                 generation_.promptTokens,
                                 nextToken_,
                                 generation_.promptTokens + static_cast<std::int64_t>(nextToken_));
  return fmt::format(R"(data: {{"id":"chatcmpl-{}","object":"chat.completion.chunk","created":0,)"
                     R"("model":{},"choices":[{}]{}}})"
                     "\n\n",
                     answerId_,
                     jsonQuote(prompt_.model),
                     choices,
                     withUsage ? usage : "");
}

/** Waits until the next token is due. */
void Session::scheduleToken()
{
  const auto rate = standin_.options().tokensPerSecond;
  if (rate > 0) {
    nextTokenAt_ +=
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / rate));
  }
  timer_.expires_at(nextTokenAt_);
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (!error && !self->closed_) {
      self->sendTokens();
    }
  });
}

/** Sends the next token; the last one is followed by the end of the answer. */
void Session::sendTokens()
{
  if (nextToken_ == generation_.tokens.size()) {
    prompt_.stream ? sendTail() : sendWholeChat();
    return;
  }
  const auto& token = generation_.tokens[nextToken_++];
  if (prompt_.stream) {
    sendChunk(chunk(fmt::format(R"({{"index":0,"delta":{{"content":{}}},"finish_reason":null}})",
                                jsonQuote(token)),
                    false));
  }
  scheduleToken();
}

void Session::sendTail()
{
  sendChunk(chunk(
    fmt::format(R"({{"index":0,"delta":{{}},"finish_reason":"{}"}})", generation_.finishReason),
    true));
  sendChunk("data: [DONE]\n\n");
  send("0\r\n\r\n");
  leaveSlot();
  endAnswer();
}

void Session::sendWholeChat()
{
  std::string text;
  for (const auto& token : generation_.tokens) {
    text += token;
  }
  leaveSlot();
  const auto promptTokens = generation_.promptTokens;
  const auto count = static_cast<std::int64_t>(generation_.tokens.size());
  sendWhole({ 200,
              fmt::format(R"({{"id":"chatcmpl-{}","object":"chat.completion","created":0,)"
                          R"("model":{},"choices":[{{"index":0,"message":{{"role":"assistant",)"
                          R"("content":{}}},"finish_reason":"{}"}}],"usage":{{"prompt_tokens":{},)"
                          R"("completion_tokens":{},"total_tokens":{}}}}})",
                          answerId_,
                          jsonQuote(prompt_.model),
                          jsonQuote(text),
                          generation_.finishReason,
                          promptTokens,
                          count,
                          promptTokens + count) });
}

void Session::sendChunk(const std::string& event)
{
  send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
}

void Session::send(const std::string& bytes)
{
  if (isSilent() || closed_) {
    return;
  }
  outbox_ += bytes;
  if (writing_.empty()) {
    write();
  }
}

void Session::write()
{
  writing_.swap(outbox_);
  asio::async_write(socket_,
                    asio::buffer(writing_),
                    [self = shared_from_this()](beast::error_code error, std::size_t) {
                      self->writing_.clear();
                      if (error) {
                        self->close();
                        return;
                      }
                      if (!self->outbox_.empty()) {
                        self->write();
                      } else if (self->answerEnded_) {
                        self->endAnswer();
                      }
                    });
}

/** Ends a chat answer early when its caller closes the connection. */
void Session::watchForClose()
{
  if (watching_) {
    return;
  }
  watching_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](beast::error_code error) {
                       self->watching_ = false;
                       if (error || self->closed_ || !self->answering_) {
                         return;
                       }
                       beast::error_code failed;
                       if (self->socket_.available(failed) == 0 || failed) {
                         self->close();
                       }
                     });
}

/** Goes on to the next request once all bytes are written. */
void Session::endAnswer()
{
  answerEnded_ = true;
  if (isSilent()) {
    stayOpen();
    return;
  }
  if (closed_ || !writing_.empty()) {
    return;
  }
  if (!request_.keep_alive()) {
    close();
    return;
  }
  readRequest();
}

/** Keeps a silent connection open until its caller closes it. */
void Session::stayOpen()
{
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                            error ? self->close() : self->stayOpen();
                          });
}

void Session::leaveSlot()
{
  if (ticket_) {
    standin_.slots().release(*ticket_);
    ticket_.reset();
  }
}

void Session::close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  leaveSlot();
  timer_.cancel();
  beast::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_both, ignored);
  socket_.close(ignored);
}

} // namespace figchute::standin
