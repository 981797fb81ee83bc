#pragma once

#include "Engine.h"
#include "Options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace figchute::standin {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** A complete HTTP response with a JSON body. */
struct JsonResponse
{
  int status = 200;
  std::string body;
};

/** The stand-in endpoint: it accepts connections, announces itself and executes test commands.
    Everything runs on the single thread that runs the I/O context. */
class Standin
{
public:
  Standin(boost::asio::io_context& io, Options options);

  /** Opens the listening socket and starts the announcements.
      @returns the port in use */
  std::uint16_t start();

  [[nodiscard]] const Options& options() const { return options_; }
  Slots& slots() { return slots_; }

  /** Returns a counter that each `silent` command increments; a connection that was opened at a
      lower value sends nothing. */
  [[nodiscard]] std::uint64_t silenceEpoch() const { return silenceEpoch_; }

  /** Returns the delay before a response starts. */
  [[nodiscard]] std::chrono::milliseconds responseDelay() const { return responseDelay_; }

  /** Returns the id of the next response: the given one, or a different one while a `crossed`
      command is in effect. */
  std::string nextResponseId(std::string_view requestId);

  /** Crashes the process if the request contains the text of `crash_on_prompt`. */
  void crashIfRequested(std::string_view body) const;

  /** Runs a plain service call, counts the run and returns the response. */
  JsonResponse runPlain(const HttpRequest& request);

  /** Handles `POST /standin`, `GET /standin/runs` and `GET /standin/state`. */
  JsonResponse handleControl(const HttpRequest& request);

private:
  struct RunKey
  {
    std::string method;
    std::string target;
    std::string body;

    bool operator<(const RunKey& other) const
    {
      return std::tie(method, target, body) < std::tie(other.method, other.target, other.body);
    }
  };

  void accept();
  void tick();
  void announce();
  void announceTo(const Address& address);
  [[nodiscard]] std::string announcement() const;
  [[nodiscard]] std::optional<JsonResponse> rejectOldFencing(const HttpRequest& request);
  JsonResponse executeCommand(std::string_view body);
  [[nodiscard]] std::string runsJson() const;
  [[nodiscard]] std::string stateJson() const;

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tickTimer_;
  Slots slots_;
  LoadHistory history_;
  std::map<RunKey, std::uint64_t> runs_;
  std::uint64_t ticks_ = 0;
  std::uint64_t silenceEpoch_ = 0;
  std::uint64_t highestFencing_ = 0;
  std::uint64_t announcementsAccepted_ = 0;
  std::uint64_t announcementsFailed_ = 0;
  std::uint64_t crossedResponsesLeft_ = 0;
  std::chrono::milliseconds responseDelay_{ 0 };
  bool isLeaving_ = false;
};

} // namespace figchute::standin
