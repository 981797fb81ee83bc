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

/** A message that arrived from another process. */
struct ReceivedMessage
{
  ProcessId from;
  Incarnation incarnation;
  wire::Channel channel = wire::Channel::heartbeat;
  std::string body;
};

/** What is known of the connection to one peer. */
struct PeerStatus
{
  PeerAddress peer;
  /** The incarnation that was last heard; 0 before the first message. */
  Incarnation incarnation;
  Duration silence{ 0 };
  bool alive = false;
};

/** How a transport is set up. */
struct TransportConfig
{
  PeerAddress self;
  Incarnation incarnation;
  std::string key;
  std::vector<PeerAddress> peers;
};

/** The sockets of a process to its peers. It listens on one pull socket and keeps one push socket
    per peer. A peer that is not in the settings is learned from its first authenticated heartbeat,
    so that a replacement process needs no change on the others.
    Thread safety: send(), status() and peers() are safe from any thread. */
class Transport
{
public:
  /** Is called from the receiving thread for each new message; it must not block. */
  using Handler = std::function<void(ReceivedMessage)>;

  /** Heartbeats are sent this often on a connection that carries messages. */
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
  /** Heartbeats are sent this often on an idle connection. At 250 ms, heartbeats to eight idle
     peers cost about 7.7 KB/s, above the limit of 4 KB/s a node. */
  static constexpr Duration kIdleHeartbeatInterval = std::chrono::seconds(2);
  /** A connection is idle when no message was sent on it for this long. */
  static constexpr Duration kIdleAfter = std::chrono::seconds(3);
  /** A connection that carries messages and has no acknowledgement for this long is closed and
      dialled anew. */
  static constexpr Duration kSilenceLimit = std::chrono::seconds(2);
  /** The same for an idle connection: two heartbeats may be lost. */
  static constexpr Duration kIdleSilenceLimit = std::chrono::seconds(5);

  /** Creates a transport that is not started.
      @param metrics  counts dropped and refused messages; outlives the transport */
  Transport(TransportConfig config, Metrics& metrics, Handler handler);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /** Listens and dials the peers of the settings.
      @returns an error of kind internal when the listen address cannot be bound */
  Expected<void> start();

  /** Closes all sockets and waits for the threads. */
  void stop();

  /** Sends a message without waiting. A message to an unknown peer, or one that does not fit in
      the send buffer, is dropped and counted: all protocols tolerate loss. */
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
