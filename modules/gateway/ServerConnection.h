#pragma once

#include "gateway/CallerServer.h"
#include "gateway/ServerCore.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace figchute::gateway::detail {

/** One connection from a caller. It repeatedly reads a request, passes it to the handler and writes
    the response. It keeps reading while a response is pending, in order to detect that the caller
    closed the connection.
    Methods that take a sequence number have no effect unless it is that of the current request.
    Thread safety: isRunning(), pendingBytes(), limits(), addPostedBytes() and post() may be called
    from any thread, all other methods only on the I/O thread. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Clock = std::chrono::steady_clock;

  ServerConnection(boost::asio::ip::tcp::socket socket, ServerCore& core);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection() = default;

  void start();
  /** Sends an error response and closes the connection. */
  void refuse(const Error& error);
  /** Closes the connection immediately; the handler is notified if a request is running. */
  void abort();
  void closeIfIdle();
  void checkDeadline(Clock::time_point now);
  void begin(std::uint64_t sequence, int status, const Headers& headers, bool streaming);
  void write(std::uint64_t sequence, std::string_view bytes);
  void finish(std::uint64_t sequence);
  void fail(std::uint64_t sequence,
            const Error& error,
            std::optional<Duration> retryDelay,
            const RequestId& request);
  void abortResponse(std::uint64_t sequence);

  [[nodiscard]] bool isRunning(std::uint64_t sequence) const
  {
    return runningSequence_ == sequence;
  }
  [[nodiscard]] std::size_t pendingBytes() const { return postedBytes_ + unsentBytes_; }
  [[nodiscard]] const ServerLimits& limits() const { return core_->limits(); }
  /** Adds to the number of bytes that are posted to the I/O thread but not yet processed there. */
  void addPostedBytes(std::size_t count) { postedBytes_ += count; }
  /** Runs a function on the I/O thread, unless the connection has been destroyed by then. */
  template<typename Function>
  void post(Function function)
  {
    boost::asio::post(core_->io(),
                      [weak = weak_from_this(), function = std::move(function)]() mutable {
                        if (const auto self = weak.lock()) {
                          function(*self);
                        }
                      });
  }

private:
  enum class State
  {
    idle,
    receiving,
    responding,
    draining,
    closed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void setSocketOptions();
  void read();
  void onRead(const boost::system::error_code& error, std::size_t count);
  void awaitRequest();
  void beginReceiving();
  void parse();
  bool processHead();
  [[nodiscard]] std::optional<Error> validateHead() const;
  void dispatch();
  void sendHealthStatus();
  void startResponse();
  void sendError(const Error& error, std::optional<Duration> retryDelay, const RequestId& id);
  void sendHead(int status, const Headers& headers, std::optional<std::size_t> length);
  void sendChunk(std::string_view bytes);
  void send(std::string_view bytes);
  void writeSome();
  void onWritten(const boost::system::error_code& error, std::size_t count);
  void endResponse();
  void onFlushed();
  void releaseRequestSlot();
  void disconnect();
  void drain();
  void setResetOnClose(bool reset);
  [[nodiscard]] bool hasUnacknowledgedBytes();
  void close();
  [[nodiscard]] bool isRespondingTo(std::uint64_t sequence) const;

  // Declared before socket_: the socket uses the core's I/O context, so the core must outlive it.
  std::shared_ptr<ServerCore> core_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::idle;
  Clock::time_point deadline_;
  Clock::time_point writeDeadline_;
  std::array<char, 4096> readBuffer_{};
  std::string input_;
  bool isReading_ = false;
  std::optional<Parser> parser_;
  bool headProcessed_ = false;
  CallerRequest request_;
  RequestId requestId_;
  std::string responseRequestId_;
  bool keepAlive_ = true;
  bool isHttp10_ = false;
  bool holdsRequestSlot_ = false;

  std::uint64_t sequence_ = 0;
  bool responseBegun_ = false;
  bool isStreaming_ = false;
  bool isEventStream_ = false;
  bool responseEnded_ = false;
  bool isComplete_ = false;
  /** Whether closing the connection resets it. True while the body is one that the end of the
      connection ends, so that it does not look complete when this process ends. */
  bool resetsOnClose_ = false;
  int status_ = 0;
  Headers headers_;
  std::string body_;

  std::string nextOutput_;
  std::string currentOutput_;
  std::size_t writtenBytes_ = 0;
  /** The sequence number of the request whose response is pending, 0 for none. */
  std::atomic<std::uint64_t> runningSequence_{ 0 };
  std::atomic<std::size_t> postedBytes_{ 0 };
  std::atomic<std::size_t> unsentBytes_{ 0 };
};

} // namespace figchute::gateway::detail
