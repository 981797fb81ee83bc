#include "http/ServerConnection.h"

#include "http/Sockets.h"

#include <fmt/format.h>
#include <span>
#include <utility>

namespace figchute::http::detail {

namespace {

/** How long and how much is read and discarded after the last response of a connection. */
constexpr Duration kLingerTime = std::chrono::seconds(1);

/** Most reads of one connection before others get their turn. */
constexpr int kReadsPerEvent = 4;

/** How often a connection that is not read is checked for its end. */
constexpr Duration kEndCheckInterval = std::chrono::milliseconds(100);

/** Largest buffer that a connection keeps for its next output. */
constexpr std::size_t kKeptCapacity = 2048;

/** A request body; returns its bytes to the common account when it is destroyed. */
struct HeldBody
{
  std::string bytes;
  std::shared_ptr<std::uint64_t> account;
  std::uint64_t held = 0;

  explicit HeldBody(std::shared_ptr<std::uint64_t> total)
    : account(std::move(total))
  {
  }
  ~HeldBody() { *account -= held; }

  HeldBody(const HeldBody&) = delete;
  HeldBody& operator=(const HeldBody&) = delete;
};

const std::shared_ptr<const std::string>& emptyBody()
{
  static const auto body = std::make_shared<const std::string>();
  return body;
}

} // namespace

ServerShared::ServerShared(boost::asio::io_context& context,
                           ServerLimits bounds,
                           Server::Handler function)
  : io(context)
  , turn(Turn::of(context))
  , limits(bounds)
  , handler(std::move(function))
{
}

ServerConnection::ServerConnection(ServerShared& shared,
                                   boost::asio::ip::tcp::socket socket,
                                   const boost::asio::ip::tcp::endpoint& peer)
  : shared_(&shared)
  , socket_(std::move(socket))
  , peer_(peer)
{
}

void ServerConnection::start()
{
  setDeadline(bootTime() + shared_->limits.idleTimeout);
  armRead();
}

void ServerConnection::refuse(int status)
{
  fail(status, "too many connections");
  armRead();
}

void ServerConnection::close()
{
  if (phase_ == Phase::closed)
    return;
  phase_ = Phase::closed;
  deadline_ = kNever;
  reading_.reset();
  if (open_) {
    --shared_->openRequests;
    std::exchange(open_, nullptr)->detach();
  }
  boost::system::error_code ignored;
  socket_.close(ignored);
  shared_->closed(*this);
}

bool ServerConnection::isIdle() const
{
  return phase_ == Phase::serving && !open_ && !reading_ && in_.empty() && pending() == 0;
}

bool ServerConnection::closeIfIdle()
{
  // Bytes that wait to be read are a request that is under way.
  if (!isIdle() || hasInput(socket_.native_handle()))
    return false;
  linger();
  return true;
}

void ServerConnection::armRead()
{
  if (readArmed_ || phase_ == Phase::closed)
    return;
  if (!wantsRead()) {
    if (open_ && pending() == 0)
      setDeadline(bootTime() + kEndCheckInterval);
    return;
  }
  readArmed_ = true;
  socket_.async_wait(boost::asio::socket_base::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->readArmed_ = false;
                       if (error || self->phase_ == Phase::closed)
                         return;
                       const Turn::Scope scope(self->shared_->turn);
                       self->onReadable();
                     });
}

void ServerConnection::armWrite()
{
  if (std::exchange(writeArmed_, true))
    return;
  socket_.async_wait(boost::asio::socket_base::wait_write,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->writeArmed_ = false;
                       if (error || self->phase_ == Phase::closed)
                         return;
                       const Turn::Scope scope(self->shared_->turn);
                       self->flush();
                     });
}

bool ServerConnection::wantsRead() const
{
  // One head of the next request is buffered while a request is open.
  return phase_ == Phase::lingering || phase_ == Phase::ending ||
         in_.size() < shared_->limits.headBytes || (!open_ && pending() == 0);
}

void ServerConnection::onReadable()
{
  const auto self = shared_from_this();
  for (int round = 0; round < kReadsPerEvent && wantsRead(); ++round) {
    const auto got = receive(socket_.native_handle(), shared_->buffer);
    if (got.state == Transfer::State::wouldBlock)
      break;
    if (got.state == Transfer::State::ended) {
      onEnd();
      return;
    }
    if (got.state == Transfer::State::failed) {
      lost();
      return;
    }
    received({ shared_->buffer.data(), got.size });
    if (phase_ == Phase::closed)
      return;
    if (got.size < shared_->buffer.size())
      break;
  }
  armRead();
}

void ServerConnection::onEnd()
{
  // The last response may still be read by a caller that has only ended its own direction.
  if (phase_ != Phase::lingering && !open_ && pending() > 0)
    phase_ = Phase::ending;
  else
    lost();
}

