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
  isResponding_ = false;
  isResponseComplete_ = false;
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
  isResponding_ = true;
  const auto idField = request_.find("X-Request-Id");
  responseId_ =
    idField == request_.end() ? "" : standin_.nextResponseId(std::string(idField->value()));
  if (request_.target().starts_with("/standin")) {
    // The response to a command is sent even if the command silences open connections.
    const auto response = standin_.handleControl(request_);
    silenceEpoch_ = standin_.silenceEpoch();
    sendJson(response);
    return;
  }
  standin_.crashIfRequested(request_.body());
  if (standin_.responseDelay().count() == 0) {
    respond();
    return;
  }
  timer_.expires_after(standin_.responseDelay());
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (!error) {
      self->respond();
    }
  });
}

void Session::respond()
{
  if (request_.target() == "/healthz") {
    sendJson({ 200, R"({"status":"ok"})" });
  } else if (standin_.options().kind == "model") {
    respondToChat();
  } else {
    sendJson(standin_.runPlain(request_));
  }
}

void Session::sendJson(const JsonResponse& response)
{
  const auto reason = http::obsolete_reason(http::int_to_status(unsigned(response.status)));
  send(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                   "{}{}{}\r\n{}",
                   response.status,
                   std::string_view(reason.data(), reason.size()),
                   response.body.size(),
                   responseId_.empty() ? "" : "X-Request-Id: ",
                   responseId_,
                   responseId_.empty() ? "" : "\r\n",
                   response.body));
  finishResponse();
}

void Session::respondToChat()
{
  if (!isChat(request_)) {
    sendJson(
      { 404, R"({"error":{"message":"a model endpoint supports only /v1/chat/completions"}})" });
    return;
  }
  auto [prompt, errorMessage] = readPrompt(request_.body());
  if (!errorMessage.empty()) {
    sendJson({ 400, fmt::format(R"({{"error":{{"message":{}}}}})", jsonQuote(errorMessage)) });
    return;
  }
  prompt_ = std::move(prompt);
  generation_ = Generation(prompt_, standin_.options().answerTokens);
  responseText_.clear();
  watchForDisconnect();
  slotTicket_ = standin_.slots().acquire(prompt_.priority, [weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      asio::post(self->socket_.get_executor(), [self] { self->startGeneration(); });
    }
  });
}

void Session::startGeneration()
{
  if (isClosed_) {
    return;
  }
  timer_.expires_after(standin_.options().firstTokenDelay);
  timer_.async_wait([self = shared_from_this()](beast::error_code error) {
    if (error || self->isClosed_) {
      return;
    }
    self->nextTokenAt_ = Clock::now();
    if (self->prompt_.isStreamed) {
      self->sendStreamHead();
    }
    self->sendToken();
  });
}

void Session::sendStreamHead()
{
  send(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n{}{}{}\r\n",
                   responseId_.empty() ? "" : "X-Request-Id: ",
                   responseId_,
                   responseId_.empty() ? "" : "\r\n"));
  sendChunk(makeChunkEvent(
    R"({"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null})", true));
}

std::string Session::usageJson() const
{
  const auto promptTokens = generation_.promptTokens();
  const auto completionTokens = generation_.completionTokens();
  return fmt::format(R"("usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
                     promptTokens,
                     completionTokens,
                     promptTokens + completionTokens);
}

std::string Session::makeChunkEvent(const std::string& choices, bool withUsage) const
{
  const auto usage = withUsage ? "," + usageJson() : "";
  return fmt::format(R"(data: {{"id":"chatcmpl-{}","object":"chat.completion.chunk","created":0,)"
                     R"("model":{},"choices":[{}]{}}})"
                     "\n\n",
                     responseId_,
                     jsonQuote(prompt_.model),
                     choices,
                     usage);
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
    if (!error && !self->isClosed_) {
      self->sendToken();
    }
  });
}

/** Sends the next token, or the end of the response after the last token. */
void Session::sendToken()
{
  const auto token = generation_.next();
  if (!token) {
    prompt_.isStreamed ? sendStreamEnd() : sendCompleteChat();
    return;
  }
  if (prompt_.isStreamed) {
    sendChunk(
      makeChunkEvent(fmt::format(R"({{"index":0,"delta":{{"content":{}}},"finish_reason":null}})",
                                 jsonQuote(*token)),
                     false));
  } else {
    responseText_ += *token;
  }
  scheduleToken();
}

void Session::sendStreamEnd()
{
  sendChunk(makeChunkEvent(
    fmt::format(R"({{"index":0,"delta":{{}},"finish_reason":"{}"}})", generation_.finishReason()),
    true));
  sendChunk("data: [DONE]\n\n");
  send("0\r\n\r\n");
  releaseSlot();
  finishResponse();
}

void Session::sendCompleteChat()
{
  releaseSlot();
  sendJson({ 200,
             fmt::format(R"({{"id":"chatcmpl-{}","object":"chat.completion","created":0,)"
                         R"("model":{},"choices":[{{"index":0,"message":{{"role":"assistant",)"
                         R"("content":{}}},"finish_reason":"{}"}}],{}}})",
                         responseId_,
                         jsonQuote(prompt_.model),
                         jsonQuote(responseText_),
                         generation_.finishReason(),
                         usageJson()) });
}

void Session::sendChunk(const std::string& event)
{
  send(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
}

void Session::send(const std::string& bytes)
{
  if (isSilent() || isClosed_) {
    return;
  }
  pendingOutput_ += bytes;
  if (outputBeingWritten_.empty()) {
    write();
  }
}

void Session::write()
{
  outputBeingWritten_.swap(pendingOutput_);
  asio::async_write(socket_,
                    asio::buffer(outputBeingWritten_),
                    [self = shared_from_this()](beast::error_code error, std::size_t) {
                      self->outputBeingWritten_.clear();
                      if (error) {
                        self->close();
                        return;
                      }
                      if (!self->pendingOutput_.empty()) {
                        self->write();
                      } else if (self->isResponseComplete_) {
                        self->finishResponse();
                      }
                    });
}

/** Ends a chat response early when its caller closes the connection. */
void Session::watchForDisconnect()
{
  if (isWatching_) {
    return;
  }
  isWatching_ = true;
  socket_.async_wait(asio::socket_base::wait_read,
                     [self = shared_from_this()](beast::error_code error) {
                       self->isWatching_ = false;
                       if (error || self->isClosed_ || !self->isResponding_) {
                         return;
                       }
                       beast::error_code availableError;
                       if (self->socket_.available(availableError) == 0 || availableError) {
                         self->close();
                       }
                     });
}

/** Continues with the next request once all bytes are written. */
void Session::finishResponse()
{
  isResponseComplete_ = true;
  if (isSilent()) {
    discardInput();
    return;
  }
  if (isClosed_ || !outputBeingWritten_.empty()) {
    return;
  }
  if (!request_.keep_alive()) {
    close();
    return;
  }
  readRequest();
}

/** Keeps a silent connection open until its caller closes it. */
void Session::discardInput()
{
  socket_.async_read_some(asio::buffer(discardBuffer_),
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                            error ? self->close() : self->discardInput();
                          });
}

void Session::releaseSlot()
{
  if (slotTicket_) {
    standin_.slots().release(*slotTicket_);
    slotTicket_.reset();
  }
}

void Session::close()
{
  if (isClosed_) {
    return;
  }
  isClosed_ = true;
  releaseSlot();
  timer_.cancel();
  beast::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_both, ignored);
  socket_.close(ignored);
}

} // namespace figchute::standin
