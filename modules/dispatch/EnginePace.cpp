#include "dispatch/EnginePace.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

/** A step without reading takes 4 to 6 ms, one with a whole chunk 70 to 80 ms. */
constexpr double kIdleStepMicros = 6'000;
constexpr double kReadingStepMicros = 70'000;

/** A reading queue that keeps all steps busy is this long on average; half or twice of it changes
    the credit in the measured floods by 0.3% at most. */
constexpr double kBusyBacklogMicros = 300'000;
constexpr double kMemoryMicros = 500'000;
constexpr double kSmoothingMicros = 100'000;

/** An engine whose shortest step of a window is above this is slow or reads without a break. */
constexpr double kSlowStepMicros = 12'000;
constexpr Duration kWindow = std::chrono::seconds(2);
/** After this time it is tried again. */
constexpr Duration kSlowMemory = std::chrono::seconds(6);
/** Wait that a slow engine counts for; it is above the queue that a subject stays with. */
constexpr double kSlowMicros = 300'000;

/** Pause between two events of some stream that is usual without reading. */
constexpr double kUsualPauseMicros = 40'000;

} // namespace

void EnginePace::streamBegan(Time now)
{
  ++streams_;
  heardAt_ = now;
}

void EnginePace::tokensCame(Time now, Duration sinceLast, std::int64_t tokens)
{
  heardAt_ = now;
  if (tokens <= 0 || sinceLast <= Duration(0)) {
    return;
  }
  const double step = static_cast<double>(sinceLast.count()) / static_cast<double>(tokens);
  shortestStep_ = std::min(shortestStep_, step);
  if (now - windowFrom_ > kWindow) {
    const bool complete = now - windowFrom_ < 2 * kWindow;
    if (complete && shortestStep_ > kSlowStepMicros) {
      slowUntil_ = now + kSlowMemory;
    }
    shortestStep_ = step;
    windowFrom_ = now;
  }
  const double busy = std::clamp((step - kIdleStepMicros) / kReadingStepMicros, 0.0, 1.0);
  const auto age = static_cast<double>((now - busyFrom_).count());
  const double weight = 1 - std::exp(-age / kSmoothingMicros);
  busy_ = busyAt(now) * (1 - weight) + busy * weight;
  busyFrom_ = now;
}

double EnginePace::busyAt(Time now) const
{
  return busy_ * std::exp(-static_cast<double>((now - busyFrom_).count()) / kMemoryMicros);
}

Duration EnginePace::backlog(Time now) const
{
  double micros = kBusyBacklogMicros * busyAt(now);
  micros += now < slowUntil_ ? kSlowMicros : 0;
  if (streams_ > 0) {
    const auto silent = static_cast<double>((now - heardAt_).count());
    micros += std::max(silent - kUsualPauseMicros, 0.0);
  }
  return Duration(static_cast<std::int64_t>(micros));
}

} // namespace figchute::dispatch
