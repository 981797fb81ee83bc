#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figchute::mesh {

/** The identity of a process in the mesh. */
struct MeshSettings
{
  /** The IP:port on which the process accepts connections from peers; also its ProcessId. */
  ProcessId self;
  Incarnation incarnation;
  /** The key for the HMAC of every message; the same in all processes. */
  std::string key;
};

/** Exchanges messages with other processes over TCP connections that are opened on demand. A
    message may be lost but is never altered, and the messages of a link arrive in the order in
    which they were sent.
    Thread safety: use it only on the thread of its io_context. */
class Mesh
{
public:
  using MessageHandler = std::function<
    void(const ProcessId& from, Incarnation incarnation, wire::Channel channel, std::string body)>;
  using LinkHandler = std::function<void(const ProcessId& peer, bool isUp)>;

  Mesh(boost::asio::io_context& io, MeshSettings settings);
  ~Mesh();

  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /** Sets the function that is called for each received message. */
  void onMessage(MessageHandler handler);

  /** Sets the function that is called when the link to a peer comes up or goes down. */
  void onLinkChange(LinkHandler handler);

  /** Binds the process's own address and listens on it.
      @returns internal with the system's error message if the address cannot be used */
  Expected<void> listen();

  /** Sends a message, opening a connection if there is no link to the peer. Never blocks. Drops the
      message if too many bytes are queued for the peer. A message to the process itself is passed
      to its own message handler. */
  void send(const ProcessId& to, wire::Channel channel, std::string body);

  /** Maintains a link to a peer: sends heartbeats and reconnects when the link is lost. */
  void maintainLink(const ProcessId& peer);

  /** Stops maintaining the link, which is then closed once it is idle. */
  void stopMaintainingLink(const ProcessId& peer);

  /** Returns true if a link to the peer is up. */
  [[nodiscard]] bool isUp(const ProcessId& peer) const;

  /** Returns the number of bytes sent since the start. */
  [[nodiscard]] std::uint64_t sentBytes() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::mesh
