#include "http/ClientConnection.h"

#include "http/EndConfirmation.h"
#include "http/EndWitness.h"
#include "http/Sockets.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <span>
#include <utility>

namespace figchute::http::detail {

namespace {

constexpr std::size_t kMaxHeadBytes = 32U * 1024;

/** Position and length of the status in the first line of a response. */
constexpr std::size_t kStatusOffset = 9;
constexpr std::size_t kStatusDigits = 3;

constexpr int kFirstErrorStatus = 400;

/** Maximum reads from one connection per event, so that other connections are not starved. */
constexpr int kMaxReadsPerEvent = 4;

/** How long an endpoint may leave sent bytes unread or unacknowledged before the call fails. It
    applies until the response begins. */
constexpr Duration kTcpUserTimeout = std::chrono::seconds(2);

/** Maximum time that an idle connection is kept open, also used when the endpoint sends no
    Keep-Alive timeout. */
constexpr Duration kMaxIdleTime = std::chrono::seconds(4);

/** How long before the endpoint's Keep-Alive timeout an idle connection is closed. */
constexpr std::chrono::seconds kIdleMargin(1);

Duration idleTimeoutFrom(const Framing& framing)
{
  if (!framing.keepAliveTimeout)
    return kMaxIdleTime;
  return std::clamp<Duration>(
    *framing.keepAliveTimeout - kIdleMargin, Duration::zero(), kMaxIdleTime);
}

} // namespace

PoolContext::PoolContext(boost::asio::io_context& context)
  : io(context)
  , flushScheduler(FlushScheduler::of(context))
{
}

ClientConnection::ClientConnection(PoolContext& poolContext, const Destination& destination)
  : context_(&poolContext)
  , socket_(poolContext.io)
  , destination_(destination)
{
}

std::string ClientConnection::connect(const std::shared_ptr<Exchange>& exchange)
{
  boost::system::error_code error;
  const auto& firstHop = usesProxy() ? destination_.proxy : destination_.address;
  socket_.open(firstHop.protocol(), error);
  if (error)
    return error.message();
  setTcpOptions(socket_.native_handle(), kTcpUserTimeout);
  exchange_ = exchange;
  exchange_->connection = this;
  exchange_->reused = false;
  setDeadline(bootTime() + exchange->options.connectTimeout);
  socket_.async_connect(firstHop,
                        [self = shared_from_this()](const boost::system::error_code& result) {
                          if (self->phase_ != Phase::connecting)
                            return;
                          const FlushScheduler::Scope scope(self->context_->flushScheduler);
                          self->onConnected(result);
                        });
  return {};
}

void ClientConnection::onConnected(const boost::system::error_code& error)
{
  if (error && usesProxy()) {
    fail(CallFailureKind::proxyFailed, error.message());
  } else if (error == boost::asio::error::timed_out) {
    fail(CallFailureKind::connectTimeout, error.message());
  } else if (error) {
    portClosed_ = error == boost::asio::error::connection_refused;
    fail(CallFailureKind::connectRefused, error.message());
  } else if (usesProxy()) {
    openTunnel();
  } else {
    startFirstExchange();
  }
}

bool ClientConnection::usesProxy() const
{
  return destination_.proxy != boost::asio::ip::tcp::endpoint();
}

void ClientConnection::openTunnel()
{
  phase_ = Phase::openingTunnel;
  const auto target = addressText(destination_.address);
  auto request =
    fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\nProxy-Authorization: {1}\r\n\r\n",
                target,
                exchange_->options.proxy->authorization);
  const iovec part{ request.data(), request.size() };
  const auto result = send(socket_.native_handle(), std::span(&part, 1));
  if (result.state != TransferResult::State::done || result.size != request.size()) {
    fail(CallFailureKind::proxyFailed, "the request for a tunnel could not be sent");
    return;
  }
  startReadWait();
}

