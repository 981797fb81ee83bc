#include "dispatch/EngineSpeed.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** Tokens of one sample. A process reads several events at once when its link is busy, so single
    gaps between events are too short or too long. */
constexpr std::int64_t kWindowTokens = 24;
/** Share of the samples below the estimate. The engines of a busy fleet prefill prompts in more
    than half of the windows. */
constexpr double kQuantile = 0.15;
/** Part of the estimate by which samples move it. The first samples move it further. */
constexpr double kStep = 0.05;
constexpr std::uint32_t kMinSamples = 8;

} // namespace

double TokenWindow::add(Duration sinceLast, std::int64_t tokens)
{
  time_ += sinceLast;
  tokens_ += tokens;
  if (tokens_ < kWindowTokens) {
    return 0;
  }
  const double result = static_cast<double>(time_.count()) / static_cast<double>(tokens_);
  *this = TokenWindow();
  return result;
}

void EngineSpeed::add(double microsPerToken)
{
  if (microsPerToken <= 0) {
    return;
  }
  ++samples_;
  if (samples_ <= kMinSamples) {
    quantile_ = samples_ == 1 ? microsPerToken : std::min(quantile_, microsPerToken);
    return;
  }
  quantile_ *= microsPerToken < quantile_ ? 1 - kStep * (1 - kQuantile) : 1 + kStep * kQuantile;
}

double EngineSpeed::microsPerToken() const
{
  return samples_ < kMinSamples ? 0 : quantile_;
}

} // namespace figchute::dispatch
