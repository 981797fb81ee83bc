#pragma once

#include "http/DeadlineTimer.h"
#include "http/Message.h"
#include "http/Server.h"
#include "http/Turn.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figchute::http::detail {

class ServerConnection;

/** What the connections of a server share. */
struct ServerShared
{
  boost::asio::io_context& io;
  Turn& turn;
  ServerLimits limits;
  Server::Handler handler;
  std::shared_ptr<DeadlineTimer> timer;
  /** Bytes of request bodies that are held; bodies outlive the server. */
  std::shared_ptr<std::uint64_t> bodyBytes = std::make_shared<std::uint64_t>(0);
  std::size_t openRequests = 0;
  bool draining = false;
  /** Takes the bytes of one read. Idle connections need no buffer of their own. */
  std::array<char, 64U * 1024> buffer{};

  virtual ~ServerShared() = default;

  /** Forgets a connection that has closed. */
  virtual void closed(ServerConnection& connection) = 0;

protected:
  ServerShared(boost::asio::io_context& context, ServerLimits bounds, Server::Handler function);
};

/** The request side of a connection that the user of the server holds. */
class OpenRequest final : public ServerRequest
{
public:
  OpenRequest(ServerConnection& connection,
              RequestHead head,
              unsigned version,
              std::shared_ptr<const std::string> body,
              const boost::asio::ip::tcp::endpoint& peer);
  ~OpenRequest() override;

  [[nodiscard]] const RequestHead& head() const override { return head_; }
  [[nodiscard]] const std::shared_ptr<const std::string>& body() const override { return body_; }
  [[nodiscard]] const std::string& peer() const override;
  void respond(ResponseHead head, std::string_view body) override;
  void start(ResponseHead head) override;
  void write(std::string_view bytes) override;
  void finish() override;
  void abort() override;
  [[nodiscard]] std::size_t pendingBytes() const override;
  void onWritable(std::function<void()> callback) override;
  void onDisconnect(std::function<void()> callback) override;
  void closeAfterResponse() override;

  /** Called by the connection when pendingBytes() has fallen to 0. May destroy this object. */
  void notifyWritable();

  /** Called by the connection when the caller is gone. May destroy this object. */
  void notifyGone();

  /** Cuts the tie to a connection that is closed without a callback. */
  void detach() { connection_ = nullptr; }

private:
  enum class BodyKind
  {
    none,
    withLength,
    chunked,
    untilClose,
  };

  /** The callbacks; they are destroyed last when a request ends, because they may hold the last
      pointer to it. */
  struct Callbacks
  {
    std::function<void()> writable;
    std::function<void()> gone;
  };

  void begin(const ResponseHead& head);
  [[nodiscard]] Callbacks takeCallbacks();

  ServerConnection* connection_;
  RequestHead head_;
  std::shared_ptr<const std::string> body_;
  boost::asio::ip::tcp::endpoint address_;
  /** The text of address_, made when it is asked for. */
  mutable std::string peer_;
  Callbacks callbacks_;
  /** The bytes of a body with a length that are not written yet. */
  std::uint64_t remaining_ = 0;
  BodyKind kind_ = BodyKind::none;
  unsigned version_;
  bool started_ = false;
  bool closeAfter_ = false;
};

/** One connection of a caller. It reads a request, hands it over, and writes the response.
    Thread safety: use it on the thread of the io_context only. */
class ServerConnection final
  : public Flushable
  , public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(ServerShared& shared,
                   boost::asio::ip::tcp::socket socket,
                   const boost::asio::ip::tcp::endpoint& peer);

  /** Starts to read. */
  void start();

  /** Answers before any request was read, and closes. */
  void refuse(int status);

  /** Closes at once, without a callback. */
  void close();

  /** Closes the connection when it is idle.
      @returns whether it was idle */
  bool closeIfIdle();

  /** Returns whether the connection waits for a request and none has begun. */
  [[nodiscard]] bool isIdle() const;

  /** Handles the deadline if it has passed.
      @returns the next deadline, or kNever */
  Duration checkDeadline(Duration now);

  void flush() override;

  /** Where the server keeps this connection. */
  std::size_t index = 0;

private:
  friend class OpenRequest;

  /** A request whose body is being read. */
  struct Reading
  {
    MessageParser<true> parser;
    Framing framing;
    std::shared_ptr<std::string> body;
    std::uint64_t* held = nullptr;
  };

  enum class Phase
  {
    /** Reads and handles requests. */
    serving,
    /** Closes when all output is written. */
    ending,
    /** Has ended its direction; discards what the caller still sends. */
    lingering,
    closed,
  };

  void armRead();
  void armWrite();
  void onReadable();
  void onEnd();
  void received(std::string_view bytes);
  std::size_t consume(std::string_view bytes);
  std::size_t consumeHead(std::string_view bytes);
  std::size_t consumeBody(std::string_view bytes);
  bool beginRequest(std::string_view head);
  void expectBody(const RequestHead& head, std::string_view rest);
  bool storeBody(std::string_view piece);
  void dispatch(MessageParser<true>& parser,
                const Framing& framing,
                std::shared_ptr<const std::string> body);
  void fail(int status, std::string_view reason);
  void onOutputDrained(bool wrote);
  void linger();
  void lost();
  void onTimeout();

  [[nodiscard]] bool wantsRead() const;
  [[nodiscard]] std::size_t pending() const;
  void setDeadline(Duration deadline);
  void scheduleFlush();
  void requestEnded(bool closeAfterResponse);
  void abortRequest();

  ServerShared* shared_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint peer_;
  std::string in_;
  std::string out_;
  std::size_t sent_ = 0;
  std::unique_ptr<Reading> reading_;
  OpenRequest* open_ = nullptr;
  HeadScanner scanner_;
  Duration deadline_ = kNever;
  Phase phase_ = Phase::serving;
  /** The last byte of out_ waits for the end of the request, so that abort() can still leave the
      response incomplete. */
  bool holdLast_ = false;
  bool headBegun_ = false;
  bool readArmed_ = false;
  bool writeArmed_ = false;
  bool flushScheduled_ = false;
};

} // namespace figchute::http::detail