void ClientConnection::readTunnelResponse()
{
  const auto result = receive(socket_.native_handle(), context_->buffer);
  if (result.state == TransferResult::State::wouldBlock) {
    startReadWait();
    return;
  }
  if (result.state != TransferResult::State::done) {
    fail(CallFailureKind::proxyFailed, "the proxy closed the connection");
    return;
  }
  input_.append(context_->buffer.data(), result.size);
  const auto state = scanner_.scan(input_, false);
  if (state == HeadScanner::State::incomplete && input_.size() < kMaxHeadBytes) {
    startReadWait();
    return;
  }
  const auto status = input_.substr(std::min(input_.size(), kStatusOffset), kStatusDigits);
  if (state == HeadScanner::State::complete && status == "200" &&
      scanner_.size() == input_.size()) {
    scanner_.reset();
    input_.clear();
    startFirstExchange();
  } else if (status == "502") {
    fail(CallFailureKind::connectRefused, "the proxy could not connect");
  } else if (status == "504") {
    fail(CallFailureKind::connectTimeout, "the connection attempt of the proxy timed out");
  } else {
    fail(CallFailureKind::proxyFailed, "the proxy opens no tunnel: status " + status);
  }
}

void ClientConnection::startFirstExchange()
{
  phase_ = Phase::busy;
  establishedAt_ = bootTime();
  setDeadline(kNever);
  startReadWait();
  context_->flushScheduler.add(shared_from_this());
  if (isActive())
    exchange_->listener->onConnected();
}

void ClientConnection::startExchange(const std::shared_ptr<Exchange>& exchange)
{
  phase_ = Phase::busy;
  setDeadline(kNever);
  exchange_ = exchange;
  exchange_->connection = this;
  exchange_->reused = true;
  requestBytesWritten_ = 0;
  context_->flushScheduler.add(shared_from_this());
}

void ClientConnection::close()
{
  if (phase_ == Phase::closed)
    return;
  phase_ = Phase::closed;
  deadline_ = kNever;
  if (exchange_)
    std::exchange(exchange_, nullptr)->connection = nullptr;
  if (endConfirmation_)
    std::exchange(endConfirmation_, nullptr)->cancel();
  witness_.reset();
  boost::system::error_code ignored;
  socket_.close(ignored);
  context_->onConnectionClosed(*this);
}

bool ClientConnection::isActive() const
{
  return phase_ == Phase::busy && exchange_ && exchange_->listener;
}

bool ClientConnection::isOpenAtPeer()
{
  const bool isEstablished = phase_ == Phase::busy || phase_ == Phase::idle;
  const bool isPaused = exchange_ && exchange_->paused;
  // The end of the stream may wait behind bytes that are not read yet.
  return isEstablished && !isPaused && !hasInput(socket_.native_handle()) &&
         !peerHasClosed(socket_.native_handle());
}

bool ClientConnection::isConfirming() const
{
  return phase_ == Phase::confirmingEnd || (exchange_ && exchange_->requestHead.empty());
}

std::optional<Duration> ClientConnection::timeSinceEnd() const
{
  return phase_ == Phase::confirmingEnd ? std::optional(bootTime() - endedAt_) : std::nullopt;
}

bool ClientConnection::isFullyWritten() const
{
  return requestBytesWritten_ ==
         exchange_->requestHead.size() + (exchange_->body ? exchange_->body->size() : 0);
}

void ClientConnection::allowLateReading()
{
  if (isFullyWritten() && !hasUnacknowledgedBytes(socket_.native_handle()))
    return;
  // The endpoint is alive, so what it leaves unread does not show a failure. The caller of the pool
  // has its own time limits for the response.
  allowsLateReading_ = true;
  setUserTimeout(socket_.native_handle(), Duration::zero());
}

void ClientConnection::startReadWait()
{
  if (readWaiting_ || phase_ == Phase::closed || (exchange_ && exchange_->paused))
    return;
  readWaiting_ = true;
  socket_.async_wait(boost::asio::socket_base::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->readWaiting_ = false;
                       if (error || self->phase_ == Phase::closed)
                         return;
                       const FlushScheduler::Scope scope(self->context_->flushScheduler);
                       self->onReadable();
                     });
}

void ClientConnection::startWriteWait()
{
  if (std::exchange(writeWaiting_, true))
    return;
  socket_.async_wait(boost::asio::socket_base::wait_write,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->writeWaiting_ = false;
                       if (error || self->phase_ == Phase::closed)
                         return;
                       const FlushScheduler::Scope scope(self->context_->flushScheduler);
                       self->flush();
                     });
}

