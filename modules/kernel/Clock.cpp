#include "kernel/Clock.h"

#include <chrono>

namespace figchute::kernel {
namespace {

struct ClockOrigin
{
  std::chrono::steady_clock::time_point steadyTime = std::chrono::steady_clock::now();
  Time wallTime{ std::chrono::duration_cast<Duration>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count() };
};

} // namespace

Time currentTime()
{
  static const ClockOrigin origin;
  const auto elapsed = std::chrono::steady_clock::now() - origin.steadyTime;
  return origin.wallTime + std::chrono::duration_cast<Duration>(elapsed);
}

} // namespace figchute::kernel
