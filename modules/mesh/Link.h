#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figchute::mesh::detail {

constexpr Duration kMinBackoff = std::chrono::milliseconds(100);

/** A TCP connection to a peer, with its buffers and timestamps. */
struct Link
{
  explicit Link(boost::asio::ip::tcp::socket connection)
    : socket(std::move(connection))
  {
  }

  boost::asio::ip::tcp::socket socket;
  /** The process at the other end; empty for an accepted connection until its first frame. */
  ProcessId peer;
  bool isOutgoing = false;
  bool isConnecting = false;
  bool hasReceivedFrame = false;
  bool isClosed = false;
  bool isFlushPosted = false;
  bool isAwaitingWritable = false;
  std::string input;
  std::string output;
  std::size_t writtenBytes = 0;
  std::uint64_t lastReceivedSequence = 0;
  Time openedAt;
  Time lastReceivedAt;
  Time lastPingAt;
  /** The time of the last message in either direction or of the last heartbeat from the peer. */
  Time lastActivityAt;
  /** The time of the first frame that expects a reply and was sent since the last received
      frame. */
  std::optional<Time> awaitingReplySince;

  [[nodiscard]] std::size_t queuedBytes() const { return output.size() - writtenBytes; }
};

using LinkPtr = std::shared_ptr<Link>;

/** A message that waits for a link. */
struct QueuedMessage
{
  wire::Channel channel;
  std::string body;
};

/** The links to another process and the messages that wait for one. */
struct Peer
{
  std::vector<LinkPtr> links;
  /** The link on which messages are sent; one of @ref links or null. */
  LinkPtr activeLink;
  bool isMaintained = false;
  bool isUp = false;
  /** Messages to send once the back-off has ended. */
  std::deque<QueuedMessage> queuedMessages;
  std::size_t queuedMessageBytes = 0;
  Duration backoff = kMinBackoff;
  Time nextDialAt;
};

} // namespace figchute::mesh::detail
