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

/** One connection to the stand-in. Processes its requests one after the other. */
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
  void respond();
  void respondToChat();
  void sendJson(const JsonResponse& response);
  void startGeneration();
  void sendStreamHead();
  void scheduleToken();
  void sendToken();
  void sendStreamEnd();
  void sendCompleteChat();
  [[nodiscard]] std::string usageJson() const;
  [[nodiscard]] std::string makeChunkEvent(const std::string& choices, bool withUsage) const;
  void sendChunk(const std::string& event);
  void send(const std::string& bytes);
  void write();
  void watchForDisconnect();
  void finishResponse();
  void discardInput();
  void releaseSlot();
  void close();
  [[nodiscard]] bool isSilent() const { return silenceEpoch_ < standin_.silenceEpoch(); }

  boost::asio::ip::tcp::socket socket_;
  Standin& standin_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpRequest request_;
  std::string responseId_;
  Prompt prompt_;
  Generation generation_;
  /** The text of a response that is not streamed. */
  std::string responseText_;
  Clock::time_point nextTokenAt_;
  std::optional<std::uint64_t> slotTicket_;
  std::string pendingOutput_;
  std::string outputBeingWritten_;
  std::array<char, 512> discardBuffer_{};
  bool isResponding_ = false;
  bool isResponseComplete_ = false;
  bool isWatching_ = false;
  bool isClosed_ = false;
  std::uint64_t silenceEpoch_;
};

} // namespace figchute::standin
