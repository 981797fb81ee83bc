#pragma once

#include "http/DeadlineTimer.h"
#include "http/FlushScheduler.h"
#include "http/Message.h"
#include "http/Server.h"
#include "http/Traffic.h"
#include "http/WriteProgress.h"

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

/** State and services that all connections of a server share. */
struct ServerContext
{
  boost::asio::io_context& io;
  FlushScheduler& flushScheduler;
  ServerLimits limits;
  Server::Handler handler;
  std::shared_ptr<DeadlineTimer> timer;
  /** Total bytes of the request bodies in memory. Shared, because bodies may outlive the server. */
  std::shared_ptr<std::uint64_t> bodyBytes = std::make_shared<std::uint64_t>(0);
  std::size_t openRequests = 0;
  bool draining = false;
  /** Read buffer. Connections use it in turn, so that an idle connection needs none of its own. */
  std::array<char, 64U * 1024> buffer{};
  Traffic traffic;
  /** The part of traffic that belongs to requests which the head filter refused. */
  Traffic refusedTraffic;
  Server::HeadFilter headFilter;
  /** Accepted connections that have sent no complete head, closed ones included. */
  std::uint64_t unusedConnections = 0;

  virtual ~ServerContext() = default;

  /** Removes a closed connection from the server. */
  virtual void onConnectionClosed(ServerConnection& connection) = 0;

protected:
  ServerContext(boost::asio::io_context& context,
                ServerLimits initialLimits,
                Server::Handler requestHandler);
};

/** The ServerRequest that a connection passes to the request handler. */
class OpenRequest final : public ServerRequest
{
public:
  OpenRequest(ServerConnection& connection,
              RequestHead head,
              unsigned version,
              std::shared_ptr<const std::string> body,
              const boost::asio::ip::tcp::endpoint& peer,
              std::shared_ptr<TransferObserver> observer);
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
  void onUnsent(std::function<void(const UnsentResponse&)> callback) override;
  void closeAfterResponse() override;
  [[nodiscard]] TransferObserver* observer() const override { return observer_.get(); }

  /** Called by the connection when pendingBytes() has fallen to 0. May destroy this object. */
  void notifyWritable();

  /** Called by the connection when the caller has disconnected. May destroy this object. */
  void notifyDisconnected();

  /** Clears the pointer to the connection, which closes without calling a callback. */
  void detach() { connection_ = nullptr; }

private:
  enum class BodyKind
  {
    none,
    withLength,
    chunked,
    untilClose,
  };

  /** The callbacks of a request. They are destroyed last when the request ends, because they may
      hold the last pointer to it. */
  struct Callbacks
  {
    std::function<void()> writable;
    std::function<void()> disconnected;
    std::function<void(const UnsentResponse&)> unsent;
  };

  void appendResponseHead(const ResponseHead& head);
  void observeAnswered(std::size_t bytes) const;
  [[nodiscard]] Callbacks clearCallbacks();

  ServerConnection* connection_;
  RequestHead head_;
  std::shared_ptr<const std::string> body_;
  boost::asio::ip::tcp::endpoint address_;
  /** address_ as text, created on first use. */
  mutable std::string peer_;
  Callbacks callbacks_;
  std::shared_ptr<TransferObserver> observer_;
  /** Bytes of a body with a known length that have not been written yet. */
  std::uint64_t remaining_ = 0;
  BodyKind bodyKind_ = BodyKind::none;
  unsigned version_;
  bool started_ = false;
  bool closeAfterResponse_ = false;
};

/** One connection from a caller. It reads a request, passes it to the handler and writes the
    response.
    Thread safety: use only on the thread of the io_context. */
class ServerConnection final
  : public Flushable
  , public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(ServerContext& serverContext,
                   boost::asio::ip::tcp::socket socket,
                   const boost::asio::ip::tcp::endpoint& peer);

  /** Starts reading requests. */
  void start();

  /** Sends an error response without reading a request, then closes the connection. */
  void refuse(int status);

  /** Closes the connection immediately. Callbacks of an open request are not called.
      @param reason  why a response that has ended may be incomplete for the caller */
  void close(UnsentReason reason = UnsentReason::closed);

  /** Writes what the operating system accepts, then closes the connection; an open request is cut.
      Arrived input is discarded, because a close with unread input resets the connection. */
  void flushAndClose();

  /** Closes the connection if it is idle. A new connection is closed only after some time without a
      request, because the caller has usually sent its first request already.
      @returns whether it was closed */
  bool closeIfIdle();

  /** Returns whether the connection is new and its first request is still to be expected. */
  [[nodiscard]] bool awaitsFirstRequest(Duration now) const;

  /** Returns whether no request is being received or handled and all output has been written. */
  [[nodiscard]] bool isIdle() const;

  /** Returns whether no request is open and the caller has not received all output. */
  [[nodiscard]] bool hasUnsentResponse();

  /** Handles the deadline if it has passed.
      @returns the next deadline, or kNever */
  Duration checkDeadline(Duration now);

  void flush() override;

  /** Index of this connection in the server's list. */
  std::size_t index = 0;

