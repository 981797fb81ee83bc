#include "http/ServerConnection.h"

#include "http/Sockets.h"

#include <algorithm>
#include <fmt/format.h>
#include <span>
#include <utility>

namespace figchute::http::detail {

namespace {

/** How long input is read and discarded after the last response of a connection. */
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

/** How often the progress of a caller is measured within the write timeout. */
constexpr int kChecksPerWriteTimeout = 10;

/** Maximum bytes that are read and discarded after a refused request, the size of a first flight of
 * TCP, which has been sent anyway. What follows stays unread, so that the caller stops sending. */
constexpr std::size_t kMaxDiscardedBytes = 16U * 1024;

/** Maximum reads from one connection per event, so that other connections are not starved. */
constexpr int kMaxReadsPerEvent = 4;

/** How often a connection that is not being read is checked for a disconnect. */
constexpr Duration kDisconnectCheckInterval = std::chrono::milliseconds(100);

/** How long a draining server waits for the first request of a new connection. */
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);

/** Maximum capacity of the output buffer that a connection keeps between responses, in bytes. */
constexpr std::size_t kMaxRetainedCapacity = 2048;

/** A request body that subtracts its bytes from the server's total when it is destroyed. */
struct CountedBody
{
  std::string bytes;
  std::shared_ptr<std::uint64_t> totalBytes;
  std::uint64_t countedBytes = 0;

  explicit CountedBody(std::shared_ptr<std::uint64_t> total)
    : totalBytes(std::move(total))
  {
  }
  ~CountedBody() { *totalBytes -= countedBytes; }

  CountedBody(const CountedBody&) = delete;
  CountedBody& operator=(const CountedBody&) = delete;
};

const std::shared_ptr<const std::string>& emptyBody()
{
  static const auto body = std::make_shared<const std::string>();
  return body;
}

} // namespace

ServerContext::ServerContext(boost::asio::io_context& context,
                             ServerLimits initialLimits,
                             Server::Handler requestHandler)
  : io(context)
  , flushScheduler(FlushScheduler::of(context))
  , limits(initialLimits)
  , handler(std::move(requestHandler))
{
}

ServerConnection::ServerConnection(ServerContext& serverContext,
                                   boost::asio::ip::tcp::socket socket,
                                   const boost::asio::ip::tcp::endpoint& peer)
  : context_(&serverContext)
  , socket_(std::move(socket))
  , peer_(peer)
{
}

void ServerConnection::start()
{
  const auto& limits = context_->limits;
  ++context_->unusedConnections;
  setDeadline(acceptedAt_ + (context_->draining ? kFirstRequestTime : limits.idleTimeout));
  startReadWait();
}

void ServerConnection::refuse(int status)
{
  fail(status, "too many connections");
  startReadWait();
}

