#include "gateway/ServerConnection.h"

#include "gateway/ConnectionResponseSink.h"
#include "gateway/ErrorResponse.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <iterator>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace figchute::gateway::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** Maximum number of bytes read ahead while a response is pending. */
constexpr std::size_t kMaxReadAheadBytes = 16U * 1024;
/** Time during which input is read and discarded before the connection is closed. Closing with
    unread input resets the connection, and the caller could lose the response. */
constexpr std::chrono::milliseconds kDrainTimeout(1000);
/** Size of the kernel send buffer. By default the kernel buffers megabytes for a caller that does
    not read, so that the limit on pending bytes would take effect late. */
constexpr int kSendBufferBytes = 256 * 1024;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kMaxIdempotencyKeyLength = 256;

std::string_view toStringView(beast::string_view text)
{
  return { text.data(), text.size() };
}

bool isVisibleAscii(std::string_view text)
{
  return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7F; });
}

bool isValidHeader(const Header& header)
{
  const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 && c != '\t'; };
  return !header.name.empty() && isVisibleAscii(header.name) &&
         header.name.find(':') == std::string::npos &&
         std::none_of(header.value.begin(), header.value.end(), isControl);
}

bool isSetByServer(std::string_view name)
{
  constexpr std::array<std::string_view, 5> kServerHeaders{
    "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "X-Request-Id"
  };
  return std::any_of(
    kServerHeaders.begin(), kServerHeaders.end(), [&](std::string_view serverHeader) {
      return beast::iequals({ name.data(), name.size() },
                            { serverHeader.data(), serverHeader.size() });
    });
}

