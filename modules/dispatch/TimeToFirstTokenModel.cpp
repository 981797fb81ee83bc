#include "dispatch/TimeToFirstTokenModel.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

constexpr double kTokensPerMilli = 61;
constexpr double kAttentionMillisPerMillionPairs = 0.324;
constexpr double kStepMillis = 3.37;
constexpr double kStepMillisPerRequest = 0.011;
constexpr double kStepMillisPerThousandTokens = 0.0034;

constexpr double kSmoothing = 0.3;
/** Queues of other processes change within seconds. */
constexpr double kExcessMemoryMicros = 3e6;

Duration fromMillis(double millis)
{
  return Duration(static_cast<std::int64_t>(millis * 1000));
}

} // namespace

Duration prefillTime(std::int64_t newTokens, std::int64_t promptTokens)
{
  const auto read = static_cast<double>(std::max<std::int64_t>(newTokens, 1));
  const auto all = static_cast<double>(promptTokens);
  const double millionPairs = read * std::max(all - read / 2, read / 2) * 1e-6;
  return fromMillis(read / kTokensPerMilli + millionPairs * kAttentionMillisPerMillionPairs);
}

Duration stepTime(double running, double context)
{
  return fromMillis(kStepMillis + running * kStepMillisPerRequest +
                    context * 1e-3 * kStepMillisPerThousandTokens);
}

Duration TimeToFirstTokenModel::base(const Input& input) const
{
  Duration result = prefillTime(input.newTokens, input.promptTokens) + stepTime(input.load, 0);
  for (std::size_t i = 0; i <= priorityIndex(input.priority); ++i) {
    result += pending_.at(i);
  }
  const double beyond = input.load + 1 - input.slots;
  if (beyond > 0) {
    const auto perSlot = static_cast<double>(input.serviceTime.count()) / input.slots;
    result += Duration(static_cast<std::int64_t>(beyond * perSlot));
  }
  return result;
}

Duration TimeToFirstTokenModel::predict(Time now, const Input& input) const
{
  return base(input) + excess(now);
}

void TimeToFirstTokenModel::observe(Time now, Duration expected, Duration actual)
{
  const auto sample = static_cast<double>((actual - expected).count());
  const auto before = static_cast<double>(excess(now).count());
  excess_ = Duration(static_cast<std::int64_t>(before + kSmoothing * (sample - before)));
  observedAt_ = now;
}

Duration TimeToFirstTokenModel::excess(Time now) const
{
  const auto age = static_cast<double>((now - observedAt_).count());
  const auto micros = static_cast<double>(std::max(excess_, Duration(0)).count());
  return Duration(static_cast<std::int64_t>(micros * std::exp(-age / kExcessMemoryMicros)));
}

} // namespace figchute::dispatch