void ClientConnection::flush()
{
  if (!isActive() || writeWaiting_ || writeError_ != 0)
    return;
  const auto self = shared_from_this();
  const auto exchange = exchange_;
  // The endpoint may have closed the connection while it was idle. Reassigning a request before its
  // first byte is written cannot execute it twice.
  if (exchange->reused && requestBytesWritten_ == 0 && hasInput(socket_.native_handle())) {
    reassign();
    return;
  }
  const std::string_view body =
    exchange->body ? std::string_view(*exchange->body) : std::string_view();
  while (!isFullyWritten()) {
    const auto headWritten = std::min(requestBytesWritten_, exchange->requestHead.size());
    const auto bodyWritten = requestBytesWritten_ - headWritten;
    const std::array<iovec, 2> parts = {
      iovec{ exchange->requestHead.data() + headWritten,
             exchange->requestHead.size() - headWritten },
      iovec{ const_cast<char*>(body.data()) + bodyWritten, body.size() - bodyWritten },
    };
    const auto writeResult = send(socket_.native_handle(), parts);
    if (writeResult.state == TransferResult::State::wouldBlock) {
      startWriteWait();
      return;
    }
    if (writeResult.state == TransferResult::State::failed) {
      if (exchange->reused && requestBytesWritten_ == 0) {
        reassign();
        return;
      }
      writeError_ = writeResult.error;
      if (requestBytesWritten_ == 0)
        fail(CallFailureKind::reset, errorText(writeResult.error));
      return;
    }
    requestBytesWritten_ += writeResult.size;
    context_->traffic.sentBytes += writeResult.size;
    if (!std::exchange(exchange->sent, true)) {
      exchange->listener->onSent();
      if (exchange_ != exchange || !isActive())
        return;
    }
  }
}

void ClientConnection::reassign()
{
  const auto exchange = exchange_;
  close();
  context_->assign(exchange);
}

void ClientConnection::onReadable()
{
  const auto self = shared_from_this();
  if (phase_ == Phase::idle) {
    close();
    return;
  }
  if (phase_ == Phase::openingTunnel) {
    readTunnelResponse();
    return;
  }
  const auto exchange = exchange_;
  // The endpoint closed the connection just before it was taken from the idle list.
  if (exchange->reused && requestBytesWritten_ == 0 && hasInput(socket_.native_handle())) {
    reassign();
    return;
  }
  for (int reads = 0; reads < kMaxReadsPerEvent; ++reads) {
    if (exchange->paused)
      return;
    const auto readResult = receive(socket_.native_handle(), context_->buffer);
    if (readResult.state == TransferResult::State::wouldBlock)
      break;
    if (readResult.state == TransferResult::State::ended) {
      onPeerEnd();
      return;
    }
    if (readResult.state == TransferResult::State::failed) {
      fail(CallFailureKind::reset, errorText(readResult.error));
      return;
    }
    context_->traffic.receivedBytes += readResult.size;
    onReceived({ context_->buffer.data(), readResult.size });
    if (exchange_ != exchange || phase_ != Phase::busy || readResult.size < context_->buffer.size())
      break;
  }
  startReadWait();
}

void ClientConnection::onPeerEnd()
{
  if (writeError_ != 0) {
    // The failed write consumed the socket error, so recv() reports a reset as end of stream.
    fail(CallFailureKind::reset, errorText(writeError_));
    return;
  }
  if (isConfirming()) {
    fail(CallFailureKind::closed, "the connection was closed without a request");
    return;
  }
  const bool closeEndsBody = parser_ && parser_->need_eof() && parser_->is_header_done();
  if (!closeEndsBody) {
    fail(CallFailureKind::closed, "the connection was closed before the response was complete");
    return;
  }
  if (discardingResponse_) {
    fail(CallFailureKind::closed, "the connection was closed after a response to another request");
    return;
  }
  // An endpoint that closes before it has read the request resets the connection when the rest
  // arrives. The reset follows the end of stream, so the body may have been cut.
  if (!isFullyWritten() || hasUnacknowledgedBytes(socket_.native_handle())) {
    fail(CallFailureKind::closed, "the connection was closed before the request was read");
    return;
  }
  idleTimeout_ = Duration::zero();
  confirmEnd();
}