private:
  friend class OpenRequest;

  /** A request whose body is being read. */
  struct IncomingRequest
  {
    MessageParser<true> parser;
    Framing framing;
    std::shared_ptr<std::string> body;
    std::uint64_t* countedBytes = nullptr;
    std::shared_ptr<TransferObserver> observer;
  };

  enum class Phase
  {
    /** Reading and handling requests. */
    serving,
    /** Closing once all output is written. */
    ending,
    /** Output is shut down; input is discarded until the caller closes or the time limit passes. */
    lingering,
    closed,
  };

  void startReadWait();
  void startWriteWait();
  void onReadable();
  void onPeerEnd();
  void onReceived(std::string_view bytes);
  std::size_t consume(std::string_view bytes);
  std::size_t consumeHead(std::string_view bytes);
  std::size_t consumeBody(std::string_view bytes);
  /** @param head      the complete head
      @param received  the bytes that were received since the head began */
  bool startRequest(std::string_view head, std::size_t received);
  void prepareBody(std::string_view head, std::string_view rest);
  /** Asks the head filter.
      @returns false if the request was refused */
  bool passesFilter(IncomingRequest& incoming, std::size_t headBytes, std::size_t received);
  void refuseRequest(const HeadRefusal& refusal, bool isHeadRequest, std::size_t received);
  bool appendBody(std::string_view bytes);
  void dispatch(IncomingRequest& incoming, std::shared_ptr<const std::string> body);
  void fail(int status, std::string_view reason);
  /** Sends a response without an open request, then closes the connection. */
  void respondAndClose(const ResponseHead& head, std::string_view body, bool omitBody);
  void onOutputDrained(bool wrote);
  void startLingering();
  void onDisconnected(UnsentReason reason = UnsentReason::disconnected);
  void onTimeout();
  void startWriteProgress();
  /** Closes the connection if its caller has taken no bytes for the write timeout. */
  void checkWriteProgress(Duration now);
  /** Reports what is missing of a response that has ended. */
  void reportUnsent(UnsentReason reason);

  [[nodiscard]] bool canRead() const;
  [[nodiscard]] std::size_t pendingBytes() const;
  /** Returns the bytes of the output that the caller's system has not acknowledged. */
  [[nodiscard]] std::size_t unacknowledgedOutput();
  [[nodiscard]] std::int64_t acknowledgedOutput();
  void setDeadline(Duration deadline);
  void scheduleFlush();
  /** Makes every end of the connection a reset until the whole response is handed to the system. */
  void beginBodyUntilClose();
  /** @param unsent  see ServerRequest::onUnsent() */
  void onRequestEnded(bool closeAfterResponse, std::function<void(const UnsentResponse&)> unsent);
  void abortRequest();

  ServerContext* context_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint peer_;
  std::string input_;
  std::string output_;
  std::size_t outputSent_ = 0;
  std::unique_ptr<IncomingRequest> incoming_;
  OpenRequest* openRequest_ = nullptr;
  HeadScanner scanner_;
  Duration deadline_ = kNever;
  WriteProgress writeProgress_;
  Duration progressCheckAt_ = kNever;
  /** Bytes that the operating system has accepted since the connection began. */
  std::int64_t writtenBytes_ = 0;
  /** Called if the last response that has ended does not reach the caller; may be empty. */
  std::function<void(const UnsentResponse&)> onUnsent_;
  Duration acceptedAt_ = bootTime();
  Phase phase_ = Phase::serving;
  /** Holds back the last byte of output_ until the request ends, so that abort() can still leave
      the response incomplete. */
  bool holdLastByte_ = false;
  bool sendsBodyUntilClose_ = false;
  bool headStarted_ = false;
  /** The head filter refused the last request of this connection. */
  bool refused_ = false;
  /** Bytes that were read and discarded after the refusal. */
  std::size_t discardedBytes_ = 0;
  bool hadRequest_ = false;
  bool hadHead_ = false;
  bool readWaiting_ = false;
  bool writeWaiting_ = false;
  bool flushScheduled_ = false;
};

} // namespace figchute::http::detail
