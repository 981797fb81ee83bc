#include "mesh/Mesh.h"

#include "mesh/Frame.h"
#include "mesh/Link.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <ctime>
#include <deque>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <utility>
#include <vector>

namespace figchute::mesh {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::appendLength;
using detail::kLengthPrefixBytes;
using detail::kMinBackoff;
using detail::Link;
using detail::LinkPtr;
using detail::Peer;
using detail::readLength;
using std::chrono::milliseconds;

constexpr std::size_t kMaxQueuedBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;
/** The first frame is a heartbeat. This limit bounds how much an unauthenticated sender can make
    the process buffer. */
constexpr std::size_t kMaxFirstFrameBytes = 4UL * 1024;
constexpr std::size_t kReadBufferBytes = 64UL * 1024;
/** Empty buffers with a larger capacity are freed. */
constexpr std::size_t kMaxRetainedBufferBytes = 64UL * 1024;
constexpr Duration kHeartbeatInterval = milliseconds(1000);
constexpr Duration kReplyTimeout = milliseconds(2500);
constexpr Duration kIdleTimeout = milliseconds(10'000);
constexpr Duration kDialTimeout = milliseconds(1000);
constexpr Duration kMaxBackoff = milliseconds(1000);
/** A timer that fires later than this indicates that the process was suspended, so missing replies
    are not a fault of the peers. */
constexpr Duration kSuspensionThreshold = milliseconds(500);
constexpr unsigned kTcpUserTimeoutMs = 2000;
constexpr std::string_view kPingBody;
constexpr std::string_view kPongBody = "r";

/** Returns the time of CLOCK_BOOTTIME, which includes the time that the machine was suspended. */
Time currentTime()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time{ static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000 };
}

std::optional<tcp::endpoint> parseEndpoint(const ProcessId& process)
{
  const auto colon = process.value.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  unsigned port = 0;
  const char* end = process.value.data() + process.value.size();
  const auto parsed = std::from_chars(process.value.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(process.value.substr(0, colon), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > 65535) {
    return std::nullopt;
  }
  return tcp::endpoint(address, static_cast<unsigned short>(port));
}

void setSocketOptions(tcp::socket& socket)
{
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  const unsigned timeout = kTcpUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  socket.non_blocking(true, error);
}

} // namespace

class Mesh::Impl : public std::enable_shared_from_this<Mesh::Impl>
{
public:
  Impl(asio::io_context& io, MeshSettings settings)
    : io_(io)
    , settings_(std::move(settings))
    , acceptor_(io)
    , acceptTimer_(io)
    , timer_(io)
  {
  }

  Expected<void> listen();
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  void maintainLink(const ProcessId& id);
  void stopMaintainingLink(const ProcessId& id);
  void stop();

  [[nodiscard]] bool isUp(const ProcessId& id) const
  {
    const auto peerIt = peers_.find(id);
    return peerIt != peers_.end() && peerIt->second.isUp;
  }

  MessageHandler onMessage;
  LinkHandler onLinkChange;
  std::uint64_t sentBytes = 0;

private:
  void acceptNext();
  void dialPeer(const ProcessId& id, Peer& peer);
  void handleConnected(const LinkPtr& link, const boost::system::error_code& error);
  void queueFrame(const LinkPtr& link, wire::Channel channel, std::string_view body);
  void flush(const LinkPtr& link);
  void waitReadable(const LinkPtr& link);
  void readAvailable(const LinkPtr& link);
  bool processFrames(const LinkPtr& link);
  bool processFrame(const LinkPtr& link, std::string_view bytes);
  bool identifyPeer(const LinkPtr& link, const ProcessId& sender);
  void close(const LinkPtr& link);
  void closeSocket(const LinkPtr& link);
  void setLinkUp(const ProcessId& id, Peer& peer, bool isUp);
  void eraseIfUnused(const ProcessId& id);
  void armTimer(Time deadline);
  void handleTimer();
  void postponeTimeouts(Duration delay);
  Time checkLink(const LinkPtr& link, bool isMaintained, Time now);
  [[nodiscard]] Time nextCheckAt(const Link& link, bool isMaintained) const;
  [[nodiscard]] bool isLinkMaintained(const Link& link) const;

