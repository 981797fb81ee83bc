#pragma once

#include "Options.h"
#include "Results.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figchute::load {

/** Sends streamed chat requests one after the other on a persistent connection. */
class Stream : public std::enable_shared_from_this<Stream>
{
public:
  /** Returns the number of the next request, or nullopt at the end of the load. */
  using RequestSource = std::function<std::optional<int>()>;

  Stream(boost::asio::io_context& io,
         const Options& options,
         Results& results,
         RequestSource requestSource);

  /** Sends the first request after the delay. */
  void start(std::chrono::milliseconds delay = std::chrono::milliseconds(0));

  /** Closes the connection; a request in progress is not counted. */
  void stop();

  /** Returns true while a response is being received. */
  [[nodiscard]] bool isReceiving() const { return isReceiving_; }

private:
  using Clock = std::chrono::steady_clock;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void startNextRequest();
  void connect();
  void sendRequest();
  void receive();
  void onBytesReceived(std::size_t count);
  void processBody();
  void processEvent(std::string_view data);
  void onResponseComplete();
  void fail(const std::string& kind);
  void restartTimer();
  [[nodiscard]] std::string requestText() const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const Options& options_;
  Results& results_;
  RequestSource requestSource_;
  int requestNumber_ = 0;
  std::string request_;
  std::array<char, 16384> buffer_{};
  std::string receivedBytes_;
  std::optional<Parser> parser_;
  std::string eventText_;
  Clock::time_point sentAt_;
  Clock::time_point lastTokenAt_;
  int tokenCount_ = 0;
  bool endReceived_ = false;
  std::string streamError_;
  bool isConnected_ = false;
  bool isReceiving_ = false;
  bool isStopped_ = false;
};

} // namespace figchute::load
