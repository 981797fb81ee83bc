#pragma once

#include "core/Error.h"
#include "core/Metrics.h"
#include "core/Types.h"
#include "transport/PeerAddress.h"
#include "wire/Envelope.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::transport {

/** A message received from another process. */
struct ReceivedMessage
{
  ProcessId from;
  Incarnation incarnation;
  wire::Channel channel = wire::Channel::heartbeat;
  std::string body;
};

/** The state of the connection to one peer. */
struct PeerStatus
{
  PeerAddress peer;
  /** The incarnation that last acknowledged a heartbeat; 0 before the first acknowledgement. */
  Incarnation incarnation;
  Duration timeSinceLastAcknowledgement{ 0 };
  bool alive = false;
};

/** The configuration of a Transport. */
struct TransportConfig
{
  PeerAddress self;
  Incarnation incarnation;
  std::string key;
  std::vector<PeerAddress> peers;
};

/** Manages the sockets between a process and its peers: one pull socket to receive messages and one
    push socket per peer. A peer that is not in the settings is added when its first authenticated
    heartbeat is received, so that a replacement process requires no change on the other processes.
    Thread safety: send(), status() and peers() are safe from any thread. */
class Transport
{
public:
  /** Called on the receiving thread for each new message. It must not block. */
  using Handler = std::function<void(ReceivedMessage)>;

  /** The interval between heartbeats on a connection that carries messages. */
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
  /** The interval between heartbeats on an idle connection. At 250 ms, heartbeats to eight idle
      peers used about 7.7 KB/s, more than the limit of 4 KB/s per node. */
  static constexpr Duration kIdleHeartbeatInterval = std::chrono::seconds(2);
  /** A connection is idle if no message was sent on it for this time. */
  static constexpr Duration kIdleThreshold = std::chrono::seconds(3);
  /** A connection that carries messages and received no acknowledgement for this time is closed and
      dialled again. */
  static constexpr Duration kReplyTimeout = std::chrono::seconds(2);
  /** The same limit for an idle connection. It tolerates the loss of two heartbeats. */
  static constexpr Duration kIdleReplyTimeout = std::chrono::seconds(5);

  /** Creates a transport that is not started yet.
      @param metrics  counts dropped and refused messages; must outlive the transport */
  Transport(TransportConfig config, Metrics& metrics, Handler handler);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** Starts listening and dials the peers in the settings.
      @returns an error of kind internal if the listen address cannot be bound */
  Expected<void> start();

  /** Closes all sockets and joins the threads. */
  void stop();

  /** Sends a message without blocking. A message to an unknown peer, or one that does not fit into
      the send buffer, is dropped and counted, because all protocols tolerate message loss. */
  void send(const ProcessId& to, wire::Channel channel, std::string_view body);

  /** Returns the state of the connection to each known peer. */
  [[nodiscard]] std::vector<PeerStatus> status() const;

  /** Returns the known peers, without this process. */
  [[nodiscard]] std::vector<PeerAddress> peers() const;

private:
  class State;
  std::unique_ptr<State> state_;
};

} // namespace figchute::transport
