#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace figchute::http::detail {

/** A deadline that never comes. */
inline constexpr Duration kNever = Duration::max();

/** Returns the time since the system started, with the time it was suspended. */
Duration bootTime();

/** One timer for the deadlines of many connections. It sleeps until the earliest deadline it knows
    and then has all of them checked, at most every 50 ms. A deadline that moves to later costs
    nothing: the check at the old time finds the new one.
    Thread safety: use it on the thread of its io_context only. */
class DeadlineTimer : public std::enable_shared_from_this<DeadlineTimer>
{
public:
  /** Handles the deadlines that have passed at the given time and returns the earliest of the
      others, or kNever. */
  using Check = std::function<Duration(Duration now)>;

  DeadlineTimer(boost::asio::io_context& io, Check check);

  /** Has the check called at the deadline, or up to 50 ms later. */
  void need(Duration deadline);

  /** Stops for good; the check is not called any more. */
  void stop();

private:
  void arm(Duration deadline, Duration now);

  boost::asio::steady_timer timer_;
  Check check_;
  Duration armed_ = kNever;
  Duration lastCheck_ = Duration::zero();
  bool checking_ = false;
};

} // namespace figchute::http::detail
