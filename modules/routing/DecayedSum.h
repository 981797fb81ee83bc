#pragma once

#include "core/Types.h"

#include <cmath>

namespace figchute::routing {

/** A sum whose terms lose weight with age: a term counts 1/e of its size after one time constant.
    Thread safety: use one instance from one thread at a time. */
class DecayedSum
{
public:
  /** Creates an empty sum.
      @param constant  the time constant, above 0 */
  explicit DecayedSum(Duration constant)
    : constant_(static_cast<double>(constant.count()))
  {
  }

  /** Adds a term at a time that is not before an earlier one. */
  void add(Time now, double amount)
  {
    value_ = at(now) + amount;
    last_ = now;
  }

  /** Returns the sum at a time that is not before the last term. */
  [[nodiscard]] double at(Time now) const
  {
    return value_ * std::exp(-static_cast<double>((now - last_).count()) / constant_);
  }

  /** Returns the terms per second over about one time constant. */
  [[nodiscard]] double perSecond(Time now) const { return at(now) / (constant_ * 1e-6); }

private:
  double constant_;
  double value_ = 0;
  Time last_;
};

} // namespace figchute::routing
