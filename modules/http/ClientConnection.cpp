#include "http/ClientConnection.h"

#include "http/Sockets.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <span>
#include <utility>

namespace figchute::http::detail {

namespace {

constexpr std::size_t kMaxHead = 32U * 1024;

/** Most reads of one connection before others get their turn. */
constexpr int kReadsPerEvent = 4;

constexpr Duration kUserTimeout = std::chrono::seconds(2);

/** How long an idle connection is kept when the endpoint names no time. */
constexpr Duration kIdleTime = std::chrono::seconds(4);

/** How much earlier than the endpoint an idle connection is closed. */
constexpr std::chrono::seconds kIdleMargin(1);

Duration idleTime(const Framing& framing)
{
  if (!framing.keepAliveTimeout)
    return kIdleTime;
  return std::clamp<Duration>(*framing.keepAliveTimeout - kIdleMargin, Duration::zero(), kIdleTime);
}

} // namespace

PoolShared::PoolShared(boost::asio::io_context& context)
  : io(context)
  , turn(Turn::of(context))
{
}

ClientConnection::ClientConnection(PoolShared& shared,
                                   const boost::asio::ip::tcp::endpoint& address)
  : shared_(&shared)
  , socket_(shared.io)
  , address_(address)
{
}

std::string ClientConnection::connect(const std::shared_ptr<Exchange>& exchange)
{
  boost::system::error_code error;
  socket_.open(address_.protocol(), error);
  if (error)
    return error.message();
  setTcpOptions(socket_.native_handle(), kUserTimeout);
  exchange_ = exchange;
  exchange_->connection = this;
  exchange_->reused = false;
  setDeadline(bootTime() + exchange->options.connectTimeout);
  socket_.async_connect(address_,
                        [self = shared_from_this()](const boost::system::error_code& result) {
                          if (self->phase_ != Phase::connecting)
                            return;
                          const Turn::Scope scope(self->shared_->turn);
                          self->onConnected(result);
                        });
  return {};
}

void ClientConnection::onConnected(const boost::system::error_code& error)
{
  if (error == boost::asio::error::timed_out) {
    fail(CallFailureKind::connectTimeout, error.message());
    return;
  }
  if (error) {
    fail(CallFailureKind::connectRefused, error.message());
    return;
  }
  phase_ = Phase::busy;
  setDeadline(kNever);
  armRead();
  shared_->turn.add(shared_from_this());
}

void ClientConnection::begin(const std::shared_ptr<Exchange>& exchange)
{
  phase_ = Phase::busy;
  setDeadline(kNever);
  exchange_ = exchange;
  exchange_->connection = this;
  exchange_->reused = true;
  written_ = 0;
  shared_->turn.add(shared_from_this());
}

void ClientConnection::close()
{
  if (phase_ == Phase::closed)
    return;
  phase_ = Phase::closed;
  deadline_ = kNever;
  if (exchange_)
    std::exchange(exchange_, nullptr)->connection = nullptr;
  boost::system::error_code ignored;
  socket_.close(ignored);
  shared_->closed(*this);
}

bool ClientConnection::isActive() const
{
  return phase_ == Phase::busy && exchange_ && exchange_->listener;
}

bool ClientConnection::fullyWritten() const
{
  return written_ == exchange_->head.size() + (exchange_->body ? exchange_->body->size() : 0);
}

void ClientConnection::armRead()
{
  if (readArmed_ || phase_ == Phase::closed || (exchange_ && exchange_->paused))
    return;
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

void ClientConnection::armWrite()
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

void ClientConnection::flush()
{
  if (!isActive() || writeArmed_ || writeError_ != 0)
    return;
  const auto self = shared_from_this();
  const auto exchange = exchange_;
  // The endpoint may have closed the connection while it was idle. A request that is moved before
  // its first byte is written cannot run twice.
  if (exchange->reused && written_ == 0 && hasInput(socket_.native_handle())) {
    moveToAnother();
    return;
  }
  const std::string_view body =
    exchange->body ? std::string_view(*exchange->body) : std::string_view();
  while (!fullyWritten()) {
    const auto headWritten = std::min(written_, exchange->head.size());
    const auto bodyWritten = written_ - headWritten;
    const std::array<iovec, 2> parts = {
      iovec{ exchange->head.data() + headWritten, exchange->head.size() - headWritten },
      iovec{ const_cast<char*>(body.data()) + bodyWritten, body.size() - bodyWritten },
    };
    const auto put = send(socket_.native_handle(), parts);
    if (put.state == Transfer::State::wouldBlock) {
      armWrite();
      return;
    }
    if (put.state == Transfer::State::failed) {
      if (exchange->reused && written_ == 0) {
        moveToAnother();
        return;
      }
      writeError_ = put.error;
      if (written_ == 0)
        fail(CallFailureKind::reset, errorText(put.error));
      return;
    }
    written_ += put.size;
    if (!std::exchange(exchange->sent, true)) {
      exchange->listener->onSent();
      if (exchange_ != exchange || !isActive())
        return;
    }
  }
}

void ClientConnection::moveToAnother()
{
  const auto exchange = exchange_;
  close();
  shared_->assign(exchange);
}

void ClientConnection::onReadable()
{
  const auto self = shared_from_this();
  if (phase_ == Phase::idle) {
    close();
    return;
  }
  const auto exchange = exchange_;
  // An end that was on its way when the connection was taken from the idle ones.
  if (exchange->reused && written_ == 0 && hasInput(socket_.native_handle())) {
    moveToAnother();
    return;
  }
  for (int round = 0; round < kReadsPerEvent; ++round) {
    if (exchange->paused)
      return;
    const auto got = receive(socket_.native_handle(), shared_->buffer);
    if (got.state == Transfer::State::wouldBlock)
      break;
    if (got.state == Transfer::State::ended) {
      onEnd();
      return;
    }
    if (got.state == Transfer::State::failed) {
      fail(CallFailureKind::reset, errorText(got.error));
      return;
    }
    received({ shared_->buffer.data(), got.size });
    if (exchange_ != exchange || phase_ != Phase::busy || got.size < shared_->buffer.size())
      break;
  }
  armRead();
}

void ClientConnection::onEnd()
{
  if (writeError_ != 0) {
    // The failed write has taken the error of the socket, so a reset looks like an end here.
    fail(CallFailureKind::reset, errorText(writeError_));
    return;
  }
  const bool endsBody = parser_ && parser_->need_eof() && parser_->is_header_done();
  if (!endsBody) {
    fail(CallFailureKind::closed, "the connection was closed before the response was complete");
    return;
  }
  if (dropping_) {
    fail(CallFailureKind::closed, "the connection was closed after a response to another request");
    return;
  }
  keepFor_ = Duration::zero();
  complete(false);
}

void ClientConnection::received(std::string_view bytes)
{
  const auto exchange = exchange_;
  if (in_.empty()) {
    const auto used = consume(bytes);
    if (exchange_ == exchange && phase_ == Phase::busy)
      in_.assign(bytes.substr(used));
    return;
  }
  in_.append(bytes);
  const auto used = consume(in_);
  if (exchange_ == exchange && phase_ == Phase::busy)
    in_.erase(0, used);
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
    const auto step = parser_ ? consumeBody(rest) : consumeHead(rest);
    if (step == 0)
      break;
    used += step;
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
  if (state == HeadScanner::State::incomplete && bytes.size() < kMaxHead)
    return 0;
  const auto size = scanner_.size();
  if (state == HeadScanner::State::incomplete || size > kMaxHead) {
    fail(CallFailureKind::malformed, "the response head is too large");
    return 0;
  }
  scanner_.reset();
  parser_ = std::make_unique<MessageParser<false>>();
  if (exchange_->method == "HEAD")
    parser_->skip(true);
  std::size_t used = 0;
  if (!parser_->take(bytes.substr(0, size), used) || !parser_->is_header_done()) {
    fail(CallFailureKind::malformed, "malformed response head");
    return 0;
  }
  return acceptHead(takeFraming(parser_->head.fields, parser_->httpVersion())) ? size : 0;
}

bool ClientConnection::acceptHead(const Framing& framing)
{
  auto& head = parser_->head;
  if (!framing.fault.empty()) {
    fail(CallFailureKind::malformed, framing.fault);
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
  keepFor_ = keepAlive_ ? idleTime(framing) : Duration::zero();
  const auto& options = exchange_->options;
  const auto* echo =
    options.correlationName.empty() ? nullptr : head.fields.find(options.correlationName);
  dropping_ = echo && *echo != options.correlationValue;
  if (dropping_)
    return true;
  exchange_->headReceived = true;
  exchange_->listener->onHead(head);
  return true;
}

std::size_t ClientConnection::consumeBody(std::string_view bytes)
{
  std::size_t used = 0;
  if (!parser_->take(bytes, used)) {
    fail(CallFailureKind::malformed, "malformed chunk");
    return 0;
  }
  if (used == 0 && bytes.size() > kMaxChunkHeader) {
    fail(CallFailureKind::malformed, "the chunk header is too large");
    return 0;
  }
  if (!dropping_ && !parser_->piece().empty())
    exchange_->listener->onBody(parser_->piece());
  return used;
}

void ClientConnection::complete(bool extraBytes)
{
  if (dropping_) {
    dropping_ = false;
    parser_.reset();
    if (!keepAlive_)
      fail(CallFailureKind::closed, "the connection ended after a response to another request");
    return;
  }
  const bool reusable =
    keepFor_ > Duration::zero() && !extraBytes && fullyWritten() && writeError_ == 0;
  const auto exchange = exchange_;
  auto* const listener = std::exchange(exchange->listener, nullptr);
  if (reusable) {
    std::exchange(exchange_, nullptr)->connection = nullptr;
    releaseBuffers();
    phase_ = Phase::idle;
    setDeadline(bootTime() + keepFor_);
    shared_->idle(*this);
    armRead();
  } else {
    close();
  }
  listener->onComplete();
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
  failure.detail = std::move(detail);
  listener->onFailure(failure);
}

void ClientConnection::releaseBuffers()
{
  parser_.reset();
  scanner_.reset();
  release(in_);
}

void ClientConnection::resume()
{
  // The listener is not called from within the caller's resume().
  boost::asio::post(shared_->io, [self = shared_from_this(), exchange = exchange_] {
    if (self->exchange_ != exchange || self->phase_ != Phase::busy || exchange->paused)
      return;
    const Turn::Scope scope(self->shared_->turn);
    const auto used = self->consume(self->in_);
    if (self->exchange_ != exchange || self->phase_ != Phase::busy)
      return;
    self->in_.erase(0, used);
    self->armRead();
  });
}

Duration ClientConnection::checkDeadline(Duration now)
{
  if (deadline_ > now)
    return deadline_;
  deadline_ = kNever;
  if (phase_ == Phase::idle)
    close();
  else if (phase_ == Phase::connecting)
    fail(CallFailureKind::connectTimeout, "no connection in time");
  return deadline_;
}

void ClientConnection::setDeadline(Duration deadline)
{
  deadline_ = deadline;
  if (deadline != kNever)
    shared_->timer->need(deadline);
}

} // namespace figchute::http::detail