void ServerConnection::received(std::string_view bytes)
{
  if (phase_ != Phase::serving)
    return;
  if (in_.empty()) {
    const auto used = consume(bytes);
    if (phase_ == Phase::serving)
      in_.assign(bytes.substr(used));
    return;
  }
  in_.append(bytes);
  const auto used = consume(in_);
  if (phase_ == Phase::serving)
    in_.erase(0, used);
}

std::size_t ServerConnection::consume(std::string_view bytes)
{
  std::size_t used = 0;
  while (phase_ == Phase::serving && !open_ && used < bytes.size()) {
    const auto rest = bytes.substr(used);
    const auto step = reading_ ? consumeBody(rest) : consumeHead(rest);
    if (step == 0)
      break;
    used += step;
  }
  return used;
}

std::size_t ServerConnection::consumeHead(std::string_view bytes)
{
  // The next request waits until the response before it is written, which bounds the output.
  if (pending() > 0)
    return 0;
  if (!headBegun_ && bytes.substr(0, 2) == std::string_view("\r\n").substr(0, bytes.size()))
    return bytes.size() < 2 ? 0 : 2;
  if (!std::exchange(headBegun_, true))
    setDeadline(bootTime() + shared_->limits.headTimeout);
  const auto limit = shared_->limits.headBytes;
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
  const auto size = scanner_.size();
  scanner_.reset();
  headBegun_ = false;
  if (!beginRequest(bytes.substr(0, size)))
    return 0;
  if (reading_)
    expectBody(reading_->parser.head, bytes.substr(size));
  return size;
}

bool ServerConnection::beginRequest(std::string_view head)
{
  auto reading = std::make_unique<Reading>();
  auto& parser = reading->parser;
  std::size_t used = 0;
  if (!parser.take(head, used) || !parser.is_header_done()) {
    fail(400, "malformed head");
    return false;
  }
  const auto version = parser.httpVersion();
  reading->framing = takeFraming(parser.head.fields, version);
  auto fault = reading->framing.fault;
  if (fault.empty())
    fault = checkRequest(parser.head, version);
  if (!fault.empty()) {
    fail(400, fault);
    return false;
  }
  parser.head.length = reading->framing.length;
  parser.head.chunked = reading->framing.chunked;
  if (parser.is_done()) {
    parser.head.fields.remove("expect");
    dispatch(parser, reading->framing, emptyBody());
    return true;
  }
  auto holder = std::make_shared<HeldBody>(shared_->bodyBytes);
  reading->held = &holder->held;
  reading->body = std::shared_ptr<std::string>(holder, &holder->bytes);
  reading_ = std::move(reading);
  return true;
}

void ServerConnection::expectBody(const RequestHead& head, std::string_view rest)
{
  const auto& limits = shared_->limits;
  const auto length = head.length.value_or(0);
  if (length > limits.bodyBytes) {
    fail(413, "the body is too large");
    return;
  }
  if (*shared_->bodyBytes + length > limits.totalBodyBytes) {
    fail(503, "too many request bodies");
    return;
  }
  setDeadline(bootTime() + limits.bodyTimeout);
  reading_->body->reserve(length);
  const auto* expected = head.fields.find("expect");
  if (!expected)
    return;
  if (!equalsIgnoreCase(*expected, "100-continue")) {
    fail(417, "unknown expectation");
    return;
  }
  reading_->parser.head.fields.remove("expect");
  if (rest.empty() && reading_->parser.httpVersion() >= 11) {
    out_.append("HTTP/1.1 100 Continue\r\n\r\n");
    scheduleFlush();
  }
}

std::size_t ServerConnection::consumeBody(std::string_view bytes)
{
  std::size_t used = 0;
  auto& parser = reading_->parser;
  if (!parser.take(bytes, used)) {
    fail(400, "malformed chunk");
    return 0;
  }
  if (!parser.piece().empty() && !storeBody(parser.piece()))
    return 0;
  if (used == 0 && bytes.size() > kMaxChunkHeader) {
    fail(400, "the chunk header is too large");
    return 0;
  }
  if (parser.is_done()) {
    const auto reading = std::exchange(reading_, nullptr);
    dispatch(reading->parser, reading->framing, std::move(reading->body));
  }
  return used;
}

bool ServerConnection::storeBody(std::string_view piece)
{
  const auto& limits = shared_->limits;
  auto& body = *reading_->body;
  if (body.size() + piece.size() > limits.bodyBytes) {
    fail(413, "the body is too large");
    return false;
  }
  if (*shared_->bodyBytes + piece.size() > limits.totalBodyBytes) {
    fail(503, "too many request bodies");
    return false;
  }
  body.append(piece);
  *shared_->bodyBytes += piece.size();
  *reading_->held += piece.size();
  setDeadline(bootTime() + limits.bodyTimeout);
  return true;
}

