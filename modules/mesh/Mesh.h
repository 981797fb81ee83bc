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

/** Identity of a process in the mesh. */
struct MeshSettings
{
  /** IP:port that the process listens on for peers; also its ProcessId. */
  ProcessId self;
  Incarnation incarnation;
  /** Key of the HMAC of every message; the same in all processes. */
  std::string key;
};

/** Exchanges messages with other processes over TCP connections that are dialled on demand. A
    message may be lost, never changed, and messages of one link keep their order.
    Thread safety: use it on the thread of its io_context only. */
class Mesh
{
public:
  using MessageHandler = std::function<
    void(const ProcessId& from, Incarnation incarnation, wire::Channel channel, std::string body)>;
  using LinkHandler = std::function<void(const ProcessId& peer, bool up)>;

  Mesh(boost::asio::io_context& io, MeshSettings settings);
  ~Mesh();

  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /** Sets the function that takes each message. */
  void onMessage(MessageHandler handler);

  /** Sets the function that is told when a link to a peer comes up or goes down. */
  void onLink(LinkHandler handler);

  /** Binds and listens at the process's own address.
      @returns internal with the system's text when the address cannot be used */
  Expected<void> listen();

  /** Sends a message, dialling the peer when there is no link. Never blocks; drops the message when
      too many bytes wait for the peer. A message to the process itself comes back by the handler.
   */
  void send(const ProcessId& to, wire::Channel channel, std::string body);

  /** Keeps a link to a peer up by heartbeats, dialling again when it breaks. */
  void maintainLink(const ProcessId& peer);

  /** Undoes keep(). */
  void stopMaintainingLink(const ProcessId& peer);

  /** Returns whether a link to the peer is up. */
  [[nodiscard]] bool isUp(const ProcessId& peer) const;

  /** Returns the bytes sent since the start. */
  [[nodiscard]] std::uint64_t sentBytes() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::mesh
