#include "mesh/Mesh.h"

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
using std::chrono::milliseconds;

constexpr std::size_t kMaxQueuedBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxFrameBytes = 16UL * 1024 * 1024;
/** The first frame is a heartbeat; an unknown sender cannot make the process buffer more. */
constexpr std::size_t kMaxFirstFrameBytes = 4UL * 1024;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = 64UL * 1024;
/** Buffers above this size are freed when they are empty. */
constexpr std::size_t kKeptBufferBytes = 64UL * 1024;
constexpr Duration kHeartbeatAfter = milliseconds(1000);
constexpr Duration kSilenceLimit = milliseconds(2500);
constexpr Duration kIdleLimit = milliseconds(10'000);
constexpr Duration kDialTimeout = milliseconds(1000);
constexpr Duration kMinBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(1000);
/** A timer this late means that the process was suspended; the peers are not at fault. */
constexpr Duration kSuspended = milliseconds(500);
constexpr unsigned kUserTimeoutMs = 2000;
constexpr std::string_view kPing;
constexpr std::string_view kPong = "r";

/** Reads CLOCK_BOOTTIME, which also counts the time that the machine was suspended. */
Time currentTime()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time{ static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000 };
}

std::optional<tcp::endpoint> endpointOf(const ProcessId& process)
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

void setOptions(tcp::socket& socket)
{
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  const unsigned timeout = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  socket.non_blocking(true, error);
}

void appendLength(std::string& output, std::size_t length)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    output.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
  }
}

std::size_t lengthAt(std::string_view bytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8U | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

/** One connection. */
struct Link
{
  explicit Link(tcp::socket connection)
    : socket(std::move(connection))
  {
  }

  tcp::socket socket;
  /** The process at the other end; empty for an accepted connection before its first frame. */
  ProcessId peer;
  bool dialled = false;
  bool connecting = false;
  bool heard = false;
  bool closed = false;
  bool flushPosted = false;
  bool awaitingWritable = false;
  std::string input;
  std::string output;
  std::size_t written = 0;
  std::uint64_t lastSequence = 0;
  Time openedAt;
  Time heardAt;
  Time pingedAt;
  /** The last message in either direction, or the last heartbeat of the other end. */
  Time activeAt;
  /** When the first frame was sent that no frame from the other end has followed. */
  std::optional<Time> awaitingSince;

  [[nodiscard]] std::size_t queued() const { return output.size() - written; }
};

using LinkPtr = std::shared_ptr<Link>;

struct WaitingMessage
{
  wire::Channel channel;
  std::string body;
};

struct Peer
{
  std::vector<LinkPtr> links;
  /** The link that messages are sent on; one of @ref links or null. */
  LinkPtr active;
  bool kept = false;
  bool up = false;
  /** Messages that wait for the end of the back-off. */
  std::deque<WaitingMessage> waiting;
  std::size_t waitingBytes = 0;
  Duration backoff = kMinBackoff;
  Time dialAllowedAt;
};

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
    const auto found = peers_.find(id);
    return found != peers_.end() && found->second.up;
  }

  MessageHandler onMessage;
  LinkHandler onLink;
  std::uint64_t sentBytes = 0;

private:
  void accept();
  void dial(const ProcessId& id, Peer& peer);
  void connected(const LinkPtr& link, const boost::system::error_code& error);
  void queueFrame(const LinkPtr& link, wire::Channel channel, std::string_view body);
  void flush(const LinkPtr& link);
  void read(const LinkPtr& link);
  void readAvailable(const LinkPtr& link);
  bool takeFrames(const LinkPtr& link);
  bool takeFrame(const LinkPtr& link, std::string_view bytes);
  bool identify(const LinkPtr& link, const ProcessId& sender);
  void close(const LinkPtr& link);
  void closeQuietly(const LinkPtr& link);
  void setUp(const ProcessId& id, Peer& peer, bool up);
  void eraseWhenUnused(const ProcessId& id);
  void arm(Time deadline);
  void tick();
  void shiftTimes(Duration late);
  Time checkLink(const LinkPtr& link, bool kept, Time now);
  [[nodiscard]] Time deadlineOf(const Link& link, bool kept) const;
  [[nodiscard]] bool isKept(const Link& link) const;

  asio::io_context& io_;
  MeshSettings settings_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  asio::steady_timer timer_;
  std::optional<Time> armedFor_;
  std::map<ProcessId, Peer> peers_;
  /** Accepted connections whose sender is not known yet. */
  std::vector<LinkPtr> strangers_;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
  std::array<char, kReadBytes> readBuffer_{};
};