  asio::io_context& io_;
  MeshSettings settings_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  asio::steady_timer timer_;
  std::optional<Time> timerDeadline_;
  std::map<ProcessId, Peer> peers_;
  /** Accepted connections that have not received their first frame. */
  std::vector<LinkPtr> unidentifiedLinks_;
  std::uint64_t sequence_ = 0;
  bool isStopped_ = false;
  std::array<char, kReadBufferBytes> readBuffer_{};
};

Expected<void> Mesh::Impl::listen()
{
  const auto endpoint = parseEndpoint(settings_.self);
  if (!endpoint) {
    return fail(ErrorKind::internal,
                "peer address \"" + settings_.self.value + "\" does not have the form IP:port");
  }
  boost::system::error_code error;
  const auto runIfNoError = [&](auto&& operation) {
    if (!error) {
      operation();
    }
  };
  runIfNoError([&] { acceptor_.open(endpoint->protocol(), error); });
  runIfNoError([&] { acceptor_.set_option(tcp::acceptor::reuse_address(true), error); });
  runIfNoError([&] { acceptor_.bind(*endpoint, error); });
  runIfNoError([&] { acceptor_.listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return fail(ErrorKind::internal,
                "cannot listen on " + settings_.self.value + ": " + error.message());
  }
  acceptNext();
  return {};
}

void Mesh::Impl::acceptNext()
{
  acceptor_.async_accept([self = shared_from_this()](const auto& error, tcp::socket socket) {
    if (self->isStopped_) {
      return;
    }
    if (error) {
      // Without a delay, a process that has no file descriptors left would use a whole core here.
      self->acceptTimer_.expires_after(kMinBackoff);
      self->acceptTimer_.async_wait([self](const auto& cancelled) {
        if (!cancelled && !self->isStopped_) {
          self->acceptNext();
        }
      });
      return;
    }
    setSocketOptions(socket);
    const auto link = std::make_shared<Link>(std::move(socket));
    link->openedAt = currentTime();
    link->lastActivityAt = link->openedAt;
    self->unidentifiedLinks_.push_back(link);
    self->armTimer(link->openedAt + kReplyTimeout);
    self->waitReadable(link);
    self->acceptNext();
  });
}

void Mesh::Impl::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  if (isStopped_ || body.size() + kMaxFirstFrameBytes > kMaxFrameBytes) {
    return;
  }
  if (to == settings_.self) {
    asio::post(io_, [self = shared_from_this(), channel, messageBody = std::move(body)]() mutable {
      if (!self->isStopped_ && self->onMessage) {
        self->onMessage(
          self->settings_.self, self->settings_.incarnation, channel, std::move(messageBody));
      }
    });
    return;
  }
  Peer& peer = peers_[to];
  if (!peer.activeLink && currentTime() >= peer.nextDialAt) {
    dialPeer(to, peer);
  }
  if (peer.activeLink) {
    if (peer.activeLink->queuedBytes() < kMaxQueuedBytes) {
      peer.activeLink->lastActivityAt = currentTime();
      queueFrame(peer.activeLink, channel, body);
    }
    return;
  }
  if (peer.queuedMessageBytes < kMaxQueuedBytes) {
    peer.queuedMessageBytes += body.size();
    peer.queuedMessages.push_back({ channel, std::move(body) });
    armTimer(peer.nextDialAt);
  }
}

void Mesh::Impl::maintainLink(const ProcessId& id)
{
  if (isStopped_ || id == settings_.self) {
    return;
  }
  Peer& peer = peers_[id];
  peer.isMaintained = true;
  if (peer.activeLink) {
    armTimer(nextCheckAt(*peer.activeLink, true));
  } else if (currentTime() >= peer.nextDialAt) {
    dialPeer(id, peer);
  } else {
    armTimer(peer.nextDialAt);
  }
}

void Mesh::Impl::stopMaintainingLink(const ProcessId& id)
{
  const auto peerIt = peers_.find(id);
  if (peerIt != peers_.end()) {
    peerIt->second.isMaintained = false;
    eraseIfUnused(id);
  }
}

void Mesh::Impl::stop()
{
  isStopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  acceptTimer_.cancel();
  timer_.cancel();
  for (const auto& link : unidentifiedLinks_) {
    closeSocket(link);
  }
  unidentifiedLinks_.clear();
  for (auto& [id, peer] : peers_) {
    for (const auto& link : peer.links) {
      closeSocket(link);
    }
  }
  peers_.clear();
  onMessage = nullptr;
  onLinkChange = nullptr;
}

void Mesh::Impl::dialPeer(const ProcessId& id, Peer& peer)
{
  const Time now = currentTime();
  peer.nextDialAt = now + peer.backoff;
  peer.backoff = std::min(peer.backoff * 2, kMaxBackoff);
  const auto endpoint = parseEndpoint(id);
  const auto ownEndpoint = parseEndpoint(settings_.self);
  tcp::socket socket(io_);
  boost::system::error_code error;
  if (endpoint) {
    socket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    peer.queuedMessages.clear();
    peer.queuedMessageBytes = 0;
    armTimer(peer.nextDialAt);
    return;
  }
  setSocketOptions(socket);
  if (ownEndpoint && ownEndpoint->protocol() == endpoint->protocol()) {
    // Binds the local end to the address in this process's id, so that the peer and the network see
    // it as the source address.
    const int enabled = 1;
    ::setsockopt(
      socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    socket.bind(tcp::endpoint(ownEndpoint->address(), 0), error);
  }
  const auto link = std::make_shared<Link>(std::move(socket));
  link->peer = id;
  link->isOutgoing = true;
  link->isConnecting = true;
  link->openedAt = now;
  link->lastActivityAt = now;
  peer.links.push_back(link);
  peer.activeLink = link;
  queueFrame(link, wire::Channel::heartbeat, kPingBody);
  for (const auto& message : std::exchange(peer.queuedMessages, {})) {
    queueFrame(link, message.channel, message.body);
  }
  peer.queuedMessageBytes = 0;
  armTimer(now + kDialTimeout);
  link->socket.async_connect(*endpoint,
                             [self = shared_from_this(), link](const auto& connectError) {
                               self->handleConnected(link, connectError);
                             });
}

void Mesh::Impl::handleConnected(const LinkPtr& link, const boost::system::error_code& error)
{
  if (link->isClosed) {
    return;
  }
  if (error) {
    close(link);
    return;
  }
  link->isConnecting = false;
  link->openedAt = currentTime();
  link->awaitingReplySince = link->openedAt;
  armTimer(nextCheckAt(*link, isLinkMaintained(*link)));
  waitReadable(link);
  flush(link);
}

void Mesh::Impl::queueFrame(const LinkPtr& link, wire::Channel channel, std::string_view body)
{
  wire::Envelope envelope;
  envelope.sender = settings_.self;
  envelope.incarnation = settings_.incarnation;
  envelope.sequence = ++sequence_;
  envelope.channel = channel;
  envelope.body = std::string(body);
  const std::string sealed = wire::seal(envelope, settings_.key);
  appendLength(link->output, sealed.size());
  link->output += sealed;
  if (link->isConnecting) {
    return;
  }
  const bool expectsReply = channel != wire::Channel::heartbeat || body == kPingBody;
  if (expectsReply && !link->awaitingReplySince) {
    link->awaitingReplySince = currentTime();
    armTimer(nextCheckAt(*link, isLinkMaintained(*link)));
  }
  if (!link->isFlushPosted && !link->isAwaitingWritable) {
    link->isFlushPosted = true;
    asio::post(io_, [self = shared_from_this(), link] {
      link->isFlushPosted = false;
      self->flush(link);
    });
  }
}

void Mesh::Impl::flush(const LinkPtr& link)
{
  if (link->isClosed || link->isConnecting || link->isAwaitingWritable ||
      link->queuedBytes() == 0) {
    return;
  }
  boost::system::error_code error;
  const auto count = link->socket.write_some(
    asio::buffer(link->output.data() + link->writtenBytes, link->queuedBytes()), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    close(link);
    return;
  }
  sentBytes += count;
  link->writtenBytes += count;
  if (link->queuedBytes() == 0) {
    link->output.clear();
    link->writtenBytes = 0;
    if (link->output.capacity() > kMaxRetainedBufferBytes) {
      link->output.shrink_to_fit();
    }
    return;
  }
  if (link->writtenBytes > kMaxQueuedBytes / 4) {
    link->output.erase(0, link->writtenBytes);
    link->writtenBytes = 0;
  }
  link->isAwaitingWritable = true;
  link->socket.async_wait(tcp::socket::wait_write,
                          [self = shared_from_this(), link](const auto& waitError) {
                            link->isAwaitingWritable = false;
                            if (waitError) {
                              self->close(link);
                            } else {
                              self->flush(link);
                            }
                          });
}

void Mesh::Impl::waitReadable(const LinkPtr& link)
{
  link->socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this(), link](const auto& error) {
                            if (error) {
                              self->close(link);
                            } else {
                              self->readAvailable(link);
                            }
                          });
}

