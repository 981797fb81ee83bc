#include "gateway/ServerConnection.h"

#include "gateway/AnswerSink.h"
#include "gateway/ErrorAnswer.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace figchute::gateway::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** Bytes read ahead while an answer is due. */
constexpr std::size_t kReadAheadBytes = 16U * 1024;
/** Time to read what a refused caller still sends; closing earlier would reset the connection and
    could destroy the answer on its way. */
constexpr std::chrono::milliseconds kDrainTime(1000);
/** Kernel send buffer. Without it the kernel takes megabytes for a caller that does not read, and
    the bound on pending bytes would apply late. */
constexpr int kSendBufferBytes = 256 * 1024;
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxKeyLength = 256;

std::string_view viewOf(beast::string_view text)
{
  return { text.data(), text.size() };
}

bool isVisible(std::string_view text)
{
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7F; });
}

bool isSafeHeader(const Header& header)
{
  const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 && c != '\t'; };
  return !header.name.empty() && isVisible(header.name) &&
         header.name.find(':') == std::string::npos &&
         std::none_of(header.value.begin(), header.value.end(), isControl);
}

bool isFraming(std::string_view name)
{
  constexpr std::array<std::string_view, 5> kNames{
    "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "X-Request-Id"
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view framing) {
    return beast::iequals({ name.data(), name.size() }, { framing.data(), framing.size() });
  });
}

Error errorOf(const error_code& error, const ServerLimits& limits)
{
  if (error == http::error::header_limit) {
    return { ErrorKind::headTooLarge,
             fmt::format("the head is larger than {} bytes", limits.maxHeadBytes) };
  }
  if (error == http::error::body_limit) {
    return { ErrorKind::bodyTooLarge,
             fmt::format("the body is larger than {} bytes", limits.maxBodyBytes) };
  }
  return { ErrorKind::badRequest, "malformed HTTP message: " + error.message() };
}

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, ServerCore& core)
  : core_(core.shared_from_this())
  , socket_(std::move(socket))
{
  setSocketOptions();
}

void ServerConnection::setSocketOptions()
{
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  const auto set = [this](int name, int seconds) {
    setsockopt(socket_.native_handle(), IPPROTO_TCP, name, &seconds, sizeof(seconds));
  };
  // A caller that vanished is found after 10 s + 3 x 5 s.
  set(TCP_KEEPIDLE, 10);
  set(TCP_KEEPINTVL, 5);
  set(TCP_KEEPCNT, 3);
}

void ServerConnection::start()
{
  awaitRequest();
}

void ServerConnection::awaitRequest()
{
  state_ = State::idle;
  deadline_ = Clock::now() + limits().idleTimeout;
  if (input_.empty()) {
    read();
    return;
  }
  beginReceiving();
}

void ServerConnection::beginReceiving()
{
  state_ = State::receiving;
  deadline_ = Clock::now() + limits().senderTimeout;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(limits().maxHeadBytes));
  parser_->body_limit(limits().maxBodyBytes);
  headChecked_ = false;
  keepAlive_ = true;
  isHttp10_ = false;
  parse();
}

void ServerConnection::read()
{
  if (reading_ || state_ == State::closed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(readBuffer_),
                          [self = shared_from_this()](error_code error, std::size_t count) {
                            self->reading_ = false;
                            self->onRead(error, count);
                          });
}

void ServerConnection::onRead(const error_code& error, std::size_t count)
{
  if (state_ == State::closed) {
    return;
  }
  if (error) {
    disconnect();
    return;
  }
  if (state_ == State::draining) {
    read();
    return;
  }
  input_.append(readBuffer_.data(), count);
  switch (state_) {
    case State::idle:
      beginReceiving();
      return;
    case State::receiving:
      parse();
      return;
    default:
      if (input_.size() < kReadAheadBytes) {
        read();
      }
  }
}