Expected<void> Mesh::Impl::listen()
{
  const auto endpoint = endpointOf(settings_.self);
  if (!endpoint) {
    return fail(ErrorKind::internal,
                "peer address \"" + settings_.self.value + "\" is not of the form IP:port");
  }
  boost::system::error_code error;
  const auto step = [&](auto&& operation) {
    if (!error) {
      operation();
    }
  };
  step([&] { acceptor_.open(endpoint->protocol(), error); });
  step([&] { acceptor_.set_option(tcp::acceptor::reuse_address(true), error); });
  step([&] { acceptor_.bind(*endpoint, error); });
  step([&] { acceptor_.listen(asio::socket_base::max_listen_connections, error); });
  if (error) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return fail(ErrorKind::internal, "listen at " + settings_.self.value + ": " + error.message());
  }
  accept();
  return {};
}

void Mesh::Impl::accept()
{
  acceptor_.async_accept([self = shared_from_this()](const auto& error, tcp::socket socket) {
    if (self->stopped_) {
      return;
    }
    if (error) {
      // Without a pause, a process that is out of descriptors would use a whole core here.
      self->acceptTimer_.expires_after(kMinBackoff);
      self->acceptTimer_.async_wait([self](const auto& cancelled) {
        if (!cancelled && !self->stopped_) {
          self->accept();
        }
      });
      return;
    }
    setOptions(socket);
    const auto link = std::make_shared<Link>(std::move(socket));
    link->openedAt = currentTime();
    link->activeAt = link->openedAt;
    self->strangers_.push_back(link);
    self->arm(link->openedAt + kSilenceLimit);
    self->read(link);
    self->accept();
  });
}

void Mesh::Impl::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  if (stopped_ || body.size() + kMaxFirstFrameBytes > kMaxFrameBytes) {
    return;
  }
  if (to == settings_.self) {
    asio::post(io_, [self = shared_from_this(), channel, text = std::move(body)]() mutable {
      if (!self->stopped_ && self->onMessage) {
        self->onMessage(
          self->settings_.self, self->settings_.incarnation, channel, std::move(text));
      }
    });
    return;
  }
  Peer& peer = peers_[to];
  if (!peer.active && currentTime() >= peer.dialAllowedAt) {
    dial(to, peer);
  }
  if (peer.active) {
    if (peer.active->queued() < kMaxQueuedBytes) {
      peer.active->activeAt = currentTime();
      queueFrame(peer.active, channel, body);
    }
    return;
  }
  if (peer.waitingBytes < kMaxQueuedBytes) {
    peer.waitingBytes += body.size();
    peer.waiting.push_back({ channel, std::move(body) });
    arm(peer.dialAllowedAt);
  }
}

void Mesh::Impl::maintainLink(const ProcessId& id)
{
  if (stopped_ || id == settings_.self) {
    return;
  }
  Peer& peer = peers_[id];
  peer.kept = true;
  if (peer.active) {
    arm(deadlineOf(*peer.active, true));
  } else if (currentTime() >= peer.dialAllowedAt) {
    dial(id, peer);
  } else {
    arm(peer.dialAllowedAt);
  }
}

void Mesh::Impl::stopMaintainingLink(const ProcessId& id)
{
  const auto found = peers_.find(id);
  if (found != peers_.end()) {
    found->second.kept = false;
    eraseWhenUnused(id);
  }
}

void Mesh::Impl::stop()
{
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  acceptTimer_.cancel();
  timer_.cancel();
  for (const auto& link : strangers_) {
    closeQuietly(link);
  }
  strangers_.clear();
  for (auto& [id, peer] : peers_) {
    for (const auto& link : peer.links) {
      closeQuietly(link);
    }
  }
  peers_.clear();
  onMessage = nullptr;
  onLink = nullptr;
}