void Mesh::Impl::readAvailable(const LinkPtr& link)
{
  if (link->isClosed) {
    return;
  }
  boost::system::error_code error;
  const auto count = link->socket.read_some(asio::buffer(readBuffer_), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    close(link);
    return;
  }
  link->input.append(readBuffer_.data(), count);
  if (!processFrames(link)) {
    close(link);
    return;
  }
  if (!link->isClosed) {
    waitReadable(link);
  }
}

bool Mesh::Impl::processFrames(const LinkPtr& link)
{
  // A message handler may close the link or send on it, but cannot change its input.
  std::string input = std::exchange(link->input, {});
  std::size_t offset = 0;
  while (!link->isClosed && input.size() - offset >= kLengthPrefixBytes) {
    const std::size_t length = readLength(std::string_view(input).substr(offset));
    if (length > (link->hasReceivedFrame ? kMaxFrameBytes : kMaxFirstFrameBytes)) {
      return false;
    }
    if (input.size() - offset - kLengthPrefixBytes < length) {
      break;
    }
    if (!processFrame(link, std::string_view(input).substr(offset + kLengthPrefixBytes, length))) {
      return false;
    }
    offset += kLengthPrefixBytes + length;
  }
  if (offset > 0) {
    input.erase(0, offset);
  }
  if (!input.empty()) {
    link->input = std::move(input);
  }
  return true;
}

