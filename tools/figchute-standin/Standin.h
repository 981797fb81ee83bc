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

/** An answer that is sent as a whole. */
struct WholeReply
{
  int status = 200;
  std::string body;
};

/** The stand-in endpoint: it accepts connections, announces itself and obeys test commands.
    Everything runs on the one thread that runs the I/O context. */
class Standin
{
public:
  Standin(boost::asio::io_context& io, Options options);

  /** Opens the listening socket and starts to announce.
      @returns the port in use */
  std::uint16_t start();

  [[nodiscard]] const Options& options() const { return options_; }
  Slots& slots() { return slots_; }

  /** Returns the number that rises with each `silent` command; a connection that was opened under
      a lower number sends nothing. */
  [[nodiscard]] std::uint64_t silenceEpoch() const { return silenceEpoch_; }

  /** Returns the delay before an answer starts. */
  [[nodiscard]] std::chrono::milliseconds lateness() const { return lateness_; }

  /** Returns the id that the next answer carries: the given one, or another one while a `crossed`
      command lasts. */
  std::string answerId(std::string_view requestId);

  /** Ends the process when the request contains the text of `crash_on_prompt`. */
  void crashIfMarked(std::string_view body) const;

  /** Answers a plain service call and counts its run. */
  WholeReply runPlain(const HttpRequest& request);

  /** Answers `POST /standin`, `GET /standin/runs` and `GET /standin/state`. */
  WholeReply control(const HttpRequest& request);

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
  [[nodiscard]] std::optional<WholeReply> refuseOldFencing(const HttpRequest& request);
  WholeReply command(std::string_view body);
  [[nodiscard]] std::string runsJson() const;
  [[nodiscard]] std::string stateJson() const;

  boost::asio::io_context& io_;
  Options options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer ticker_;
  Slots slots_;
  LoadHistory history_;
  std::map<RunKey, std::uint64_t> runs_;
  std::uint64_t ticks_ = 0;
  std::uint64_t silenceEpoch_ = 0;
  std::uint64_t highestFencing_ = 0;
  std::uint64_t announced_ = 0;
  std::uint64_t announceFailures_ = 0;
  std::uint64_t crossedLeft_ = 0;
  std::chrono::milliseconds lateness_{ 0 };
  bool leaving_ = false;
};

} // namespace figchute::standin
