#include "dispatch/Admission.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** An engine queues this many times its slots. */
constexpr double kQueuePerSlot = 3;
/** Part of the queue for the most urgent work; the rest covers what other processes send at the
    same time. */
constexpr double kUrgentPart = 0.85;
constexpr double kPartPerPriority = 0.05;
/** The least urgent requests leave a fifth of the connections to others. */
constexpr std::size_t kConnectionDivisor = 45;

} // namespace

double Admission::engineLimit(int slots) const
{
  const double steps = smallWorkspace ? 0 : std::clamp(priority, 0, 9);
  return slots * (1 + kQueuePerSlot * (kUrgentPart - kPartPerPriority * steps));
}

std::size_t Admission::connectionLimit(std::size_t share) const
{
  const auto steps = static_cast<std::size_t>(smallWorkspace ? 0 : std::clamp(priority, 0, 9));
  return share - share * steps / kConnectionDivisor;
}

Duration Admission::roomAfter(double load, double limit, int slots, Duration serviceTime)
{
  const double beyond = std::max(load + 1 - limit, 1.0);
  const double micros = beyond * static_cast<double>(serviceTime.count()) / std::max(slots, 1);
  return Duration(static_cast<std::int64_t>(micros));
}

} // namespace figchute::dispatch
