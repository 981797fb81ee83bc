#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace figchute::http::detail {

/** Deadline value that means "none". */
inline constexpr Duration kNever = Duration::max();

/** Returns the time since the system booted, including time spent suspended. */
Duration bootTime();

/** One timer for the deadlines of many connections. It waits for the earliest known deadline and
    then checks all deadlines, at most once every 50 ms. Postponing a deadline needs no call: the
    check at the old time returns the new one.
    Thread safety: use only on the thread of its io_context. */
class DeadlineTimer : public std::enable_shared_from_this<DeadlineTimer>
{
public:
  /** Handles the deadlines that have passed at the given time. Returns the earliest remaining
      deadline, or kNever. */
  using Check = std::function<Duration(Duration now)>;

  DeadlineTimer(boost::asio::io_context& io, Check check);

  /** Schedules a check at the deadline or up to 50 ms later. */
  void schedule(Duration deadline);

  /** Stops the timer permanently. The check is not called afterwards. */
  void stop();

private:
  void arm(Duration deadline, Duration now);

  boost::asio::steady_timer timer_;
  Check check_;
  Duration nextCheck_ = kNever;
  Duration lastCheck_ = Duration::zero();
  bool checking_ = false;
};

} // namespace figchute::http::detail