bool Mesh::Impl::processFrame(const LinkPtr& link, std::string_view bytes)
{
  auto envelope = wire::open(bytes, settings_.key);
  if (!envelope || envelope->sequence <= link->lastReceivedSequence) {
    return false;
  }
  if (!identifyPeer(link, envelope->sender)) {
    return false;
  }
  link->lastReceivedSequence = envelope->sequence;
  link->lastReceivedAt = currentTime();
  link->awaitingReplySince.reset();
  if (envelope->channel == wire::Channel::heartbeat) {
    if (envelope->body == kPingBody) {
      link->lastActivityAt = link->lastReceivedAt;
      queueFrame(link, wire::Channel::heartbeat, kPongBody);
    }
    return true;
  }
  link->lastActivityAt = link->lastReceivedAt;
  if (onMessage) {
    onMessage(link->peer, envelope->incarnation, envelope->channel, std::move(envelope->body));
  }
  return true;
}

bool Mesh::Impl::identifyPeer(const LinkPtr& link, const ProcessId& sender)
{
  if (link->hasReceivedFrame) {
    return link->peer == sender;
  }
  if (link->isOutgoing && link->peer != sender) {
    return false;
  }
  if (sender == settings_.self) {
    return false;
  }
  link->hasReceivedFrame = true;
  Peer& peer = peers_[sender];
  peer.backoff = kMinBackoff;
  peer.nextDialAt = Time{};
  if (!link->isOutgoing) {
    std::erase(unidentifiedLinks_, link);
    link->peer = sender;
    peer.links.push_back(link);
    const LinkPtr previousLink = peer.activeLink;
    // If both ends dialled at the same time, both use the connection dialled by the smaller id.
    const bool shouldKeepOwnLink = previousLink && previousLink->isOutgoing &&
                                   !previousLink->isConnecting && settings_.self < sender;
    if (!shouldKeepOwnLink) {
      peer.activeLink = link;
    }
    if (previousLink && previousLink->isConnecting) {
      // Moves the initial heartbeat and the messages queued after it to the new link.
      link->output += previousLink->output;
      closeSocket(previousLink);
      std::erase(peer.links, previousLink);
      if (link->queuedBytes() > 0) {
        link->awaitingReplySince = currentTime();
        flush(link);
      }
    }
    for (const auto& message : std::exchange(peer.queuedMessages, {})) {
      queueFrame(peer.activeLink, message.channel, message.body);
    }
    peer.queuedMessageBytes = 0;
  }
  armTimer(nextCheckAt(*link, peer.isMaintained));
  setLinkUp(sender, peer, true);
  return true;
}

