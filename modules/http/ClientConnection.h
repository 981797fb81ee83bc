#pragma once

#include "http/ClientPool.h"
#include "http/DeadlineTimer.h"
#include "http/FlushScheduler.h"
#include "http/Message.h"
#include "http/Traffic.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace figchute::http::detail {

class ClientConnection;
class EndConfirmation;
class EndWitness;

/** Where a connection leads. */
struct Destination
{
  boost::asio::ip::tcp::endpoint address;
  /** The proxy that opens a tunnel to the address; the default endpoint for a direct connection. */
  boost::asio::ip::tcp::endpoint proxy{};

  friend bool operator<(const Destination& a, const Destination& b)
  {
    return std::tie(a.address, a.proxy) < std::tie(b.address, b.proxy);
  }
};

/** One request and the progress of its response. */
struct Exchange
{
  /** Null once the call has ended or was cancelled. */
  CallListener* listener = nullptr;
  ClientConnection* connection = nullptr;
  Destination destination;
  CallOptions options;
  std::string method;
  /** The request head as it is sent. */
  std::string requestHead;
  std::shared_ptr<const std::string> body;
  bool sent = false;
  bool headReceived = false;
  bool reused = false;
  bool paused = false;
  /** Whether it carries no request and its connection is that of an EndWitness. */
  bool isWitness = false;
};

/** The connection attempts to a destination that confirm ends of bodies; -kNever for none. */
struct ConfirmationAttempts
{
  /** May lie in the future. */
  Duration lastStartedAt = -kNever;
  /** When the address refused a connection. */
  Duration lastRefusedAt = -kNever;
};

/** State and services that all connections of a pool share. */
struct PoolContext
{
  boost::asio::io_context& io;
  FlushScheduler& flushScheduler;
  std::shared_ptr<DeadlineTimer> timer;
  /** Read buffer. Connections use it in turn, so that an idle connection needs none of its own. */
  std::array<char, 64U * 1024> buffer{};
  Traffic traffic;

  virtual ~PoolContext() = default;

  /** Assigns the exchange to a connection, or reports a failure asynchronously. */
  virtual void assign(const std::shared_ptr<Exchange>& exchange) = 0;

  /** Makes a connection whose exchange is complete available for reuse. */
  virtual void onConnectionIdle(ClientConnection& connection) = 0;

  /** Removes a closed connection from the pool. */
  virtual void onConnectionClosed(ClientConnection& connection) = 0;

  /** Returns the witness of all bodies at the destination of an exchange that end with their
      connections, and creates it if there is none. */
  [[nodiscard]] virtual std::shared_ptr<EndWitness> witnessFor(const Exchange& exchange) = 0;

  /** Returns the attempts at a destination that has a connection. The reference is valid until the
      next change of the connections. */
  virtual ConfirmationAttempts& confirmationAttempts(const Destination& destination) = 0;

  /** Returns the established connections to the destination of a connection, without itself. */
  [[nodiscard]] virtual std::vector<std::weak_ptr<ClientConnection>> othersOf(
    const ClientConnection& connection) const = 0;

protected:
  explicit PoolContext(boost::asio::io_context& context);
};

/** One connection to an endpoint. It handles one exchange at a time.
    Thread safety: use only on the thread of the io_context. */
