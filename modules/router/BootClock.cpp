#include "router/BootClock.h"

#include <ctime>

namespace figchute::router {
namespace {

std::int64_t readClockMicros(clockid_t clock)
{
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

} // namespace

Time bootTime()
{
  static const std::int64_t offset =
    readClockMicros(CLOCK_REALTIME) - readClockMicros(CLOCK_BOOTTIME);
  return Time{ readClockMicros(CLOCK_BOOTTIME) + offset };
}

} // namespace figchute::router