void ClientConnection::confirmEnd()
{
  phase_ = Phase::confirmingEnd;
  endedAt_ = bootTime() - timeSinceLastPacket(socket_.native_handle());
  endConfirmation_ = std::make_shared<EndConfirmation>(
    *context_, destination_, exchange_->options, [self = shared_from_this()](bool confirmed) {
      const FlushScheduler::Scope scope(self->context_->flushScheduler);
      self->onEndConfirmed(confirmed);
    });
  endConfirmation_->start(
    context_->othersOf(*this), endedAt_, exchange_->listener->mayRefuseConnections());
  // One that is opened after the end proves nothing.
  if (witness_ && !witness_->openConnection())
    witness_.reset();
}

void ClientConnection::onEndConfirmed(bool confirmed)
{
  endConfirmation_.reset();
  phase_ = Phase::busy;
  // An endpoint that refuses a request may close without having read all of it.
  const bool isRefusal = parser_->head.status >= kFirstErrorStatus;
  const int error = takeError(socket_.native_handle());
  if (error != 0 && !isRefusal)
    fail(CallFailureKind::reset, errorText(error));
  else if (confirmed)
    complete(false);
  else
    fail(CallFailureKind::unconfirmedEnd,
         "the endpoint may have ended before the body was complete");
}

void ClientConnection::onReceived(std::string_view bytes)
{
  const auto exchange = exchange_;
  if (input_.empty()) {
    const auto used = consume(bytes);
    if (exchange_ == exchange && phase_ == Phase::busy)
      input_.assign(bytes.substr(used));
    return;
  }
  input_.append(bytes);
  const auto used = consume(input_);
  if (exchange_ == exchange && phase_ == Phase::busy)
    input_.erase(0, used);
}

std::size_t ClientConnection::consume(std::string_view bytes)
{
  const auto exchange = exchange_;
  std::size_t used = 0;
  while (exchange_ == exchange && isActive() && !exchange->paused) {
    const auto rest = bytes.substr(used);
    if (parser_ && parser_->is_done()) {
      complete(!rest.empty());
      continue;
    }
    if (rest.empty())
      break;
    const auto consumed = parser_ ? consumeBody(rest) : consumeHead(rest);
    if (consumed == 0)
      break;
    used += consumed;
  }
  return used;
}

std::size_t ClientConnection::consumeHead(std::string_view bytes)
{
  const auto state = scanner_.scan(bytes, false);
  if (state == HeadScanner::State::malformed) {
    fail(CallFailureKind::malformed, "malformed response head");
    return 0;
  }
  if (state == HeadScanner::State::incomplete && bytes.size() < kMaxHeadBytes)
    return 0;
  const auto size = scanner_.size();
  if (state == HeadScanner::State::incomplete || size > kMaxHeadBytes) {
    fail(CallFailureKind::malformed, "the response head is too large");
    return 0;
  }
  scanner_.reset();
  parser_ = std::make_unique<MessageParser<false>>();
  if (exchange_->method == "HEAD")
    parser_->skip(true);
  std::size_t used = 0;
  if (!parser_->parse(bytes.substr(0, size), used) || !parser_->is_header_done()) {
    fail(CallFailureKind::malformed, "malformed response head");
    return 0;
  }
  return handleHead(extractFraming(parser_->head.fields, parser_->httpVersion())) ? size : 0;
}

bool ClientConnection::handleHead(const Framing& framing)
{
  auto& head = parser_->head;
  if (!framing.error.empty()) {
    fail(CallFailureKind::malformed, framing.error);
    return false;
  }
  if (head.status < 200) {
    if (head.status < 100 || head.status == 101) {
      fail(CallFailureKind::malformed, fmt::format("unexpected status {}", head.status));
      return false;
    }
    parser_.reset();
    return true;
  }
  head.length = framing.length;
  head.chunked = framing.chunked;
  keepAlive_ = framing.keepAlive && parser_->httpVersion() >= 11 && !parser_->need_eof();
  idleTimeout_ = keepAlive_ ? idleTimeoutFrom(framing) : Duration::zero();
  const auto owner = ownerOf(head);
  if (owner == ResponseOwner::unknown) {
    fail(CallFailureKind::malformed, "a response without a request identifier");
    return false;
  }
  discardingResponse_ = owner == ResponseOwner::otherRequest;
  if (discardingResponse_)
    return true;
  if (parser_->need_eof() && !isConfirming()) {
    witness_ = context_->witnessFor(*exchange_);
    witness_->scheduleOpen();
  }
  exchange_->headReceived = true;
  allowLateReading();
  exchange_->listener->onHead(head);
  return true;
}

