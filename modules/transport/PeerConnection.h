#pragma once

#include "core/Types.h"
#include "transport/PeerAddress.h"

#include <cstdint>
#include <nng/nng.h>
#include <string_view>

namespace figchute::transport {

/** The push socket to one peer.
    Thread safety: the owner serializes all calls. */
class PeerConnection
{
public:
  /** Opens a socket and starts dialling; the peer need not be reachable. */
  PeerConnection(PeerAddress peer, Time now);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /** Sends without waiting.
      @returns false when the send buffer is full and the message was dropped */
  bool send(std::string_view bytes);

  /** Closes the socket and dials anew, which drops what waits in the send buffer. */
  void redial(Time now);

  /** Notes that an incarnation of the peer acknowledged a heartbeat. */
  void noteHeard(Incarnation incarnation, Time now)
  {
    incarnation_ = incarnation;
    lastHeard_ = now;
  }

  /** Notes that a message other than a heartbeat was sent.
      @param idleAfter  time without a message after which the connection was idle */
  void noteUsed(Time now, Duration idleAfter)
  {
    if (now - lastUsed_ > idleAfter) {
      usedSince_ = now;
    }
    lastUsed_ = now;
  }

  /** Notes that a heartbeat was sent. */
  void notePinged(Time now) { lastPinged_ = now; }

  /** Returns the next sequence number to this peer, starting at 1. */
  std::uint64_t nextSequence() { return ++sequence_; }

  [[nodiscard]] const PeerAddress& peer() const { return peer_; }
  [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
  [[nodiscard]] Time lastHeard() const { return lastHeard_; }
  [[nodiscard]] Time lastUsed() const { return lastUsed_; }
  /** Returns when the connection last came into use after being idle. */
  [[nodiscard]] Time usedSince() const { return usedSince_; }
  [[nodiscard]] Time lastPinged() const { return lastPinged_; }
  [[nodiscard]] Time lastDialled() const { return lastDialled_; }

private:
  void dial();

  PeerAddress peer_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  Incarnation incarnation_;
  Time lastHeard_;
  Time lastDialled_;
  Time lastUsed_;
  Time usedSince_;
  Time lastPinged_;
  std::uint64_t sequence_ = 0;
};

} // namespace figchute::transport
