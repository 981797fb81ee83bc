#include "http/DeadlineTimer.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace figchute::http::detail {

namespace {

/** Minimum time between two checks. */
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(50);

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

void DeadlineTimer::schedule(Duration deadline)
{
  // A check in progress returns the earliest deadline, including this one.
  if (deadline >= nextCheck_ || checking_ || !check_)
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
  const auto checkAt = std::max(deadline, lastCheck_ + kMinCheckInterval);
  if (checkAt >= nextCheck_)
    return;
  nextCheck_ = checkAt;
  timer_.expires_after(std::max(checkAt - now, Duration::zero()));
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (error || !self->check_)
      return;
    const auto checkTime = bootTime();
    self->nextCheck_ = kNever;
    self->lastCheck_ = checkTime;
    self->checking_ = true;
    // Called through a copy, because the check may call stop(), which clears check_.
    const auto check = self->check_;
    const auto next = check(checkTime);
    self->checking_ = false;
    if (next != kNever && self->check_)
      self->arm(next, checkTime);
  });
}

} // namespace figchute::http::detail