ClientConnection::ResponseOwner ClientConnection::ownerOf(const ResponseHead& head) const
{
  const auto& options = exchange_->options;
  if (options.correlationName.empty())
    return ResponseOwner::thisRequest;
  const auto* correlation = head.fields.find(options.correlationName);
  if (correlation == nullptr)
    return exchange_->reused ? ResponseOwner::unknown : ResponseOwner::thisRequest;
  return *correlation == options.correlationValue ? ResponseOwner::thisRequest
                                                  : ResponseOwner::otherRequest;
}

std::size_t ClientConnection::consumeBody(std::string_view bytes)
{
  std::size_t used = 0;
  if (!parser_->parse(bytes, used)) {
    fail(CallFailureKind::malformed, "malformed chunk");
    return 0;
  }
  if (used == 0 && bytes.size() > kMaxChunkHeaderBytes) {
    fail(CallFailureKind::malformed, "the chunk header is too large");
    return 0;
  }
  if (!discardingResponse_ && !parser_->bodyPart().empty())
    exchange_->listener->onBody(parser_->bodyPart());
  return used;
}

void ClientConnection::complete(bool extraBytes)
{
  if (discardingResponse_) {
    discardingResponse_ = false;
    parser_.reset();
    if (!keepAlive_)
      fail(CallFailureKind::closed, "the connection ended after a response to another request");
    return;
  }
  // Linux counts the time in which the endpoint did not read again for the next request.
  const bool reusable = idleTimeout_ > Duration::zero() && !extraBytes && isFullyWritten() &&
                        writeError_ == 0 && !allowsLateReading_;
  const auto exchange = exchange_;
  auto* const listener = std::exchange(exchange->listener, nullptr);
  const ResponseEnd end{ endedAt_ != kNever ? bootTime() - endedAt_
                                            : timeSinceLastReceived(socket_.native_handle()) };
  if (reusable) {
    std::exchange(exchange_, nullptr)->connection = nullptr;
    releaseBuffers();
    phase_ = Phase::idle;
    setDeadline(bootTime() + idleTimeout_);
    context_->onConnectionIdle(*this);
    startReadWait();
  } else {
    close();
  }
  listener->onComplete(end);
}

void ClientConnection::fail(CallFailureKind kind, std::string detail)
{
  const auto self = shared_from_this();
  const auto exchange = exchange_;
  close();
  if (!exchange || !exchange->listener)
    return;
  auto* const listener = std::exchange(exchange->listener, nullptr);
  CallFailure failure;
  failure.kind = kind;
  failure.sent = exchange->sent;
  failure.headReceived = exchange->headReceived;
  failure.reused = exchange->reused;
  failure.portClosed = portClosed_;
  failure.detail = std::move(detail);
  listener->onFailure(failure);
}

void ClientConnection::releaseBuffers()
{
  parser_.reset();
  scanner_.reset();
  release(input_);
}

void ClientConnection::resume()
{
  // Posted so that the listener is never called from within Call::resume().
  boost::asio::post(context_->io, [self = shared_from_this(), exchange = exchange_] {
    if (self->exchange_ != exchange || self->phase_ != Phase::busy || exchange->paused)
      return;
    const FlushScheduler::Scope scope(self->context_->flushScheduler);
    const auto used = self->consume(self->input_);
    if (self->exchange_ != exchange || self->phase_ != Phase::busy)
      return;
    self->input_.erase(0, used);
    self->startReadWait();
  });
}

Duration ClientConnection::checkDeadline(Duration now)
{
  if (deadline_ > now)
    return deadline_;
  deadline_ = kNever;
  if (phase_ == Phase::idle)
    close();
  else if ((phase_ == Phase::connecting || phase_ == Phase::openingTunnel) && usesProxy())
    fail(CallFailureKind::proxyFailed, "the proxy does not answer");
  else if (phase_ == Phase::connecting)
    fail(CallFailureKind::connectTimeout, "connection attempt timed out");
  return deadline_;
}

void ClientConnection::setDeadline(Duration deadline)
{
  deadline_ = deadline;
  if (deadline != kNever)
    context_->timer->schedule(deadline);
}

} // namespace figchute::http::detail
