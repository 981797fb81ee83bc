#include "http/DeadlineTimer.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace figchute::http::detail {

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(50);

} // namespace

Duration bootTime()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

DeadlineTimer::DeadlineTimer(boost::asio::io_context& io, Check check)
  : timer_(io)
  , check_(std::move(check))
{
}

void DeadlineTimer::need(Duration deadline)
{
  // The check in progress returns the earliest deadline anyway.
  if (deadline >= armed_ || checking_ || !check_)
    return;
  arm(deadline, bootTime());
}

void DeadlineTimer::stop()
{
  check_ = nullptr;
  timer_.cancel();
}

void DeadlineTimer::arm(Duration deadline, Duration now)
{
  const auto at = std::max(deadline, lastCheck_ + kSweepInterval);
  if (at >= armed_)
    return;
  armed_ = at;
  timer_.expires_after(std::max(at - now, Duration::zero()));
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (error || !self->check_)
      return;
    const auto checkTime = bootTime();
    self->armed_ = kNever;
    self->lastCheck_ = checkTime;
    self->checking_ = true;
    // A copy, because the check may stop the timer.
    const auto check = self->check_;
    const auto next = check(checkTime);
    self->checking_ = false;
    if (next != kNever && self->check_)
      self->arm(next, checkTime);
  });
}

} // namespace figchute::http::detail