void Mesh::Impl::dial(const ProcessId& id, Peer& peer)
{
  const Time now = currentTime();
  peer.dialAllowedAt = now + peer.backoff;
  peer.backoff = std::min(peer.backoff * 2, kMaxBackoff);
  const auto endpoint = endpointOf(id);
  const auto own = endpointOf(settings_.self);
  tcp::socket socket(io_);
  boost::system::error_code error;
  if (endpoint) {
    socket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    peer.waiting.clear();
    peer.waitingBytes = 0;
    arm(peer.dialAllowedAt);
    return;
  }
  setOptions(socket);
  if (own && own->protocol() == endpoint->protocol()) {
    // The peer and the network see this process under the address that names it.
    const int enabled = 1;
    ::setsockopt(
      socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    socket.bind(tcp::endpoint(own->address(), 0), error);
  }
  const auto link = std::make_shared<Link>(std::move(socket));
  link->peer = id;
  link->dialled = true;
  link->connecting = true;
  link->openedAt = now;
  link->activeAt = now;
  peer.links.push_back(link);
  peer.active = link;
  queueFrame(link, wire::Channel::heartbeat, kPing);
  for (const auto& message : std::exchange(peer.waiting, {})) {
    queueFrame(link, message.channel, message.body);
  }
  peer.waitingBytes = 0;
  arm(now + kDialTimeout);
  link->socket.async_connect(*endpoint, [self = shared_from_this(), link](const auto& failed) {
    self->connected(link, failed);
  });
}

void Mesh::Impl::connected(const LinkPtr& link, const boost::system::error_code& error)
{
  if (link->closed) {
    return;
  }
  if (error) {
    close(link);
    return;
  }
  link->connecting = false;
  link->openedAt = currentTime();
  link->awaitingSince = link->openedAt;
  arm(deadlineOf(*link, isKept(*link)));
  read(link);
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
  if (link->connecting) {
    return;
  }
  const bool expectsReply = channel != wire::Channel::heartbeat || body == kPing;
  if (expectsReply && !link->awaitingSince) {
    link->awaitingSince = currentTime();
    arm(deadlineOf(*link, isKept(*link)));
  }
  if (!link->flushPosted && !link->awaitingWritable) {
    link->flushPosted = true;
    asio::post(io_, [self = shared_from_this(), link] {
      link->flushPosted = false;
      self->flush(link);
    });
  }
}

void Mesh::Impl::flush(const LinkPtr& link)
{
  if (link->closed || link->connecting || link->awaitingWritable || link->queued() == 0) {
    return;
  }
  boost::system::error_code error;
  const auto count = link->socket.write_some(
    asio::buffer(link->output.data() + link->written, link->queued()), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    close(link);
    return;
  }
  sentBytes += count;
  link->written += count;
  if (link->queued() == 0) {
    link->output.clear();
    link->written = 0;
    if (link->output.capacity() > kKeptBufferBytes) {
      link->output.shrink_to_fit();
    }
    return;
  }
  if (link->written > kMaxQueuedBytes / 4) {
    link->output.erase(0, link->written);
    link->written = 0;
  }
  link->awaitingWritable = true;
  link->socket.async_wait(tcp::socket::wait_write,
                          [self = shared_from_this(), link](const auto& failed) {
                            link->awaitingWritable = false;
                            if (failed) {
                              self->close(link);
                            } else {
                              self->flush(link);
                            }
                          });
}

void Mesh::Impl::read(const LinkPtr& link)
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
  if (link->closed) {
    return;
  }
  boost::system::error_code error;
  const auto count = link->socket.read_some(asio::buffer(readBuffer_), error);
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    close(link);
    return;
  }
  link->input.append(readBuffer_.data(), count);
  if (!takeFrames(link)) {
    close(link);
    return;
  }
  if (!link->closed) {
    read(link);
  }
}