void ServerConnection::close(UnsentReason reason)
{
  if (phase_ == Phase::closed)
    return;
  reportUnsent(reason);
  phase_ = Phase::closed;
  deadline_ = kNever;
  progressCheckAt_ = kNever;
  incoming_.reset();
  if (openRequest_) {
    --context_->openRequests;
    std::exchange(openRequest_, nullptr)->detach();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  context_->onConnectionClosed(*this);
}

void ServerConnection::flushAndClose()
{
  const auto self = shared_from_this();
  if (openRequest_) {
    close();
    return;
  }
  // An ending connection starts no further request.
  if (phase_ == Phase::serving)
    phase_ = Phase::ending;
  flush();
  if (phase_ == Phase::closed)
    return;
  for (int reads = 0; reads < kMaxReadsPerEvent; ++reads) {
    if (receive(socket_.native_handle(), context_->buffer).state != TransferResult::State::done)
      break;
  }
  close();
}

bool ServerConnection::hasUnsentResponse()
{
  return phase_ != Phase::closed && !openRequest_ &&
         (pendingBytes() > 0 || unacknowledgedOutput() > 0);
}

bool ServerConnection::isIdle() const
{
  return phase_ == Phase::serving && !openRequest_ && !incoming_ && input_.empty() &&
         pendingBytes() == 0;
}

bool ServerConnection::closeIfIdle()
{
  // Unread bytes may be the start of another request.
  if (!isIdle() || hasInput(socket_.native_handle()))
    return false;
  if (awaitsFirstRequest(bootTime())) {
    setDeadline(acceptedAt_ + kFirstRequestTime);
    return false;
  }
  startLingering();
  return true;
}

bool ServerConnection::awaitsFirstRequest(Duration now) const
{
  return phase_ == Phase::serving && !hadRequest_ && now < acceptedAt_ + kFirstRequestTime;
}

void ServerConnection::startReadWait()
{
  if (readWaiting_ || phase_ == Phase::closed)
    return;
  if (!canRead()) {
    if (openRequest_ && pendingBytes() == 0)
      setDeadline(bootTime() + kDisconnectCheckInterval);
    return;
  }
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

void ServerConnection::startWriteWait()
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

bool ServerConnection::canRead() const
{
  // While a request is open, at most one further request head is buffered.
  if (refused_)
    return phase_ != Phase::closed && discardedBytes_ < kMaxDiscardedBytes;
  return phase_ == Phase::lingering || phase_ == Phase::ending ||
         input_.size() < context_->limits.headBytes || (!openRequest_ && pendingBytes() == 0);
}

void ServerConnection::onReadable()
{
  const auto self = shared_from_this();
  for (int reads = 0; reads < kMaxReadsPerEvent && canRead(); ++reads) {
    const auto maxBytes = refused_ ? kMaxDiscardedBytes - discardedBytes_ : context_->buffer.size();
    const auto readResult =
      receive(socket_.native_handle(), std::span(context_->buffer).first(maxBytes));
    if (readResult.state == TransferResult::State::wouldBlock)
      break;
    if (readResult.state == TransferResult::State::ended) {
      onPeerEnd();
      return;
    }
    if (readResult.state == TransferResult::State::failed) {
      onDisconnected();
      return;
    }
    context_->traffic.receivedBytes += readResult.size;
    if (refused_) {
      context_->refusedTraffic.receivedBytes += readResult.size;
      discardedBytes_ += readResult.size;
    }
    onReceived({ context_->buffer.data(), readResult.size });
    if (phase_ == Phase::closed)
      return;
    if (readResult.size < context_->buffer.size())
      break;
  }
  startReadWait();
}

void ServerConnection::onPeerEnd()
{
  // A caller that has only shut down its sending side can still read the last response. An ending
  // connection shuts down its own side in the next flush; a lingering one waits for its deadline.
  if (phase_ == Phase::ending)
    return;
  if (!hasUnsentResponse()) {
    onDisconnected();
  } else if (phase_ == Phase::serving) {
    phase_ = Phase::ending;
    scheduleFlush();
  }
}

void ServerConnection::onReceived(std::string_view bytes)
{
  if (phase_ != Phase::serving)
    return;
  if (input_.empty()) {
    const auto used = consume(bytes);
    if (phase_ == Phase::serving)
      input_.assign(bytes.substr(used));
    return;
  }
  input_.append(bytes);
  const auto used = consume(input_);
  if (phase_ == Phase::serving)
    input_.erase(0, used);
}

std::size_t ServerConnection::consume(std::string_view bytes)
{
  std::size_t used = 0;
  while (phase_ == Phase::serving && !openRequest_ && used < bytes.size()) {
    const auto rest = bytes.substr(used);
    const auto consumed = incoming_ ? consumeBody(rest) : consumeHead(rest);
    if (consumed == 0)
      break;
    used += consumed;
  }
  return used;
}

std::size_t ServerConnection::consumeHead(std::string_view bytes)
{
  // The next request is not parsed before the previous response is written, which bounds the output
  // buffer.
  if (pendingBytes() > 0)
    return 0;
  if (!headStarted_ && bytes.substr(0, 2) == std::string_view("\r\n").substr(0, bytes.size()))
    return bytes.size() < 2 ? 0 : 2;
  if (!std::exchange(headStarted_, true))
    setDeadline(bootTime() + context_->limits.headTimeout);
  const auto limit = context_->limits.headBytes;
  const auto state = scanner_.scan(bytes, true);
  if (state == HeadScanner::State::malformed) {
    fail(400, "malformed head");
    return 0;
  }
  if (state == HeadScanner::State::incomplete && bytes.size() < limit)
    return 0;
  if (state == HeadScanner::State::incomplete || scanner_.size() > limit) {
    fail(431, "the head is too large");
    return 0;
  }
  if (!std::exchange(hadHead_, true))
    --context_->unusedConnections;
  const auto size = scanner_.size();
  scanner_.reset();
  headStarted_ = false;
  if (!startRequest(bytes.substr(0, size), bytes.size()))
    return 0;
  if (incoming_)
    prepareBody(bytes.substr(0, size), bytes.substr(size));
  return size;
}

bool ServerConnection::startRequest(std::string_view head, std::size_t received)
{
  auto incoming = std::make_unique<IncomingRequest>();
  auto& parser = incoming->parser;
  std::size_t used = 0;
  if (!parser.parse(head, used) || !parser.is_header_done()) {
    fail(400, "malformed head");
    return false;
  }
  const auto version = parser.httpVersion();
  incoming->framing = extractFraming(parser.head.fields, version);
  auto error = incoming->framing.error;
  if (error.empty())
    error = validateRequest(parser.head, version);
  if (!error.empty()) {
    fail(400, error);
    return false;
  }
  parser.head.length = incoming->framing.length;
  parser.head.chunked = incoming->framing.chunked;
  if (parser.is_done()) {
    parser.head.fields.remove("expect");
    if (!passesFilter(*incoming, head.size(), received))
      return false;
    dispatch(*incoming, emptyBody());
    return true;
  }
  auto countedBody = std::make_shared<CountedBody>(context_->bodyBytes);
  incoming->countedBytes = &countedBody->countedBytes;
  incoming->body = std::shared_ptr<std::string>(countedBody, &countedBody->bytes);
  incoming_ = std::move(incoming);
  return true;
}

void ServerConnection::prepareBody(std::string_view headText, std::string_view rest)
{
  const auto& limits = context_->limits;
  const auto& head = incoming_->parser.head;
  const auto length = head.length.value_or(0);
  if (length > limits.bodyBytes) {
    fail(413, "the body is too large");
    return;
  }
  if (*context_->bodyBytes + length > limits.totalBodyBytes) {
    fail(503, "too many request bodies");
    return;
  }
  const auto* expected = head.fields.find("expect");
  if (expected && !equalsIgnoreCase(*expected, "100-continue")) {
    fail(417, "unknown expectation");
    return;
  }
  if (!passesFilter(*incoming_, headText.size(), headText.size() + rest.size()))
    return;
  setDeadline(bootTime() + limits.bodyTimeout);
  incoming_->body->reserve(length);
  if (!expected)
    return;
  incoming_->parser.head.fields.remove("expect");
  if (rest.empty() && incoming_->parser.httpVersion() >= 11) {
    output_.append("HTTP/1.1 100 Continue\r\n\r\n");
    scheduleFlush();
  }
}

bool ServerConnection::passesFilter(IncomingRequest& incoming,
                                    std::size_t headBytes,
                                    std::size_t received)
{
  if (!context_->headFilter)
    return true;
  const auto& head = incoming.parser.head;
  auto decision = context_->headFilter(head, HeadInfo{ headBytes, received, hadRequest_ });
  if (decision.refusal) {
    refuseRequest(*decision.refusal, head.method == "HEAD", received);
    return false;
  }
  incoming.observer = std::move(decision.observer);
  if (incoming.observer)
    incoming.observer->received(headBytes);
  return true;
}

void ServerConnection::refuseRequest(const HeadRefusal& refusal,
                                     bool isHeadRequest,
                                     std::size_t received)
{
  refused_ = true;
  context_->refusedTraffic.receivedBytes += received;
  respondAndClose(refusal.head, refusal.body, isHeadRequest);
}

std::size_t ServerConnection::consumeBody(std::string_view bytes)
{
  std::size_t used = 0;
  auto& parser = incoming_->parser;
  if (!parser.parse(bytes, used)) {
    fail(400, "malformed chunk");
    return 0;
  }
  if (incoming_->observer)
    incoming_->observer->received(used);
  if (!parser.bodyPart().empty() && !appendBody(parser.bodyPart()))
    return 0;
  if (used == 0 && bytes.size() > kMaxChunkHeaderBytes) {
    fail(400, "the chunk header is too large");
    return 0;
  }
  if (parser.is_done()) {
    const auto incoming = std::exchange(incoming_, nullptr);
    dispatch(*incoming, std::move(incoming->body));
  }
  return used;
}

bool ServerConnection::appendBody(std::string_view bytes)
{
  const auto& limits = context_->limits;
  auto& body = *incoming_->body;
  if (body.size() + bytes.size() > limits.bodyBytes) {
    fail(413, "the body is too large");
    return false;
  }
  if (*context_->bodyBytes + bytes.size() > limits.totalBodyBytes) {
    fail(503, "too many request bodies");
    return false;
  }
  body.append(bytes);
  *context_->bodyBytes += bytes.size();
  *incoming_->countedBytes += bytes.size();
  setDeadline(bootTime() + limits.bodyTimeout);
  return true;
}

void ServerConnection::dispatch(IncomingRequest& incoming, std::shared_ptr<const std::string> body)
{
  // The bytes may have waited in the socket until the caller left.
  if (peerHasClosed(socket_.native_handle())) {
    close(UnsentReason::disconnected);
    return;
  }
  setDeadline(kNever);
  auto& parser = incoming.parser;
  auto request = std::make_shared<OpenRequest>(*this,
                                               std::move(parser.head),
                                               parser.httpVersion(),
                                               std::move(body),
                                               peer_,
                                               std::move(incoming.observer));
  if (!incoming.framing.keepAlive)
    request->closeAfterResponse();
  openRequest_ = request.get();
  onUnsent_ = nullptr;
  hadRequest_ = true;
  ++context_->openRequests;
  context_->handler(std::move(request));
}

void ServerConnection::fail(int status, std::string_view reason)
{
  ResponseHead head;
  head.status = status;
  head.fields.add("Content-Type", "text/plain");
  if (status == 503)
    head.fields.add("Retry-After", "1");
  respondAndClose(head, fmt::format("{}\n", reason), false);
}

void ServerConnection::respondAndClose(const ResponseHead& head,
                                       std::string_view body,
                                       bool omitBody)
{
  incoming_.reset();
  release(input_);
  phase_ = Phase::ending;
  setDeadline(kNever);
  appendHead(output_, head, BodyFraming{ body.size(), false, "close" });
  if (!omitBody)
    output_.append(body);
  scheduleFlush();
}

std::size_t ServerConnection::pendingBytes() const
{
  return output_.size() - outputSent_ - (holdLastByte_ ? 1 : 0);
}

std::size_t ServerConnection::unacknowledgedOutput()
{
  const auto bytes = unacknowledgedBytes(socket_.native_handle());
  const std::size_t endOfStream = phase_ == Phase::lingering ? 1 : 0;
  return bytes - std::min(bytes, endOfStream);
}

std::int64_t ServerConnection::acknowledgedOutput()
{
  return writtenBytes_ - static_cast<std::int64_t>(unacknowledgedOutput());
}

void ServerConnection::setDeadline(Duration deadline)
{
  deadline_ = deadline;
  if (deadline != kNever)
    context_->timer->schedule(deadline);
}

void ServerConnection::scheduleFlush()
{
  if (!std::exchange(flushScheduled_, true))
    context_->flushScheduler.add(shared_from_this());
}

void ServerConnection::flush()
{
  flushScheduled_ = false;
  if (phase_ == Phase::closed || phase_ == Phase::lingering || writeWaiting_)
    return;
  const auto self = shared_from_this();
  const bool wrote = pendingBytes() > 0;
  while (pendingBytes() > 0) {
    const iovec part{ output_.data() + outputSent_, pendingBytes() };
    const auto writeResult = send(socket_.native_handle(), std::span(&part, 1));
    if (writeResult.state == TransferResult::State::failed) {
      onDisconnected();
      return;
    }
    if (writeResult.state == TransferResult::State::wouldBlock) {
      output_.erase(0, std::exchange(outputSent_, 0));
      if (!incoming_)
        setDeadline(kNever);
      startWriteProgress();
      startWriteWait();
      return;
    }
    outputSent_ += writeResult.size;
    writtenBytes_ += static_cast<std::int64_t>(writeResult.size);
    context_->traffic.sentBytes += writeResult.size;
    if (refused_)
      context_->refusedTraffic.sentBytes += writeResult.size;
  }
  if (wrote)
    startWriteProgress();
  onOutputDrained(wrote);
}

void ServerConnection::onOutputDrained(bool wrote)
{
  output_.erase(0, std::exchange(outputSent_, 0));
  if (output_.empty() && output_.capacity() > kMaxRetainedCapacity)
    release(output_);
  if (phase_ == Phase::ending) {
    startLingering();
    return;
  }
  if (openRequest_) {
    setDeadline(canRead() ? kNever : bootTime() + kDisconnectCheckInterval);
    if (wrote)
      openRequest_->notifyWritable();
    return;
  }
  if (incoming_)
    return;
  setDeadline(bootTime() + context_->limits.idleTimeout);
  if (!input_.empty()) {
    const auto used = consume(input_);
    if (phase_ != Phase::serving)
      return;
    input_.erase(0, used);
  }
  if (input_.empty())
    release(input_);
  startReadWait();
}

void ServerConnection::startLingering()
{
  phase_ = Phase::lingering;
  incoming_.reset();
  release(input_);
  release(output_);
  outputSent_ = 0;
  if (std::exchange(sendsBodyUntilClose_, false))
    setResetOnClose(socket_.native_handle(), false);
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  setDeadline(bootTime() + kLingerTimeout);
  startReadWait();
}

void ServerConnection::onDisconnected(UnsentReason reason)
{
  const auto self = shared_from_this();
  auto* const request = std::exchange(openRequest_, nullptr);
  if (request)
    --context_->openRequests;
  close(reason);
  if (request)
    request->notifyDisconnected();
}

Duration ServerConnection::checkDeadline(Duration now)
{
  if (progressCheckAt_ <= now) {
    const auto self = shared_from_this();
    progressCheckAt_ = kNever;
    checkWriteProgress(now);
  }
  if (deadline_ <= now) {
    const auto self = shared_from_this();
    deadline_ = kNever;
    onTimeout();
  }
  return std::min(deadline_, progressCheckAt_);
}

void ServerConnection::startWriteProgress()
{
  if (writeProgress_.isRunning())
    return;
  const auto now = bootTime();
  writeProgress_.start(now, acknowledgedOutput());
  progressCheckAt_ = now + context_->limits.writeTimeout / kChecksPerWriteTimeout;
  context_->timer->schedule(progressCheckAt_);
}

void ServerConnection::checkWriteProgress(Duration now)
{
  if (pendingBytes() == 0 && unacknowledgedOutput() == 0) {
    writeProgress_.stop();
    return;
  }
  const auto limit = context_->limits.writeTimeout;
  if (writeProgress_.update(now, acknowledgedOutput()) >= limit) {
    // Frees the system's buffers, which it would keep for minutes after a close in order.
    setResetOnClose(socket_.native_handle(), true);
    onDisconnected(UnsentReason::writeTimeout);
    return;
  }
  progressCheckAt_ = now + limit / kChecksPerWriteTimeout;
}

void ServerConnection::reportUnsent(UnsentReason reason)
{
  const auto callback = std::exchange(onUnsent_, nullptr);
  const UnsentResponse unsent{ reason, pendingBytes(), unacknowledgedOutput() };
  if (callback && (unsent.unwrittenBytes > 0 || unsent.unacknowledgedBytes > 0))
    callback(unsent);
}

void ServerConnection::onTimeout()
{
  if (phase_ == Phase::lingering) {
    // Input that arrives after the close would reset the connection and discard what the system
    // still has to send.
    if (takeError(socket_.native_handle()) != 0)
      onDisconnected();
    else if (!refused_ && unacknowledgedOutput() > 0)
      setDeadline(bootTime() + kLingerTimeout);
    else
      close();
    return;
  }
  if (openRequest_) {
    // The connection is not being read, because the caller has pipelined too much data.
    if (peerHasClosed(socket_.native_handle()))
      onDisconnected();
    else
      setDeadline(bootTime() + kDisconnectCheckInterval);
    return;
  }
  // The bytes may have arrived before the deadline while this process was suspended.
  if (hasInput(socket_.native_handle())) {
    setDeadline(bootTime() + kDisconnectCheckInterval);
    return;
  }
  if (incoming_ || headStarted_)
    fail(408, "the request took too long");
  else
    startLingering();
}

void ServerConnection::beginBodyUntilClose()
{
  sendsBodyUntilClose_ = true;
  setResetOnClose(socket_.native_handle(), true);
}

void ServerConnection::onRequestEnded(bool closeAfterResponse,
                                      std::function<void(const UnsentResponse&)> unsent)
{
  openRequest_ = nullptr;
  onUnsent_ = std::move(unsent);
  holdLastByte_ = false;
  --context_->openRequests;
  if (closeAfterResponse)
    phase_ = Phase::ending;
  scheduleFlush();
}

void ServerConnection::abortRequest()
{
  const auto self = shared_from_this();
  openRequest_ = nullptr;
  --context_->openRequests;
  // A reset marks the response as incomplete even for a caller that reads the body until close.
  setResetOnClose(socket_.native_handle(), true);
  close();
}

} // namespace figchute::http::detail