void Mesh::Impl::closeSocket(const LinkPtr& link)
{
  link->isClosed = true;
  boost::system::error_code ignored;
  link->socket.close(ignored);
}

void Mesh::Impl::close(const LinkPtr& link)
{
  if (link->isClosed) {
    return;
  }
  closeSocket(link);
  std::erase(unidentifiedLinks_, link);
  const auto peerIt = peers_.find(link->peer);
  if (peerIt == peers_.end()) {
    return;
  }
  Peer& peer = peerIt->second;
  std::erase(peer.links, link);
  if (peer.activeLink == link) {
    peer.activeLink = peer.links.empty() ? nullptr : peer.links.back();
  }
  const bool hasIdentifiedLink =
    std::any_of(peer.links.begin(), peer.links.end(), [](const LinkPtr& other) {
      return other->hasReceivedFrame;
    });
  if (peer.isMaintained && !peer.activeLink) {
    peer.nextDialAt = std::max(peer.nextDialAt, currentTime() + kMinBackoff);
    armTimer(peer.nextDialAt);
  }
  const ProcessId id = link->peer;
  if (!hasIdentifiedLink) {
    setLinkUp(id, peer, false);
  }
  eraseIfUnused(id);
}

void Mesh::Impl::setLinkUp(const ProcessId& id, Peer& peer, bool isUp)
{
  if (peer.isUp == isUp) {
    return;
  }
  peer.isUp = isUp;
  if (onLinkChange) {
    onLinkChange(id, isUp);
  }
}

void Mesh::Impl::eraseIfUnused(const ProcessId& id)
{
  const auto peerIt = peers_.find(id);
  if (peerIt == peers_.end()) {
    return;
  }
  const Peer& peer = peerIt->second;
  // A peer without links is kept until its back-off has ended.
  if (peer.links.empty() && !peer.isMaintained && peer.queuedMessages.empty() &&
      currentTime() >= peer.nextDialAt) {
    peers_.erase(peerIt);
  }
}

bool Mesh::Impl::isLinkMaintained(const Link& link) const
{
  const auto peerIt = peers_.find(link.peer);
  return peerIt != peers_.end() && peerIt->second.isMaintained;
}

Time Mesh::Impl::nextCheckAt(const Link& link, bool isMaintained) const
{
  if (link.isConnecting) {
    return link.openedAt + kDialTimeout;
  }
  if (!link.hasReceivedFrame && !link.isOutgoing) {
    return link.openedAt + kReplyTimeout;
  }
  if (link.awaitingReplySince) {
    const Time ping = std::max(*link.awaitingReplySince, link.lastPingAt) + kHeartbeatInterval;
    return std::min(ping, *link.awaitingReplySince + kReplyTimeout);
  }
  return isMaintained ? std::max(link.lastReceivedAt, link.lastPingAt) + kHeartbeatInterval
                      : link.lastActivityAt + kIdleTimeout;
}

