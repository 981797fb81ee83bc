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

/** Sends streamed chat requests one after the other on a kept connection. */
class Stream : public std::enable_shared_from_this<Stream>
{
public:
  /** Returns the number of the next request, or nothing when the load ends. */
  using Source = std::function<std::optional<int>()>;

  Stream(boost::asio::io_context& io, const Options& options, Results& results, Source source);

  /** Sends the first request. */
  void start();

  /** Closes the connection; a request that runs is not counted. */
  void stop();

  /** Tells whether an answer is being received. */
  [[nodiscard]] bool isReceiving() const { return receiving_; }

private:
  using Clock = std::chrono::steady_clock;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void next();
  void connect();
  void sendRequest();
  void receive();
  void onBytes(std::size_t count);
  void takeBody();
  void takeEvent(std::string_view data);
  void onComplete();
  void fail(const std::string& kind);
  void restartTimer();
  [[nodiscard]] std::string requestText() const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const Options& options_;
  Results& results_;
  Source source_;
  int number_ = 0;
  std::string request_;
  std::array<char, 16384> buffer_{};
  std::string input_;
  std::optional<Parser> parser_;
  std::string events_;
  Clock::time_point sentAt_;
  Clock::time_point lastTokenAt_;
  int tokens_ = 0;
  bool sawEnd_ = false;
  std::string streamError_;
  bool connected_ = false;
  bool receiving_ = false;
  bool stopped_ = false;
};

} // namespace figchute::load
