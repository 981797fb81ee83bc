#include "transport/Transport.h"

#include "kernel/Clock.h"
#include "transport/DuplicateFilter.h"
#include "transport/PeerConnection.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <thread>

namespace figchute::transport {
namespace {

/** The body of a heartbeat: the address of the sender, and whether the heartbeat is a request or an
    acknowledgement. */
struct Heartbeat
{
  PeerAddress sender;
  bool acknowledgement = false;

  MSGPACK_DEFINE(sender, acknowledgement)
};

/** The receiving thread checks the stop flag at this interval. */
constexpr nng_duration kReceiveTimeoutMs = 100;
constexpr std::size_t kMaxMessageBytes = 64UL * 1024 * 1024;

} // namespace

/** The implementation of Transport: its sockets, threads and tables. */
class Transport::State
{
public:
  State(TransportConfig config, Metrics& metrics, Handler handler)
    : config_(std::move(config))
    , metrics_(metrics)
    , handler_(std::move(handler))
  {
  }

  Expected<void> start()
  {
    if (nng_pull0_open(&listenSocket_) != 0) {
      return fail(ErrorKind::internal, "cannot open the peer socket");
    }
    nng_socket_set_ms(listenSocket_, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
    nng_socket_set_size(listenSocket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    const std::string url = "tcp://" + config_.self.address;
    if (const int status = nng_listen(listenSocket_, url.c_str(), nullptr, 0); status != 0) {
      nng_close(listenSocket_);
      return fail(ErrorKind::internal,
                  "cannot listen for peers on " + config_.self.address + ": " +
                    nng_strerror(status));
    }
    for (const auto& peer : config_.peers) {
      addPeer(peer);
    }
    isRunning_ = true;
    receiveThread_ = std::thread([this] { receiveLoop(); });
    heartbeatThread_ = std::thread([this] { heartbeatLoop(); });
    return {};
  }

  void stop()
  {
    if (!isRunning_.exchange(false)) {
      return;
    }
    stopCondition_.notify_all();
    heartbeatThread_.join();
    receiveThread_.join();
    nng_close(listenSocket_);
    const std::lock_guard lock(mutex_);
    connections_.clear();
  }

  void send(const ProcessId& to, wire::Channel channel, std::string_view body)
  {
    const std::lock_guard lock(mutex_);
    const auto connectionIt = connections_.find(to);
    if (connectionIt == connections_.end()) {
      metrics_.count("peer_messages_to_unknown");
      return;
    }
    connectionIt->second->recordUse(kernel::currentTime(), kIdleThreshold);
    sendEnvelope(*connectionIt->second, channel, body);
  }

  std::vector<PeerStatus> status() const
  {
    const auto now = kernel::currentTime();
    const std::lock_guard lock(mutex_);
    std::vector<PeerStatus> result;
    for (const auto& [id, connection] : connections_) {
      const auto timeSinceLastAcknowledgement = now - connection->lastAcknowledgedAt();
      result.push_back({ connection->peer(),
                         connection->incarnation(),
                         timeSinceLastAcknowledgement,
                         isAlive(*connection, now) });
    }
    return result;
  }

private:
  static bool isIdle(const PeerConnection& connection, Time now)
  {
    return now - connection.lastUsedAt() > kIdleThreshold;
  }

  /** Returns true if the peer has acknowledged a heartbeat in time. For a connection that has just
      come into use, the time is measured from that moment, because its last heartbeat may be as old
      as the idle interval. */
  static bool isAlive(const PeerConnection& connection, Time now)
  {
    if (now - connection.lastAcknowledgedAt() > kIdleReplyTimeout) {
      return false;
    }
    const auto referenceTime = std::max(connection.lastAcknowledgedAt(), connection.inUseSince());
    return isIdle(connection, now) || now - referenceTime <= kReplyTimeout;
  }

  void addPeer(const PeerAddress& peer)
  {
    if (peer.id == config_.self.id) {
      return;
    }
    const std::lock_guard lock(mutex_);
    auto& connection = connections_[peer.id];
    if (connection && connection->peer().address == peer.address) {
      return;
    }
    connection = std::make_unique<PeerConnection>(peer, kernel::currentTime());
  }

  void sendEnvelope(PeerConnection& connection, wire::Channel channel, std::string_view body)
  {
    wire::Envelope envelope;
    envelope.sender = config_.self.id;
    envelope.incarnation = config_.incarnation;
    envelope.sequence = connection.nextSequence();
    envelope.channel = channel;
    envelope.body = std::string(body);
    const auto sealed = wire::seal(envelope, config_.key);
    metrics_.count("peer_bytes_sent", sealed.size());
    if (!connection.send(sealed)) {
      metrics_.count("peer_messages_dropped");
    }
  }

  void receiveLoop()
  {
    while (isRunning_) {
      nng_msg* message = nullptr;
      if (nng_recvmsg(listenSocket_, &message, 0) != 0) {
        continue;
      }
      const std::string_view bytes(static_cast<const char*>(nng_msg_body(message)),
                                   nng_msg_len(message));
      handleBytes(bytes);
      nng_msg_free(message);
    }
  }

  void handleBytes(std::string_view bytes)
  {
    auto envelope = wire::open(bytes, config_.key);
    if (!envelope) {
      metrics_.count("peer_messages_refused");
      return;
    }
    if (!duplicateFilters_[envelope->sender].accept(envelope->incarnation, envelope->sequence)) {
      metrics_.count("peer_messages_repeated");
      return;
    }
    if (envelope->channel == wire::Channel::heartbeat) {
      handleHeartbeat(*envelope);
      return;
    }
    handler_({ std::move(envelope->sender),
               envelope->incarnation,
               envelope->channel,
               std::move(envelope->body) });
  }

  void handleHeartbeat(const wire::Envelope& envelope)
  {
    const auto heartbeat = wire::decode<Heartbeat>(envelope.body);
    if (!heartbeat || heartbeat->sender.id != envelope.sender) {
      metrics_.count("peer_messages_refused");
      return;
    }
    addPeer(heartbeat->sender);
    const std::lock_guard lock(mutex_);
    const auto connectionIt = connections_.find(envelope.sender);
    if (connectionIt == connections_.end()) {
      return;
    }
    if (heartbeat->acknowledgement) {
      connectionIt->second->recordAcknowledgement(envelope.incarnation, kernel::currentTime());
      return;
    }
    sendHeartbeat(*connectionIt->second, true);
  }

  void sendHeartbeat(PeerConnection& connection, bool acknowledgement)
  {
    const Heartbeat heartbeat{ config_.self, acknowledgement };
    sendEnvelope(connection, wire::Channel::heartbeat, wire::encode(heartbeat));
  }

  void sendHeartbeatIfDue(PeerConnection& connection, Time now)
  {
    const auto interval = isIdle(connection, now) ? kIdleHeartbeatInterval : kHeartbeatInterval;
    // The loop runs once per kHeartbeatInterval; half an interval is allowed for its jitter.
    if (now - connection.lastPingAt() + kHeartbeatInterval / 2 < interval) {
      return;
    }
    connection.recordPing(now);
    sendHeartbeat(connection, false);
  }

  void heartbeatLoop()
  {
    std::unique_lock lock(mutex_);
    while (isRunning_) {
      const auto now = kernel::currentTime();
      for (auto& [id, connection] : connections_) {
        if (!isAlive(*connection, now) && now - connection->lastDialAt() > kReplyTimeout) {
          connection->redial(now);
          metrics_.count("peer_connections_redialled");
        }
        sendHeartbeatIfDue(*connection, now);
      }
      stopCondition_.wait_for(lock, kHeartbeatInterval);
    }
  }

  TransportConfig config_;
  Metrics& metrics_;
  Handler handler_;
  nng_socket listenSocket_ = NNG_SOCKET_INITIALIZER;
  std::atomic<bool> isRunning_{ false };
  mutable std::mutex mutex_;
  std::condition_variable stopCondition_;
  std::map<ProcessId, std::unique_ptr<PeerConnection>> connections_;
  std::map<ProcessId, DuplicateFilter> duplicateFilters_;
  std::thread receiveThread_;
  std::thread heartbeatThread_;
};

Transport::Transport(TransportConfig config, Metrics& metrics, Handler handler)
  : state_(std::make_unique<State>(std::move(config), metrics, std::move(handler)))
{
}

Transport::~Transport()
{
  stop();
}

Expected<void> Transport::start()
{
  return state_->start();
}

void Transport::stop()
{
  state_->stop();
}

void Transport::send(const ProcessId& to, wire::Channel channel, std::string_view body)
{
  state_->send(to, channel, body);
}

std::vector<PeerStatus> Transport::status() const
{
  return state_->status();
}

std::vector<PeerAddress> Transport::peers() const
{
  std::vector<PeerAddress> result;
  for (const auto& status : state_->status()) {
    result.push_back(status.peer);
  }
  return result;
}

} // namespace figchute::transport
