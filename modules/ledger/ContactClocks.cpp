#include "ledger/ContactClocks.h"

#include <algorithm>

namespace figchute::ledger::detail {

ContactClocks::ContactClocks(HolderId self)
  : self_(std::move(self))
{
}

void ContactClocks::setControls(Time now, const std::vector<ProcessId>& controls)
{
  if (clocks_.empty()) {
    startedAt_ = now;
  }
  for (const auto& control : controls) {
    if (clocks_.try_emplace(control).second) {
      nextRequestAt_ = now;
    }
  }
  tick(now);
}

void ContactClocks::receive(const ProcessId& from, const ClockReading& reading)
{
  const auto clock = clocks_.find(from);
  if (clock != clocks_.end() && !clock->second.answered) {
    clock->second = { true, reading };
  }
}

void ContactClocks::tick(Time now)
{
  if (now < nextRequestAt_ || isComplete(now)) {
    return;
  }
  nextRequestAt_ = now + kRequestInterval;
  for (const auto& [control, clock] : clocks_) {
    if (!clock.answered) {
      outgoing_.push_back({ control, ClockRequest{ self_ } });
    }
  }
}

bool ContactClocks::hasUnanswered() const
{
  return std::any_of(
    clocks_.begin(), clocks_.end(), [](const auto& item) { return !item.second.answered; });
}

bool ContactClocks::isComplete(Time now) const
{
  return !clocks_.empty() && (!hasUnanswered() || now >= startedAt_ + kMaxWait);
}

std::vector<ClockReading> ContactClocks::readings() const
{
  std::vector<ClockReading> readings;
  for (const auto& [control, clock] : clocks_) {
    if (clock.reading.isValid()) {
      readings.push_back(clock.reading);
    }
  }
  return readings;
}

} // namespace figchute::ledger::detail
