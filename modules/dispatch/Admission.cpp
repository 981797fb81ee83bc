#include "dispatch/Admission.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** Length of an engine's queue, in multiples of its slots. */
constexpr double kQueuePerSlot = 3;
/** Share of the queue that the most urgent requests of this process may fill. The rest is left for
    requests that other processes send at the same time. */
constexpr double kMaxQueueShare = 0.85;
/** Each less urgent priority may fill this much less of the queue. */
constexpr double kQueueSharePerPriority = 0.05;
/** At priority 9, a fifth of the connections is left to more urgent requests. */
constexpr std::size_t kConnectionDivisor = 45;

} // namespace

double Admission::maxEngineLoad(int slots) const
{
  const double priorityLevel = smallWorkspace ? 0 : std::clamp(priority, 0, 9);
  return slots * (1 + kQueuePerSlot * (kMaxQueueShare - kQueueSharePerPriority * priorityLevel));
}

std::size_t Admission::connectionLimit(std::size_t processLimit) const
{
  const auto priorityLevel =
    static_cast<std::size_t>(smallWorkspace ? 0 : std::clamp(priority, 0, 9));
  return processLimit - processLimit * priorityLevel / kConnectionDivisor;
}

Duration Admission::timeUntilCapacity(double load, double limit, int slots, Duration serviceTime)
{
  const double requestsAhead = std::max(load + 1 - limit, 1.0);
  const double waitMicros =
    requestsAhead * static_cast<double>(serviceTime.count()) / std::max(slots, 1);
  return Duration(static_cast<std::int64_t>(waitMicros));
}

} // namespace figchute::dispatch