bool Mesh::Impl::takeFrames(const LinkPtr& link)
{
  // A handler may close the link or send on it, but nothing else changes the input.
  std::string input = std::exchange(link->input, {});
  std::size_t offset = 0;
  while (!link->closed && input.size() - offset >= kLengthBytes) {
    const std::size_t length = lengthAt(std::string_view(input).substr(offset));
    if (length > (link->heard ? kMaxFrameBytes : kMaxFirstFrameBytes)) {
      return false;
    }
    if (input.size() - offset - kLengthBytes < length) {
      break;
    }
    if (!takeFrame(link, std::string_view(input).substr(offset + kLengthBytes, length))) {
      return false;
    }
    offset += kLengthBytes + length;
  }
  if (offset > 0) {
    input.erase(0, offset);
  }
  if (!input.empty()) {
    link->input = std::move(input);
  }
  return true;
}

bool Mesh::Impl::takeFrame(const LinkPtr& link, std::string_view bytes)
{
  auto envelope = wire::open(bytes, settings_.key);
  if (!envelope || envelope->sequence <= link->lastSequence) {
    return false;
  }
  if (!identify(link, envelope->sender)) {
    return false;
  }
  link->lastSequence = envelope->sequence;
  link->heardAt = currentTime();
  link->awaitingSince.reset();
  if (envelope->channel == wire::Channel::heartbeat) {
    if (envelope->body == kPing) {
      link->activeAt = link->heardAt;
      queueFrame(link, wire::Channel::heartbeat, kPong);
    }
    return true;
  }
  link->activeAt = link->heardAt;
  if (onMessage) {
    onMessage(link->peer, envelope->incarnation, envelope->channel, std::move(envelope->body));
  }
  return true;
}

bool Mesh::Impl::identify(const LinkPtr& link, const ProcessId& sender)
{
  if (link->heard) {
    return link->peer == sender;
  }
  if (link->dialled && link->peer != sender) {
    return false;
  }
  if (sender == settings_.self) {
    return false;
  }
  link->heard = true;
  Peer& peer = peers_[sender];
  peer.backoff = kMinBackoff;
  peer.dialAllowedAt = Time{};
  if (!link->dialled) {
    std::erase(strangers_, link);
    link->peer = sender;
    peer.links.push_back(link);
    const LinkPtr before = peer.active;
    // Both ends may have dialled at once; they agree on the connection of the smaller id.
    const bool keepOwn =
      before && before->dialled && !before->connecting && settings_.self < sender;
    if (!keepOwn) {
      peer.active = link;
    }
    if (before && before->connecting) {
      // The heartbeat that opens the connection and the messages behind it move to the new link.
      link->output += before->output;
      closeQuietly(before);
      std::erase(peer.links, before);
      if (link->queued() > 0) {
        link->awaitingSince = currentTime();
        flush(link);
      }
    }
    for (const auto& message : std::exchange(peer.waiting, {})) {
      queueFrame(peer.active, message.channel, message.body);
    }
    peer.waitingBytes = 0;
  }
  arm(deadlineOf(*link, peer.kept));
  setUp(sender, peer, true);
  return true;
}

void Mesh::Impl::closeQuietly(const LinkPtr& link)
{
  link->closed = true;
  boost::system::error_code ignored;
  link->socket.close(ignored);
}

void Mesh::Impl::close(const LinkPtr& link)
{
  if (link->closed) {
    return;
  }
  closeQuietly(link);
  std::erase(strangers_, link);
  const auto found = peers_.find(link->peer);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  std::erase(peer.links, link);
  if (peer.active == link) {
    peer.active = peer.links.empty() ? nullptr : peer.links.back();
  }
  const bool stillHeard = std::any_of(
    peer.links.begin(), peer.links.end(), [](const LinkPtr& other) { return other->heard; });
  if (peer.kept && !peer.active) {
    peer.dialAllowedAt = std::max(peer.dialAllowedAt, currentTime() + kMinBackoff);
    arm(peer.dialAllowedAt);
  }
  const ProcessId id = link->peer;
  if (!stillHeard) {
    setUp(id, peer, false);
  }
  eraseWhenUnused(id);
}

void Mesh::Impl::setUp(const ProcessId& id, Peer& peer, bool up)
{
  if (peer.up == up) {
    return;
  }
  peer.up = up;
  if (onLink) {
    onLink(id, up);
  }
}

