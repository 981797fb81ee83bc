#include "router/LinkBudget.h"

#include <algorithm>

namespace figchute::router {

LinkBudget::LinkBudget(double bytesPerSecond, double utilisation)
  : bytesPerMicrosecond_(bytesPerSecond * utilisation / 1e6)
{
}

void LinkBudget::update(Time now, const http::Traffic& total)
{
  const auto elapsed = now - updatedAt_;
  updatedAt_ = now;
  advance(received_, elapsed, total.receivedBytes);
  advance(sent_, elapsed, total.sentBytes);
}

void LinkBudget::advance(Direction& direction, Duration elapsed, std::uint64_t total) const
{
  const auto transferred = static_cast<double>(static_cast<std::int64_t>(total - direction.total));
  direction.total = total;
  const auto earned = bytesPerMicrosecond_ * static_cast<double>(elapsed.count());
  const auto burst = bytesPerMicrosecond_ * static_cast<double>(kBurst.count());
  direction.available = std::min(direction.available + earned - transferred, burst);
}

Duration LinkBudget::timeUntilAvailable() const
{
  const auto available = std::min(received_.available, sent_.available);
  if (available > 0) {
    return Duration::zero();
  }
  const auto micros = static_cast<std::int64_t>(-available / bytesPerMicrosecond_) + 1;
  return std::min(Duration(micros), kMaxDelay);
}

} // namespace figchute::router
