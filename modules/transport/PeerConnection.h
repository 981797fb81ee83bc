#pragma once

#include "core/Types.h"
#include "transport/PeerAddress.h"

#include <cstdint>
#include <nng/nng.h>
#include <string_view>

namespace figchute::transport {

/** The nng push socket to one peer.
    Thread safety: the owner must serialize all calls. */
class PeerConnection
{
public:
  /** Opens a socket and starts dialling. The peer need not be reachable. */
  PeerConnection(PeerAddress peer, Time now);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /** Sends a message without blocking.
      @returns false if the send buffer is full and the message was dropped */
  bool send(std::string_view bytes);

  /** Closes the socket and dials again, which drops the messages in the send buffer. */
  void redial(Time now);

  /** Records that an incarnation of the peer acknowledged a heartbeat. */
  void recordAcknowledgement(Incarnation incarnation, Time now)
  {
    incarnation_ = incarnation;
    lastAcknowledgedAt_ = now;
  }

  /** Records that a message other than a heartbeat was sent.
      @param idleThreshold  the time without a message after which a connection is idle */
  void recordUse(Time now, Duration idleThreshold)
  {
    if (now - lastUsedAt_ > idleThreshold) {
      inUseSince_ = now;
    }
    lastUsedAt_ = now;
  }

  /** Records that a heartbeat was sent. */
  void recordPing(Time now) { lastPingAt_ = now; }

  /** Returns the sequence number of the next envelope to this peer, starting at 1. */
  std::uint64_t nextSequence() { return ++sequence_; }

  [[nodiscard]] const PeerAddress& peer() const { return peer_; }
  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] Time lastAcknowledgedAt() const { return lastAcknowledgedAt_; }
  [[nodiscard]] Time lastUsedAt() const { return lastUsedAt_; }
  /** Returns the time at which the connection last came into use after being idle. */
  [[nodiscard]] Time inUseSince() const { return inUseSince_; }
  [[nodiscard]] Time lastPingAt() const { return lastPingAt_; }
  [[nodiscard]] Time lastDialAt() const { return lastDialAt_; }

private:
  void dial();

  PeerAddress peer_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  Incarnation incarnation_;
  Time lastAcknowledgedAt_;
  Time lastDialAt_;
  Time lastUsedAt_;
  Time inUseSince_;
  Time lastPingAt_;
  std::uint64_t sequence_ = 0;
};

} // namespace figchute::transport