void ServerConnection::dispatch(MessageParser<true>& parser,
                                const Framing& framing,
                                std::shared_ptr<const std::string> body)
{
  setDeadline(kNever);
  auto request = std::make_shared<OpenRequest>(
    *this, std::move(parser.head), parser.httpVersion(), std::move(body), peer_);
  if (!framing.keepAlive)
    request->closeAfterResponse();
  open_ = request.get();
  ++shared_->openRequests;
  shared_->handler(std::move(request));
}

void ServerConnection::fail(int status, std::string_view reason)
{
  reading_.reset();
  release(in_);
  phase_ = Phase::ending;
  setDeadline(kNever);
  const auto body = fmt::format("{}\n", reason);
  ResponseHead head;
  head.status = status;
  head.fields.add("Content-Type", "text/plain");
  if (status == 503)
    head.fields.add("Retry-After", "1");
  appendHead(out_, head, BodyFraming{ body.size(), false, "close" });
  out_.append(body);
  scheduleFlush();
}

std::size_t ServerConnection::pending() const
{
  return out_.size() - sent_ - (holdLast_ ? 1 : 0);
}

void ServerConnection::setDeadline(Duration deadline)
{
  deadline_ = deadline;
  if (deadline != kNever)
    shared_->timer->need(deadline);
}

void ServerConnection::scheduleFlush()
{
  if (!std::exchange(flushScheduled_, true))
    shared_->turn.add(shared_from_this());
}

void ServerConnection::flush()
{
  flushScheduled_ = false;
  if (phase_ == Phase::closed || phase_ == Phase::lingering || writeArmed_)
    return;
  const auto self = shared_from_this();
  const bool wrote = pending() > 0;
  while (pending() > 0) {
    const iovec part{ out_.data() + sent_, pending() };
    const auto put = send(socket_.native_handle(), std::span(&part, 1));
    if (put.state == Transfer::State::failed) {
      lost();
      return;
    }
    if (put.state == Transfer::State::wouldBlock) {
      out_.erase(0, std::exchange(sent_, 0));
      setDeadline(bootTime() + shared_->limits.writeTimeout);
      armWrite();
      return;
    }
    sent_ += put.size;
  }
  onOutputDrained(wrote);
}

void ServerConnection::onOutputDrained(bool wrote)
{
  out_.erase(0, std::exchange(sent_, 0));
  if (out_.empty() && out_.capacity() > kKeptCapacity)
    release(out_);
  if (phase_ == Phase::ending) {
    linger();
    return;
  }
  if (open_) {
    setDeadline(wantsRead() ? kNever : bootTime() + kEndCheckInterval);
    if (wrote)
      open_->notifyWritable();
    return;
  }
  if (reading_)
    return;
  setDeadline(bootTime() + shared_->limits.idleTimeout);
  if (!in_.empty()) {
    const auto used = consume(in_);
    if (phase_ != Phase::serving)
      return;
    in_.erase(0, used);
  }
  if (in_.empty())
    release(in_);
  armRead();
}

void ServerConnection::linger()
{
  phase_ = Phase::lingering;
  reading_.reset();
  release(in_);
  release(out_);
  sent_ = 0;
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  setDeadline(bootTime() + kLingerTime);
  armRead();
}

void ServerConnection::lost()
{
  const auto self = shared_from_this();
  auto* const request = std::exchange(open_, nullptr);
  if (request)
    --shared_->openRequests;
  close();
  if (request)
    request->notifyGone();
}

Duration ServerConnection::checkDeadline(Duration now)
{
  if (deadline_ <= now) {
    const auto self = shared_from_this();
    deadline_ = kNever;
    onTimeout();
  }
  return deadline_;
}

void ServerConnection::onTimeout()
{
  if (phase_ == Phase::lingering) {
    close();
    return;
  }
  if (pending() > 0) {
    lost();
    return;
  }
  if (open_) {
    // The connection is not read because the caller has sent too much ahead.
    if (hasEnd(socket_.native_handle()))
      lost();
    else
      setDeadline(bootTime() + kEndCheckInterval);
    return;
  }
  // Bytes may have arrived in time while this process was suspended.
  if (hasInput(socket_.native_handle())) {
    setDeadline(bootTime() + kEndCheckInterval);
    return;
  }
  if (reading_ || headBegun_)
    fail(408, "the request took too long");
  else
    linger();
}

void ServerConnection::requestEnded(bool closeAfter)
{
  open_ = nullptr;
  holdLast_ = false;
  --shared_->openRequests;
  if (closeAfter)
    phase_ = Phase::ending;
  scheduleFlush();
}

void ServerConnection::abortRequest()
{
  const auto self = shared_from_this();
  open_ = nullptr;
  --shared_->openRequests;
  // A reset tells every caller that the response is not complete, also one that reads until close.
  setResetOnClose(socket_.native_handle());
  close();
}

} // namespace figchute::http::detail
