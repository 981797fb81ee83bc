#pragma once

#include "Engine.h"
#include "Standin.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace figchute::standin {

/** One connection to the stand-in. It runs its requests one after the other. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(boost::asio::ip::tcp::socket socket, Standin& standin);
  ~Session() = default;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /** Reads the first request. */
  void start();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Clock = std::chrono::steady_clock;

  void readRequest();
  void handle();
  void answer();
  void answerChat();
  void sendWhole(const WholeReply& reply);
  void startGeneration();
  void sendHead();
  void scheduleToken();
  void sendTokens();
  void sendTail();
  void sendWholeChat();
  std::string chunk(const std::string& choices, bool withUsage) const;
  void sendChunk(const std::string& event);
  void send(const std::string& bytes);
  void write();
  void watchForClose();
  void endAnswer();
  void stayOpen();
  void leaveSlot();
  void close();
  [[nodiscard]] bool isSilent() const { return silenceEpoch_ < standin_.silenceEpoch(); }

  boost::asio::ip::tcp::socket socket_;
  Standin& standin_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpRequest request_;
  std::string answerId_;
  Prompt prompt_;
  Generation generation_;
  std::size_t nextToken_ = 0;
  Clock::time_point nextTokenAt_;
  std::optional<std::uint64_t> ticket_;
  std::string outbox_;
  std::string writing_;
  std::array<char, 512> discarded_{};
  bool answering_ = false;
  bool answerEnded_ = false;
  bool watching_ = false;
  bool closed_ = false;
  std::uint64_t silenceEpoch_;
};

} // namespace figchute::standin
