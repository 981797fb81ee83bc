#include "router/BootClock.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <string>
#include <xxhash.h>

namespace figchute::router {
namespace {

std::int64_t readClockMicros(clockid_t clock)
{
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

} // namespace

Time bootTimeOrigin()
{
  static const Time origin{ readClockMicros(CLOCK_REALTIME) - readClockMicros(CLOCK_BOOTTIME) };
  return origin;
}

Time bootTime()
{
  return Time{ readClockMicros(CLOCK_BOOTTIME) + bootTimeOrigin().micros };
}

std::uint64_t bootId(std::string_view address)
{
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  if (!std::getline(file, id) || id.empty()) {
    return 0;
  }
  id += address;
  return std::max<std::uint64_t>(1, XXH64(id.data(), id.size(), 0));
}

} // namespace figchute::router