class ClientConnection final
  : public Flushable
  , public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(PoolContext& poolContext, const Destination& destination);

  /** Opens the connection for its first exchange.
      @returns the system's error message when no socket could be opened, else an empty string */
  std::string connect(const std::shared_ptr<Exchange>& exchange);

  /** Starts another exchange on this connection. Precondition: the connection is idle. */
  void startExchange(const std::shared_ptr<Exchange>& exchange);

  /** Closes the connection immediately, without calling a listener. */
  void close();

  /** Continues to read after a pause. */
  void resume();

  /** Handles the deadline if it has passed.
      @returns the next deadline, or kNever */
  Duration checkDeadline(Duration now);

  [[nodiscard]] const Destination& destination() const { return destination_; }
  [[nodiscard]] bool isIdle() const { return phase_ == Phase::idle; }
  [[nodiscard]] bool isClosed() const { return phase_ == Phase::closed; }
  /** Returns whether the connection is established and the endpoint has certainly not closed it. */
  [[nodiscard]] bool isOpenAtPeer();
  /** Returns when the connection was established; kNever before. */
  [[nodiscard]] Duration establishedAt() const { return establishedAt_; }
  /** Returns how long ago the end of the body reached this VM, while it is being confirmed. */
  [[nodiscard]] std::optional<Duration> timeSinceEnd() const;
  /** Returns whether the connection only serves to confirm the end of a body: it has ended itself,
     or it carries no request. */
  [[nodiscard]] bool isConfirming() const;
  /** Returns whether this is the connection of an EndWitness, which isConfirming() includes. */
  [[nodiscard]] bool isWitness() const { return exchange_ && exchange_->isWitness; }
  [[nodiscard]] Duration deadline() const { return deadline_; }

  void flush() override;

  /** Index of this connection in the pool's list for its address. */
  std::size_t index = 0;

private:
  enum class Phase
  {
    connecting,
    /** Waiting for the response of the proxy. */
    openingTunnel,
    busy,
    /** The connection has ended and with it the body, if the endpoint is still alive. */
    confirmingEnd,
    idle,
    closed,
  };

  /** The request that a response belongs to. */
  enum class ResponseOwner
  {
    thisRequest,
    otherRequest,
    /** The connection was used before and the response has no identifier: an endpoint may have
        written an earlier response once more. */
    unknown,
  };

  void onConnected(const boost::system::error_code& error);
  [[nodiscard]] bool usesProxy() const;
  void openTunnel();
  void readTunnelResponse();
  /** Starts the first exchange on the established connection. */
  void startFirstExchange();
  void startReadWait();
  void startWriteWait();
  void onReadable();
  void onPeerEnd();
  void confirmEnd();
  void onEndConfirmed(bool confirmed);
  void onReceived(std::string_view bytes);
  std::size_t consume(std::string_view bytes);
  std::size_t consumeHead(std::string_view bytes);
  std::size_t consumeBody(std::string_view bytes);
  bool handleHead(const Framing& framing);
  [[nodiscard]] ResponseOwner ownerOf(const ResponseHead& head) const;
  void complete(bool extraBytes);
  void fail(CallFailureKind kind, std::string detail);
  void reassign();
  void releaseBuffers();
  void setDeadline(Duration deadline);

  /** Returns whether an exchange is in progress and its listener may be called. */
  [[nodiscard]] bool isActive() const;
  [[nodiscard]] bool isFullyWritten() const;

  /** Lets an endpoint that responds before it has read the whole request read the rest later. */
  void allowLateReading();

  PoolContext* context_;
  boost::asio::ip::tcp::socket socket_;
  Destination destination_;
  std::shared_ptr<Exchange> exchange_;
  std::shared_ptr<EndConfirmation> endConfirmation_;
  /** Set while a body that ends with the connection is read or its end is being confirmed. */
  std::shared_ptr<EndWitness> witness_;
  std::string input_;
  std::unique_ptr<MessageParser<false>> parser_;
  HeadScanner scanner_;
  /** Bytes of the request head and body that have been written to the socket. */
  std::size_t requestBytesWritten_ = 0;
  Duration deadline_ = kNever;
  Duration establishedAt_ = kNever;
  /** When an end of the connection that ends the body reached this VM; kNever before. */
  Duration endedAt_ = kNever;
  Duration idleTimeout_ = Duration::zero();
  Phase phase_ = Phase::connecting;
  bool readWaiting_ = false;
  bool writeWaiting_ = false;
  /** Whether the address refused the connection. */
  bool portClosed_ = false;
  /** errno value of a failed write, else 0. A response that has arrived can still be read. */
  int writeError_ = 0;
  /** The rest of the request may stay unread for longer than kTcpUserTimeout. The connection is
      then not used again. */
  bool allowsLateReading_ = false;
  /** Whether the last response allows the connection to be kept open. */
  bool keepAlive_ = true;
  /** Whether the response being read belongs to an earlier request and is discarded. */
  bool discardingResponse_ = false;
};

} // namespace figchute::http::detail
