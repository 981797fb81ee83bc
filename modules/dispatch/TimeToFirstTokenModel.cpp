#include "dispatch/TimeToFirstTokenModel.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

/** Costs of an engine: prefill speed, attention between pairs of tokens, and the duration of a
   decode step. KvEngine in figchute-measure uses the same model. */
constexpr double kPrefillTokensPerMilli = 61;
constexpr double kAttentionMillisPerMillionPairs = 0.324;
constexpr double kStepMillis = 3.37;
constexpr double kStepMillisPerRequest = 0.011;
constexpr double kStepMillisPerThousandTokens = 0.0034;

constexpr double kResidualSmoothing = 0.3;
/** The queues caused by other processes change within seconds. */
constexpr double kResidualDecayMicros = 3e6;

Duration fromMillis(double millis)
{
  return Duration(static_cast<std::int64_t>(millis * 1000));
}

} // namespace

Duration prefillTime(std::int64_t uncachedTokens, std::int64_t promptTokens)
{
  const auto uncached = static_cast<double>(std::max<std::int64_t>(uncachedTokens, 1));
  const auto prompt = static_cast<double>(promptTokens);
  const double millionPairs = uncached * std::max(prompt - uncached / 2, uncached / 2) * 1e-6;
  return fromMillis(uncached / kPrefillTokensPerMilli +
                    millionPairs * kAttentionMillisPerMillionPairs);
}

Duration stepTime(double running, double context)
{
  return fromMillis(kStepMillis + running * kStepMillisPerRequest +
                    context * 1e-3 * kStepMillisPerThousandTokens);
}

Duration TimeToFirstTokenModel::baseEstimate(const Input& input) const
{
  Duration result = prefillTime(input.uncachedTokens, input.promptTokens) + stepTime(input.load, 0);
  for (std::size_t i = 0; i <= priorityIndex(input.priority); ++i) {
    result += pendingPrefill_.at(i);
  }
  const double requestsAhead = input.load + 1 - input.slots;
  if (requestsAhead > 0) {
    const auto microsPerRequest = static_cast<double>(input.serviceTime.count()) / input.slots;
    result += Duration(static_cast<std::int64_t>(requestsAhead * microsPerRequest));
  }
  if (input.speed != 1) {
    result = Duration(static_cast<std::int64_t>(static_cast<double>(result.count()) / input.speed));
  }
  return result;
}

Duration TimeToFirstTokenModel::predict(Time now, const Input& input) const
{
  return baseEstimate(input) + residual(now);
}

void TimeToFirstTokenModel::recordFirstToken(Time now, Duration baseTtft, Duration actual)
{
  const auto sampleMicros = static_cast<double>((actual - baseTtft).count());
  const auto previousMicros = static_cast<double>(residual(now).count());
  residual_ = Duration(static_cast<std::int64_t>(
    previousMicros + kResidualSmoothing * (sampleMicros - previousMicros)));
  residualUpdatedAt_ = now;
}

Duration TimeToFirstTokenModel::residual(Time now) const
{
  const auto ageMicros = static_cast<double>((now - residualUpdatedAt_).count());
  const auto residualMicros = static_cast<double>(std::max(residual_, Duration(0)).count());
  return Duration(
    static_cast<std::int64_t>(residualMicros * std::exp(-ageMicros / kResidualDecayMicros)));
}

} // namespace figchute::dispatch