Time Mesh::Impl::checkLink(const LinkPtr& link, bool isMaintained, Time now)
{
  const bool isReplyOverdue =
    link->awaitingReplySince && now >= *link->awaitingReplySince + kReplyTimeout;
  const bool isDialOverdue = link->isConnecting && now >= link->openedAt + kDialTimeout;
  const bool isIdentificationOverdue =
    !link->hasReceivedFrame && !link->isOutgoing && now >= link->openedAt + kReplyTimeout;
  const bool isIdle =
    !isMaintained && !link->awaitingReplySince && now >= link->lastActivityAt + kIdleTimeout;
  if (isReplyOverdue || isDialOverdue || isIdentificationOverdue || isIdle) {
    close(link);
    return Time{};
  }
  if (now >= nextCheckAt(*link, isMaintained) && !link->isConnecting) {
    link->lastPingAt = now;
    queueFrame(link, wire::Channel::heartbeat, kPingBody);
  }
  return nextCheckAt(*link, isMaintained);
}

void Mesh::Impl::armTimer(Time deadline)
{
  if (isStopped_ || (timerDeadline_ && *timerDeadline_ <= deadline)) {
    return;
  }
  timerDeadline_ = deadline;
  const Duration timeout = std::max(deadline - currentTime(), Duration(milliseconds(1)));
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error && !self->isStopped_) {
      self->handleTimer();
    }
  });
}

void Mesh::Impl::postponeTimeouts(Duration delay)
{
  for (auto& [id, peer] : peers_) {
    for (const auto& link : peer.links) {
      link->openedAt = link->openedAt + delay;
      if (link->awaitingReplySince) {
        link->awaitingReplySince = *link->awaitingReplySince + delay;
      }
    }
  }
}

void Mesh::Impl::handleTimer()
{
  const Time now = currentTime();
  const Duration delay = now - *std::exchange(timerDeadline_, std::nullopt);
  if (delay > kSuspensionThreshold) {
    postponeTimeouts(delay);
  }
  for (const auto& link : std::vector<LinkPtr>(unidentifiedLinks_)) {
    if (!link->isClosed && checkLink(link, false, now) != Time{}) {
      armTimer(nextCheckAt(*link, false));
    }
  }
  std::vector<ProcessId> ids;
  for (const auto& [id, peer] : peers_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto peerIt = peers_.find(id);
    if (peerIt == peers_.end()) {
      continue;
    }
    for (const auto& link : std::vector<LinkPtr>(peerIt->second.links)) {
      // Only the active link is maintained. A second link from a simultaneous dial is closed when
      // it becomes idle.
      const auto currentPeerIt = peers_.find(id);
      const bool isMaintained = currentPeerIt != peers_.end() &&
                                currentPeerIt->second.isMaintained &&
                                currentPeerIt->second.activeLink == link;
      if (!link->isClosed && checkLink(link, isMaintained, now) != Time{}) {
        armTimer(nextCheckAt(*link, isMaintained));
      }
    }
    const auto remainingPeerIt = peers_.find(id);
    if (remainingPeerIt == peers_.end()) {
      continue;
    }
    Peer& peer = remainingPeerIt->second;
    if (!peer.activeLink && (peer.isMaintained || !peer.queuedMessages.empty())) {
      if (now >= peer.nextDialAt) {
        dialPeer(id, peer);
      } else {
        armTimer(peer.nextDialAt);
      }
    }
    eraseIfUnused(id);
  }
}

Mesh::Mesh(boost::asio::io_context& io, MeshSettings settings)
  : impl_(std::make_shared<Impl>(io, std::move(settings)))
{
}

Mesh::~Mesh()
{
  impl_->stop();
}

void Mesh::onMessage(MessageHandler handler)
{
  impl_->onMessage = std::move(handler);
}

void Mesh::onLinkChange(LinkHandler handler)
{
  impl_->onLinkChange = std::move(handler);
}

Expected<void> Mesh::listen()
{
  return impl_->listen();
}

void Mesh::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  impl_->send(to, channel, std::move(body));
}

void Mesh::maintainLink(const ProcessId& peer)
{
  impl_->maintainLink(peer);
}

void Mesh::stopMaintainingLink(const ProcessId& peer)
{
  impl_->stopMaintainingLink(peer);
}

bool Mesh::isUp(const ProcessId& peer) const
{
  return impl_->isUp(peer);
}

std::uint64_t Mesh::sentBytes() const
{
  return impl_->sentBytes;
}

} // namespace figchute::mesh