void Mesh::Impl::eraseWhenUnused(const ProcessId& id)
{
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    return;
  }
  const Peer& peer = found->second;
  // The back-off of a peer that is down outlives its links.
  if (peer.links.empty() && !peer.kept && peer.waiting.empty() &&
      currentTime() >= peer.dialAllowedAt) {
    peers_.erase(found);
  }
}

bool Mesh::Impl::isKept(const Link& link) const
{
  const auto found = peers_.find(link.peer);
  return found != peers_.end() && found->second.kept;
}

Time Mesh::Impl::deadlineOf(const Link& link, bool kept) const
{
  if (link.connecting) {
    return link.openedAt + kDialTimeout;
  }
  if (!link.heard && !link.dialled) {
    return link.openedAt + kSilenceLimit;
  }
  if (link.awaitingSince) {
    const Time ping = std::max(*link.awaitingSince, link.pingedAt) + kHeartbeatAfter;
    return std::min(ping, *link.awaitingSince + kSilenceLimit);
  }
  return kept ? std::max(link.heardAt, link.pingedAt) + kHeartbeatAfter
              : link.activeAt + kIdleLimit;
}

Time Mesh::Impl::checkLink(const LinkPtr& link, bool kept, Time now)
{
  const bool silent = link->awaitingSince && now >= *link->awaitingSince + kSilenceLimit;
  const bool notDialled = link->connecting && now >= link->openedAt + kDialTimeout;
  const bool unknown = !link->heard && !link->dialled && now >= link->openedAt + kSilenceLimit;
  const bool idle = !kept && !link->awaitingSince && now >= link->activeAt + kIdleLimit;
  if (silent || notDialled || unknown || idle) {
    close(link);
    return Time{};
  }
  if (now >= deadlineOf(*link, kept) && !link->connecting) {
    link->pingedAt = now;
    queueFrame(link, wire::Channel::heartbeat, kPing);
  }
  return deadlineOf(*link, kept);
}

void Mesh::Impl::arm(Time deadline)
{
  if (stopped_ || (armedFor_ && *armedFor_ <= deadline)) {
    return;
  }
  armedFor_ = deadline;
  const Duration wait = std::max(deadline - currentTime(), Duration(milliseconds(1)));
  timer_.expires_after(wait);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error && !self->stopped_) {
      self->tick();
    }
  });
}

void Mesh::Impl::shiftTimes(Duration late)
{
  for (auto& [id, peer] : peers_) {
    for (const auto& link : peer.links) {
      link->openedAt = link->openedAt + late;
      if (link->awaitingSince) {
        link->awaitingSince = *link->awaitingSince + late;
      }
    }
  }
}

void Mesh::Impl::tick()
{
  const Time now = currentTime();
  const Duration late = now - *std::exchange(armedFor_, std::nullopt);
  if (late > kSuspended) {
    shiftTimes(late);
  }
  for (const auto& link : std::vector<LinkPtr>(strangers_)) {
    if (!link->closed && checkLink(link, false, now) != Time{}) {
      arm(deadlineOf(*link, false));
    }
  }
  std::vector<ProcessId> ids;
  for (const auto& [id, peer] : peers_) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
      continue;
    }
    for (const auto& link : std::vector<LinkPtr>(found->second.links)) {
      // Only the link in use is kept; a second one of a simultaneous dial ends when it is idle.
      const auto at = peers_.find(id);
      const bool kept = at != peers_.end() && at->second.kept && at->second.active == link;
      if (!link->closed && checkLink(link, kept, now) != Time{}) {
        arm(deadlineOf(*link, kept));
      }
    }
    const auto left = peers_.find(id);
    if (left == peers_.end()) {
      continue;
    }
    Peer& peer = left->second;
    if (!peer.active && (peer.kept || !peer.waiting.empty())) {
      if (now >= peer.dialAllowedAt) {
        dial(id, peer);
      } else {
        arm(peer.dialAllowedAt);
      }
    }
    eraseWhenUnused(id);
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

void Mesh::onLink(LinkHandler handler)
{
  impl_->onLink = std::move(handler);
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
