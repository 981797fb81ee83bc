#pragma once

#include "core/Types.h"

#include <cmath>

namespace figchute::routing {

/** A sum with exponential decay: a term has decayed to 1/e of its value after one time constant.
    Thread safety: use one instance from one thread at a time. */
class DecayedSum
{
public:
  /** Creates an empty sum.
      @param timeConstant  the time constant, above 0 */
  explicit DecayedSum(Duration timeConstant)
    : timeConstant_(static_cast<double>(timeConstant.count()))
  {
  }

  /** Adds a term. The time must not be before that of an earlier term. */
  void add(Time now, double amount)
  {
    value_ = at(now) + amount;
    lastTermTime_ = now;
  }

  /** Returns the sum at a time that is not before the last term. */
  [[nodiscard]] double at(Time now) const
  {
    return value_ * std::exp(-static_cast<double>((now - lastTermTime_).count()) / timeConstant_);
  }

  /** Returns the rate of the terms per second, averaged over about one time constant. */
  [[nodiscard]] double perSecond(Time now) const { return at(now) / (timeConstant_ * 1e-6); }

private:
  double timeConstant_;
  double value_ = 0;
  Time lastTermTime_;
};

} // namespace figchute::routing
