#include "dispatch/PrefillBacklogEstimator.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

/** Duration of decode steps: 4 to 6 ms without prefill, 70 to 80 ms with a full prefill chunk. */
constexpr double kIdleStepMicros = 6'000;
constexpr double kPrefillStepMicros = 70'000;

/** Mean length of the prefill queue when every step contains prefill. Half or twice this value
    changes the credit under overload by at most 0.3%. */
constexpr double kFullBacklogMicros = 300'000;
constexpr double kPrefillShareDecayMicros = 500'000;
constexpr double kPrefillShareSmoothingMicros = 100'000;

/** An engine whose shortest step within a window exceeds this is slow or prefills continuously. */
constexpr double kSlowStepMicros = 12'000;
constexpr Duration kMinStepWindow = std::chrono::seconds(2);
/** A slow engine is used again after this time. */
constexpr Duration kSlowDuration = std::chrono::seconds(6);
/** Wait added for a slow engine; it exceeds the prefill queue up to which a request stays with the
    preferred engines of its prefix (EngineSelector). */
constexpr double kSlowPenaltyMicros = 300'000;

/** Usual gap between two events of any stream of an engine without prefill. */
constexpr double kUsualGapMicros = 40'000;

} // namespace

void PrefillBacklogEstimator::streamStarted(Time now)
{
  ++openStreams_;
  lastEventAt_ = now;
}

void PrefillBacklogEstimator::tokensReceived(Time now, Duration sinceLast, std::int64_t tokens)
{
  lastEventAt_ = now;
  if (tokens <= 0 || sinceLast <= Duration(0)) {
    return;
  }
  const double stepMicros = static_cast<double>(sinceLast.count()) / static_cast<double>(tokens);
  minStepMicros_ = std::min(minStepMicros_, stepMicros);
  if (now - windowStart_ > kMinStepWindow) {
    const bool isWindowRecent = now - windowStart_ < 2 * kMinStepWindow;
    if (isWindowRecent && minStepMicros_ > kSlowStepMicros) {
      slowUntil_ = now + kSlowDuration;
    }
    minStepMicros_ = stepMicros;
    windowStart_ = now;
  }
  const double stepPrefillShare =
    std::clamp((stepMicros - kIdleStepMicros) / kPrefillStepMicros, 0.0, 1.0);
  const auto ageMicros = static_cast<double>((now - prefillShareUpdatedAt_).count());
  const double weight = 1 - std::exp(-ageMicros / kPrefillShareSmoothingMicros);
  prefillShare_ = prefillShareAt(now) * (1 - weight) + stepPrefillShare * weight;
  prefillShareUpdatedAt_ = now;
}

double PrefillBacklogEstimator::prefillShareAt(Time now) const
{
  return prefillShare_ * std::exp(-static_cast<double>((now - prefillShareUpdatedAt_).count()) /
                                  kPrefillShareDecayMicros);
}

Duration PrefillBacklogEstimator::backlog(Time now) const
{
  double micros = kFullBacklogMicros * prefillShareAt(now);
  micros += now < slowUntil_ ? kSlowPenaltyMicros : 0;
  if (openStreams_ > 0) {
    const auto silenceMicros = static_cast<double>((now - lastEventAt_).count());
    micros += std::max(silenceMicros - kUsualGapMicros, 0.0);
  }
  return Duration(static_cast<std::int64_t>(micros));
}

} // namespace figchute::dispatch