void ServerConnection::parse()
{
  while (!input_.empty()) {
    error_code error;
    const auto used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
      refuse(errorOf(error, limits()));
      return;
    }
    if (parser_->is_header_done() && !headChecked_ && !checkHead()) {
      return;
    }
    if (parser_->is_done()) {
      dispatch();
      return;
    }
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  read();
}

bool ServerConnection::checkHead()
{
  headChecked_ = true;
  if (const auto fault = faultOfHead()) {
    refuse(*fault);
    return false;
  }
  // Fields are taken now, because the trailer of a chunked body adds to the same container.
  const auto& head = parser_->get();
  const auto valueOf = [&](beast::string_view name) { return std::string(head[name]); };
  request_.method = std::string(head.method_string());
  request_.target = std::string(head.target());
  request_.authorization = valueOf("Authorization");
  request_.idempotencyKey = valueOf("Idempotency-Key");
  request_.rank = valueOf("X-Figchute-Rank");
  request_.callerRequestId = valueOf("X-Request-Id");
  request_.contentType = valueOf("Content-Type");
  keepAlive_ = head.keep_alive();
  isHttp10_ = head.version() == 10;
  if (!parser_->is_done() && beast::iequals(head[http::field::expect], "100-continue")) {
    send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

std::optional<Error> ServerConnection::faultOfHead() const
{
  const auto& head = parser_->get();
  const auto bad = [](std::string detail) {
    return Error{ ErrorKind::badRequest, std::move(detail) };
  };
  if (head.version() != 10 && head.version() != 11) {
    return bad("the HTTP version is not 1.0 or 1.1");
  }
  if (head.method() == http::verb::unknown || head.method() == http::verb::head ||
      head.method() == http::verb::connect) {
    return bad("the method " + std::string(head.method_string()) + " is not supported");
  }
  if (!head.target().starts_with('/')) {
    return bad("the target is not a path");
  }
  if (head.version() == 11 && head.count(http::field::host) == 0) {
    return bad("Host is missing");
  }
  if (head.count(http::field::transfer_encoding) != 0 && !parser_->chunked()) {
    return bad("the transfer encoding is not chunked");
  }
  for (const auto* name :
       { "Host", "Authorization", "Idempotency-Key", "X-Request-Id", "Content-Length" }) {
    if (head.count(name) > 1) {
      return bad(fmt::format("{} is given more than once", name));
    }
  }
  const auto id = viewOf(head["X-Request-Id"]);
  if (id.size() > kMaxIdLength || !isVisible(id)) {
    return bad(fmt::format("X-Request-Id is not {} visible characters at most", kMaxIdLength));
  }
  const auto key = viewOf(head["Idempotency-Key"]);
  if (key.size() > kMaxKeyLength || !isVisible(key)) {
    return bad(fmt::format("Idempotency-Key is not {} visible characters at most", kMaxKeyLength));
  }
  return std::nullopt;
}

void ServerConnection::startAnswer()
{
  state_ = State::answering;
  ++sequence_;
  begun_ = streaming_ = isEventStream_ = ended_ = false;
  headers_.clear();
  body_.clear();
  requestId_ = core_->nextRequestId();
  answerId_ = request_.callerRequestId.empty() ? requestId_.value : request_.callerRequestId;
  running_ = sequence_;
}

void ServerConnection::dispatch()
{
  request_.body = std::move(parser_->get().body());
  parser_.reset();
  startAnswer();
  auto request = std::exchange(request_, {});
  if (request.target == "/healthz" && request.method == "GET") {
    answerHealth();
    return;
  }
  if (core_->isStopping()) {
    core_->countRefused();
    keepAlive_ = false;
    answerError({ ErrorKind::shuttingDown, "the entry VM is stopping" }, {}, requestId_);
    return;
  }
  if (!core_->enterRequest()) {
    core_->countRefused();
    answerError({ ErrorKind::overloaded, "all streams are in use" }, {}, requestId_);
    return;
  }
  hasPlace_ = true;
  read();
  request.id = requestId_;
  core_->handler().handle(std::move(request),
                          std::make_shared<AnswerSink>(shared_from_this(), sequence_));
}

void ServerConnection::answerHealth()
{
  if (core_->isStopping()) {
    keepAlive_ = false;
    answerError({ ErrorKind::shuttingDown, "the entry VM is stopping" }, {}, requestId_);
    return;
  }
  constexpr std::string_view kBody = R"({"status":"ok"})";
  sendHead(200, { { "Content-Type", "application/json" } }, kBody.size());
  send(kBody);
  endAnswer();
}

void ServerConnection::refuse(const Error& error)
{
  core_->countRefused();
  parser_.reset();
  startAnswer();
  request_ = {};
  keepAlive_ = false;
  answerError(error, {}, requestId_);
}

void ServerConnection::answerError(const Error& error,
                                   std::optional<Duration> retryDelay,
                                   const RequestId& id)
{
  const auto answer = makeErrorAnswer(error, retryDelay, id);
  sendHead(answer.status, answer.headers, answer.body.size());
  send(answer.body);
  endAnswer();
}

bool ServerConnection::accepts(std::uint64_t sequence) const
{
  return state_ == State::answering && running_ == sequence && !ended_;
}

void ServerConnection::begin(std::uint64_t sequence,
                             int status,
                             const Headers& headers,
                             bool streaming)
{
  if (!accepts(sequence) || begun_) {
    return;
  }
  begun_ = true;
  streaming_ = streaming;
  if (!streaming) {
    status_ = status;
    headers_ = headers;
    return;
  }
  isEventStream_ = std::any_of(headers.begin(), headers.end(), [](const Header& header) {
    return beast::iequals(header.name, "Content-Type") &&
           header.value.starts_with("text/event-stream");
  });
  if (isHttp10_) {
    keepAlive_ = false;
  }
  sendHead(status, headers, std::nullopt);
}

void ServerConnection::write(std::uint64_t sequence, std::string_view bytes)
{
  posted_ -= bytes.size();
  if (!accepts(sequence) || !begun_) {
    return;
  }
  if (streaming_) {
    sendChunk(bytes);
  } else {
    body_ += bytes;
  }
}

void ServerConnection::finish(std::uint64_t sequence)
{
  if (!accepts(sequence) || !begun_) {
    return;
  }
  if (!streaming_) {
    sendHead(status_, headers_, body_.size());
    send(body_);
    body_ = {};
  } else if (!isHttp10_) {
    send("0\r\n\r\n");
  }
  endAnswer();
}

void ServerConnection::fail(std::uint64_t sequence,
                            const Error& error,
                            std::optional<Duration> retryDelay,
                            const RequestId& request)
{
  if (!accepts(sequence)) {
    return;
  }
  if (!begun_ || !streaming_) {
    answerError(error, retryDelay, request);
    return;
  }
  if (isEventStream_) {
    sendChunk("data: " + makeErrorAnswer(error, retryDelay, request).body + "\n\n");
  }
  keepAlive_ = false;
  endAnswer();
}

void ServerConnection::sendHead(int status,
                                const Headers& headers,
                                std::optional<std::size_t> length)
{
  const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, viewOf(reason));
  auto out = std::back_inserter(head);
  for (const auto& header : headers) {
    if (isSafeHeader(header) && !isFraming(header.name)) {
      fmt::format_to(out, "{}: {}\r\n", header.name, header.value);
    }
  }
  fmt::format_to(out, "X-Request-Id: {}\r\n", answerId_);
  if (length) {
    fmt::format_to(out, "Content-Length: {}\r\n", *length);
  } else if (!isHttp10_) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  if (!keepAlive_) {
    head += "Connection: close\r\n";
  } else if (isHttp10_) {
    head += "Connection: keep-alive\r\n";
  }
  head += "\r\n";
  send(head);
}

void ServerConnection::sendChunk(std::string_view bytes)
{
  if (bytes.empty()) {
    return;
  }
  if (isHttp10_) {
    send(bytes);
    return;
  }
  fmt::format_to(std::back_inserter(outbox_), "{:x}\r\n", bytes.size());
  outbox_ += bytes;
  send("\r\n");
}

void ServerConnection::send(std::string_view bytes)
{
  outbox_ += bytes;
  queued_ = outbox_.size() + writing_.size() - written_;
  if (writing_.empty()) {
    // Answers often come in several parts at one time; the write starts after them.
    writing_.swap(outbox_);
    written_ = 0;
    writeDeadline_ = Clock::now() + limits().writeTimeout;
    post([](ServerConnection& self) { self.writeSome(); });
  }
}

void ServerConnection::writeSome()
{
  if (state_ == State::closed) {
    return;
  }
  if (written_ == 0) {
    writing_ += std::exchange(outbox_, {});
  }
  writeDeadline_ = Clock::now() + limits().writeTimeout;
  socket_.async_write_some(asio::buffer(writing_.data() + written_, writing_.size() - written_),
                           [self = shared_from_this()](error_code error, std::size_t count) {
                             self->onWritten(error, count);
                           });
}

void ServerConnection::onWritten(const error_code& error, std::size_t count)
{
  if (state_ == State::closed) {
    return;
  }
  if (error) {
    disconnect();
    return;
  }
  written_ += count;
  if (written_ == writing_.size()) {
    writing_.clear();
    written_ = 0;
    writing_.swap(outbox_);
  }
  queued_ = outbox_.size() + writing_.size() - written_;
  if (!writing_.empty()) {
    writeSome();
  } else if (ended_) {
    onFlushed();
  }
}

void ServerConnection::endAnswer()
{
  ended_ = true;
  running_ = 0;
  if (writing_.empty() && outbox_.empty()) {
    onFlushed();
  }
}

/** Goes on once the whole answer is with the operating system. */
void ServerConnection::onFlushed()
{
  ended_ = false;
  releasePlace();
  if (!keepAlive_ || core_->isStopping()) {
    drain();
    return;
  }
  awaitRequest();
}

void ServerConnection::releasePlace()
{
  if (std::exchange(hasPlace_, false)) {
    core_->leaveRequest();
  }
}

void ServerConnection::drain()
{
  state_ = State::draining;
  deadline_ = Clock::now() + kDrainTime;
  input_ = {};
  error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
  read();
}

/** Closes the connection; when an answer is due, its caller has gone. */
void ServerConnection::disconnect()
{
  const bool unanswered = hasPlace_ && running_ != 0;
  if (hasPlace_) {
    core_->countDisconnected();
  }
  const auto id = requestId_;
  close();
  if (unanswered) {
    core_->handler().disconnected(id);
  }
}

void ServerConnection::abort()
{
  if (state_ != State::closed) {
    disconnect();
  }
}

void ServerConnection::abortAnswer(std::uint64_t sequence)
{
  if (accepts(sequence)) {
    disconnect();
  }
}

void ServerConnection::closeIfIdle()
{
  if (state_ == State::idle) {
    close();
  }
}

void ServerConnection::checkDeadline(Clock::time_point now)
{
  if (state_ == State::answering) {
    if (!writing_.empty() && now >= writeDeadline_) {
      disconnect();
    }
    return;
  }
  if (state_ == State::closed || now < deadline_) {
    return;
  }
  if (state_ == State::receiving) {
    refuse(
      { ErrorKind::slowSender,
        fmt::format("the request was not complete after {} ms", limits().senderTimeout.count()) });
    return;
  }
  close();
}

void ServerConnection::close()
{
  const auto self = shared_from_this();
  state_ = State::closed;
  running_ = 0;
  releasePlace();
  error_code ignored;
  socket_.close(ignored);
  core_->remove(self);
}

} // namespace figchute::gateway::detail
