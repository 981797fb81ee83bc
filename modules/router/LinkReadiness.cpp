#include "router/LinkReadiness.h"

namespace figchute::router {

void LinkReadiness::update(Time now, std::uint64_t admitted, std::uint64_t refused)
{
  const auto total = static_cast<double>(admitted + refused);
  const auto share = refused > 0 ? static_cast<double>(refused) / total : 0;
  if (ready_) {
    if (now >= readyUntil_ && refused >= kBeginRefusals && share >= kBeginShare) {
      ready_ = false;
      pauseStartedAt_ = now;
    }
    return;
  }
  const auto pause = now - pauseStartedAt_;
  if (pause >= kMaxPause || (pause >= kMinPause && share < kEndShare)) {
    ready_ = true;
    readyUntil_ = now + pause * kReadyFactor;
  }
}

} // namespace figchute::router