Error toRequestError(const error_code& error, const ServerLimits& limits)
{
  if (error == http::error::header_limit) {
    return { ErrorKind::headTooLarge,
             fmt::format("the request head exceeds {} bytes", limits.maxHeadBytes) };
  }
  if (error == http::error::body_limit) {
    return { ErrorKind::bodyTooLarge,
             fmt::format("the request body exceeds {} bytes", limits.maxBodyBytes) };
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
  const auto setTcpOption = [this](int name, int seconds) {
    setsockopt(socket_.native_handle(), IPPROTO_TCP, name, &seconds, sizeof(seconds));
  };
  // TCP keepalive detects an unresponsive caller after 10 s + 3 x 5 s.
  setTcpOption(TCP_KEEPIDLE, 10);
  setTcpOption(TCP_KEEPINTVL, 5);
  setTcpOption(TCP_KEEPCNT, 3);
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
  headProcessed_ = false;
  keepAlive_ = true;
  isHttp10_ = false;
  parse();
}

void ServerConnection::read()
{
  if (isReading_ || state_ == State::closed) {
    return;
  }
  isReading_ = true;
  socket_.async_read_some(asio::buffer(readBuffer_),
                          [self = shared_from_this()](error_code error, std::size_t count) {
                            self->isReading_ = false;
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
      if (input_.size() < kMaxReadAheadBytes) {
        read();
      }
  }
}

void ServerConnection::parse()
{
  while (!input_.empty()) {
    error_code error;
    const auto consumedBytes = parser_->put(asio::buffer(input_), error);
    input_.erase(0, consumedBytes);
    if (error && error != http::error::need_more) {
      refuse(toRequestError(error, limits()));
      return;
    }
    if (parser_->is_header_done() && !headProcessed_ && !processHead()) {
      return;
    }
    if (parser_->is_done()) {
      dispatch();
      return;
    }
    if (error == http::error::need_more || consumedBytes == 0) {
      break;
    }
  }
  read();
}

bool ServerConnection::processHead()
{
  headProcessed_ = true;
  if (const auto headError = validateHead()) {
    refuse(*headError);
    return false;
  }
  // The fields are copied before the body is parsed, because the parser adds the trailer fields of
  // a chunked body to the same container.
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

std::optional<Error> ServerConnection::validateHead() const
{
  const auto& head = parser_->get();
  const auto badRequestError = [](std::string detail) {
    return Error{ ErrorKind::badRequest, std::move(detail) };
  };
  if (head.version() != 10 && head.version() != 11) {
    return badRequestError("unsupported HTTP version; supported are 1.0 and 1.1");
  }
  if (head.method() == http::verb::unknown || head.method() == http::verb::head ||
      head.method() == http::verb::connect) {
    return badRequestError("the method " + std::string(head.method_string()) + " is not supported");
  }
  if (!head.target().starts_with('/')) {
    return badRequestError("the request target does not start with \"/\"");
  }
  if (head.version() == 11 && head.count(http::field::host) == 0) {
    return badRequestError("the Host header is missing");
  }
  if (head.count(http::field::transfer_encoding) != 0 && !parser_->chunked()) {
    return badRequestError("unsupported transfer encoding; only chunked is supported");
  }
  for (const auto* name :
       { "Host", "Authorization", "Idempotency-Key", "X-Request-Id", "Content-Length" }) {
    if (head.count(name) > 1) {
      return badRequestError(fmt::format("duplicate header {}", name));
    }
  }
  const auto id = toStringView(head["X-Request-Id"]);
  if (id.size() > kMaxRequestIdLength || !isVisibleAscii(id)) {
    return badRequestError(
      fmt::format("X-Request-Id must be at most {} visible ASCII characters", kMaxRequestIdLength));
  }
  const auto key = toStringView(head["Idempotency-Key"]);
  if (key.size() > kMaxIdempotencyKeyLength || !isVisibleAscii(key)) {
    return badRequestError(fmt::format(
      "Idempotency-Key must be at most {} visible ASCII characters", kMaxIdempotencyKeyLength));
  }
  return std::nullopt;
}

void ServerConnection::startResponse()
{
  state_ = State::responding;
  ++sequence_;
  responseBegun_ = isStreaming_ = isEventStream_ = responseEnded_ = isComplete_ = false;
  headers_.clear();
  body_.clear();
  requestId_ = core_->nextRequestId();
  responseRequestId_ =
    request_.callerRequestId.empty() ? requestId_.value : request_.callerRequestId;
  runningSequence_ = sequence_;
}

void ServerConnection::dispatch()
{
  request_.body = std::move(parser_->get().body());
  parser_.reset();
  startResponse();
  auto request = std::exchange(request_, {});
  if (request.target == "/healthz" && request.method == "GET") {
    sendHealthStatus();
    return;
  }
  if (core_->isStopping()) {
    core_->countRefused();
    keepAlive_ = false;
    sendError({ ErrorKind::shuttingDown, "the entry VM is stopping" }, {}, requestId_);
    return;
  }
  if (!core_->acquireRequestSlot()) {
    core_->countRefused();
    sendError({ ErrorKind::overloaded, "the maximum number of concurrent requests is reached" },
              {},
              requestId_);
    return;
  }
  holdsRequestSlot_ = true;
  read();
  request.id = requestId_;
  core_->handler().handle(std::move(request),
                          std::make_shared<ConnectionResponseSink>(shared_from_this(), sequence_));
}

void ServerConnection::sendHealthStatus()
{
  if (core_->isStopping()) {
    keepAlive_ = false;
    sendError({ ErrorKind::shuttingDown, "the entry VM is stopping" }, {}, requestId_);
    return;
  }
  constexpr std::string_view kBody = R"({"status":"ok"})";
  sendHead(200, { { "Content-Type", "application/json" } }, kBody.size());
  send(kBody);
  endResponse();
}

void ServerConnection::refuse(const Error& error)
{
  core_->countRefused();
  parser_.reset();
  startResponse();
  request_ = {};
  keepAlive_ = false;
  sendError(error, {}, requestId_);
}

void ServerConnection::sendError(const Error& error,
                                 std::optional<Duration> retryDelay,
                                 const RequestId& id)
{
  const auto response = makeErrorResponse(error, retryDelay, id);
  sendHead(response.status, response.headers, response.body.size());
  send(response.body);
  endResponse();
}

bool ServerConnection::isRespondingTo(std::uint64_t sequence) const
{
  return state_ == State::responding && runningSequence_ == sequence && !responseEnded_;
}

void ServerConnection::begin(std::uint64_t sequence,
                             int status,
                             const Headers& headers,
                             bool streaming)
{
  if (!isRespondingTo(sequence) || responseBegun_) {
    return;
  }
  responseBegun_ = true;
  isStreaming_ = streaming;
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
    setResetOnClose(true);
  }
  sendHead(status, headers, std::nullopt);
}

void ServerConnection::write(std::uint64_t sequence, std::string_view bytes)
{
  postedBytes_ -= bytes.size();
  if (!isRespondingTo(sequence) || !responseBegun_) {
    return;
  }
  if (isStreaming_) {
    sendChunk(bytes);
  } else {
    body_ += bytes;
  }
}

void ServerConnection::finish(std::uint64_t sequence)
{
  if (!isRespondingTo(sequence) || !responseBegun_) {
    return;
  }
  if (!isStreaming_) {
    sendHead(status_, headers_, body_.size());
    send(body_);
    body_ = {};
  } else if (!isHttp10_) {
    send("0\r\n\r\n");
  }
  isComplete_ = true;
  endResponse();
}

void ServerConnection::fail(std::uint64_t sequence,
                            const Error& error,
                            std::optional<Duration> retryDelay,
                            const RequestId& request)
{
  if (!isRespondingTo(sequence)) {
    return;
  }
  if (!responseBegun_ || !isStreaming_) {
    sendError(error, retryDelay, request);
    return;
  }
  if (isEventStream_) {
    sendChunk("data: " + makeErrorResponse(error, retryDelay, request).body + "\n\n");
  }
  keepAlive_ = false;
  endResponse();
}

void ServerConnection::sendHead(int status,
                                const Headers& headers,
                                std::optional<std::size_t> length)
{
  const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, toStringView(reason));
  auto out = std::back_inserter(head);
  for (const auto& header : headers) {
    if (isValidHeader(header) && !isSetByServer(header.name)) {
      fmt::format_to(out, "{}: {}\r\n", header.name, header.value);
    }
  }
  fmt::format_to(out, "X-Request-Id: {}\r\n", responseRequestId_);
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
  fmt::format_to(std::back_inserter(nextOutput_), "{:x}\r\n", bytes.size());
  nextOutput_ += bytes;
  send("\r\n");
}

void ServerConnection::send(std::string_view bytes)
{
  nextOutput_ += bytes;
  unsentBytes_ = nextOutput_.size() + currentOutput_.size() - writtenBytes_;
  if (currentOutput_.empty()) {
    // The write is posted, because a response often consists of several parts that are sent in
    // succession; writeSome() then writes them together.
    currentOutput_.swap(nextOutput_);
    writtenBytes_ = 0;
    writeDeadline_ = Clock::now() + limits().writeTimeout;
    post([](ServerConnection& self) { self.writeSome(); });
  }
}

void ServerConnection::writeSome()
{
  if (state_ == State::closed) {
    return;
  }
  if (writtenBytes_ == 0) {
    currentOutput_ += std::exchange(nextOutput_, {});
  }
  writeDeadline_ = Clock::now() + limits().writeTimeout;
  socket_.async_write_some(
    asio::buffer(currentOutput_.data() + writtenBytes_, currentOutput_.size() - writtenBytes_),
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
  writtenBytes_ += count;
  if (writtenBytes_ == currentOutput_.size()) {
    currentOutput_.clear();
    writtenBytes_ = 0;
    currentOutput_.swap(nextOutput_);
  }
  unsentBytes_ = nextOutput_.size() + currentOutput_.size() - writtenBytes_;
  if (!currentOutput_.empty()) {
    writeSome();
  } else if (responseEnded_) {
    onFlushed();
  }
}

void ServerConnection::endResponse()
{
  responseEnded_ = true;
  runningSequence_ = 0;
  if (currentOutput_.empty() && nextOutput_.empty()) {
    onFlushed();
  }
}

/** Called when the operating system has accepted the whole response: closes the connection or waits
    for the next request. */
void ServerConnection::onFlushed()
{
  responseEnded_ = false;
  releaseRequestSlot();
  if (!keepAlive_ || core_->isStopping()) {
    drain();
    return;
  }
  awaitRequest();
}

void ServerConnection::releaseRequestSlot()
{
  if (std::exchange(holdsRequestSlot_, false)) {
    core_->releaseRequestSlot();
  }
}

void ServerConnection::drain()
{
  state_ = State::draining;
  deadline_ = Clock::now() + kDrainTimeout;
  input_ = {};
  if (isComplete_) {
    setResetOnClose(false);
  }
  if (!resetsOnClose_) {
    error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
  }
  read();
}

void ServerConnection::setResetOnClose(bool reset)
{
  if (reset == resetsOnClose_) {
    return;
  }
  // Asio would undo its own option when it destroys the socket.
  const linger option{ reset ? 1 : 0, 0 };
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  resetsOnClose_ = reset;
}

bool ServerConnection::hasUnacknowledgedBytes()
{
  int count = 0;
  return ioctl(socket_.native_handle(), SIOCOUTQ, &count) == 0 && count > 0;
}

/** Closes the connection and notifies the handler if a response is pending. */
void ServerConnection::disconnect()
{
  const bool responsePending = holdsRequestSlot_ && runningSequence_ != 0;
  if (holdsRequestSlot_) {
    core_->countDisconnected();
  }
  const auto id = requestId_;
  close();
  if (responsePending) {
    core_->handler().disconnected(id);
  }
}

void ServerConnection::abort()
{
  if (state_ != State::closed) {
    disconnect();
  }
}

void ServerConnection::abortResponse(std::uint64_t sequence)
{
  if (isRespondingTo(sequence)) {
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
  if (state_ == State::responding) {
    if (!currentOutput_.empty() && now >= writeDeadline_) {
      disconnect();
    }
    return;
  }
  // A reset discards bytes that the caller's system has not acknowledged yet.
  const bool mayReset = state_ == State::draining && resetsOnClose_ && !hasUnacknowledgedBytes();
  if (state_ == State::closed || (now < deadline_ && !mayReset)) {
    return;
  }
  if (state_ == State::receiving) {
    refuse({ ErrorKind::slowSender,
             fmt::format("the request was not received completely within {} ms",
                         limits().senderTimeout.count()) });
    return;
  }
  close();
}

void ServerConnection::close()
{
  const auto self = shared_from_this();
  state_ = State::closed;
  runningSequence_ = 0;
  releaseRequestSlot();
  error_code ignored;
  socket_.close(ignored);
  core_->remove(self);
}

} // namespace figchute::gateway::detail
