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

/** One connection of a caller. It reads a request, passes it on, writes the answer, and starts
    again. While an answer is due it goes on reading, which tells it when the caller closes.
    Thread safety: the methods of the second group are safe from any thread; all others are for the
    I/O thread. The methods that name a sequence number do nothing when it is not that of the
    running request. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using Clock = std::chrono::steady_clock;

  ServerConnection(boost::asio::ip::tcp::socket socket, ServerCore& core);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection() = default;

  void start();
  /** Answers with an error and closes. */
  void refuse(const Error& error);
  /** Closes at once; the handler is told when a request runs. */
  void abort();
  void closeIfIdle();
  void checkDeadline(Clock::time_point now);
  void begin(std::uint64_t sequence, int status, const Headers& headers, bool streaming);
  void write(std::uint64_t sequence, std::string bytes);
  void finish(std::uint64_t sequence);
  void fail(std::uint64_t sequence,
            const Error& error,
            std::optional<Duration> retryDelay,
            const RequestId& request);
  void abortAnswer(std::uint64_t sequence);

  [[nodiscard]] bool isRunning(std::uint64_t sequence) const { return running_ == sequence; }
  [[nodiscard]] std::size_t pendingBytes() const { return posted_ + queued_; }
  [[nodiscard]] const ServerLimits& limits() const { return core_->limits(); }
  /** Counts bytes on their way to the I/O thread. */
  void addPosted(std::size_t count) { posted_ += count; }
  /** Runs a function on the I/O thread while the connection exists. */
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
    answering,
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
  bool checkHead();
  [[nodiscard]] std::optional<Error> faultOfHead() const;
  void dispatch();
  void answerHealth();
  void startAnswer();
  void answerError(const Error& error, std::optional<Duration> retryDelay, const RequestId& id);
  void sendHead(int status, const Headers& headers, std::optional<std::size_t> length);
  void sendChunk(std::string_view bytes);
  void send(std::string_view bytes);
  void writeSome();
  void onWritten(const boost::system::error_code& error, std::size_t count);
  void endAnswer();
  void onFlushed();
  void releasePlace();
  void disconnect();
  void drain();
  void close();
  [[nodiscard]] bool accepts(std::uint64_t sequence) const;

  // The socket belongs to the core's I/O context, so the core must outlive it.
  std::shared_ptr<ServerCore> core_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::idle;
  Clock::time_point deadline_;
  Clock::time_point writeDeadline_;
  std::array<char, 4096> readBuffer_{};
  std::string input_;
  bool reading_ = false;
  std::optional<Parser> parser_;
  bool headChecked_ = false;
  CallerRequest request_;
  RequestId requestId_;
  std::string answerId_;
  bool keepAlive_ = true;
  bool isHttp10_ = false;
  bool hasPlace_ = false;

  std::uint64_t sequence_ = 0;
  bool begun_ = false;
  bool streaming_ = false;
  bool isEventStream_ = false;
  bool ended_ = false;
  int status_ = 0;
  Headers headers_;
  std::string body_;

  std::string outbox_;
  std::string writing_;
  std::size_t written_ = 0;
  /** The sequence number of the request that waits for its answer, 0 for none. */
  std::atomic<std::uint64_t> running_{ 0 };
  std::atomic<std::size_t> posted_{ 0 };
  std::atomic<std::size_t> queued_{ 0 };
};

} // namespace figchute::gateway::detail
