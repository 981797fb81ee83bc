#pragma once

#include "http/ClientPool.h"
#include "http/DeadlineTimer.h"
#include "http/Message.h"
#include "http/Turn.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::http::detail {

class ClientConnection;

/** One request and what has become of it. */
struct Exchange
{
  /** Null when the call has ended or is cancelled. */
  CallListener* listener = nullptr;
  ClientConnection* connection = nullptr;
  boost::asio::ip::tcp::endpoint address;
  CallOptions options;
  std::string method;
  std::string head;
  std::shared_ptr<const std::string> body;
  bool sent = false;
  bool headReceived = false;
  bool reused = false;
  bool paused = false;
};

/** What the connections of a pool share. */
struct PoolShared
{
  boost::asio::io_context& io;
  Turn& turn;
  std::shared_ptr<DeadlineTimer> timer;
  /** Takes the bytes of one read. */
  std::array<char, 64U * 1024> buffer{};

  virtual ~PoolShared() = default;

  /** Gives the exchange a connection, or ends it with a failure later. */
  virtual void assign(const std::shared_ptr<Exchange>& exchange) = 0;

  /** Keeps a connection whose exchange is complete. */
  virtual void idle(ClientConnection& connection) = 0;

  /** Forgets a connection that has closed. */
  virtual void closed(ClientConnection& connection) = 0;

protected:
  explicit PoolShared(boost::asio::io_context& context);
};

/** One connection to an endpoint; it serves one exchange at a time.
    Thread safety: use it on the thread of the io_context only. */
class ClientConnection final
  : public Flushable
  , public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(PoolShared& shared, const boost::asio::ip::tcp::endpoint& address);

  /** Connects for a first exchange.
      @returns the system's text when there is no socket, else an empty text */
  std::string connect(const std::shared_ptr<Exchange>& exchange);

  /** Starts a further exchange. Precondition: the connection is idle. */
  void begin(const std::shared_ptr<Exchange>& exchange);

  /** Closes at once. No listener is called. */
  void close();

  /** Reads on after a pause. */
  void resume();

  /** Handles the deadline if it has passed.
      @returns the next deadline, or kNever */
  Duration checkDeadline(Duration now);

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  [[nodiscard]] bool isIdle() const { return phase_ == Phase::idle; }
  [[nodiscard]] bool isClosed() const { return phase_ == Phase::closed; }
  [[nodiscard]] Duration deadline() const { return deadline_; }

  void flush() override;

  /** Where the pool keeps this connection. */
  std::size_t index = 0;

private:
  enum class Phase
  {
    connecting,
    busy,
    idle,
    closed,
  };

  void onConnected(const boost::system::error_code& error);
  void armRead();
  void armWrite();
  void onReadable();
  void onEnd();
  void received(std::string_view bytes);
  std::size_t consume(std::string_view bytes);
  std::size_t consumeHead(std::string_view bytes);
  std::size_t consumeBody(std::string_view bytes);
  bool acceptHead(const Framing& framing);
  void complete(bool extraBytes);
  void fail(CallFailureKind kind, std::string detail);
  void moveToAnother();
  void releaseBuffers();
  void setDeadline(Duration deadline);

  /** Returns whether the current exchange is served and its listener may be called. */
  [[nodiscard]] bool isActive() const;
  [[nodiscard]] bool fullyWritten() const;

  PoolShared* shared_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint address_;
  std::shared_ptr<Exchange> exchange_;
  std::string in_;
  std::unique_ptr<MessageParser<false>> parser_;
  HeadScanner scanner_;
  /** Bytes of the head and the body that the system has taken. */
  std::size_t written_ = 0;
  Duration deadline_ = kNever;
  Duration keepFor_ = Duration::zero();
  Phase phase_ = Phase::connecting;
  bool readArmed_ = false;
  bool writeArmed_ = false;
  /** Writing failed; a response that has already arrived can still be read. */
  int writeError_ = 0;
  /** What the head of the last response says. */
  bool keepAlive_ = true;
  /** The response that is read belongs to an earlier request. */
  bool dropping_ = false;
};

} // namespace figchute::http::detail
