#pragma once

#include <cstdint>
#include <random>

namespace figchute {

/** A seeded random number generator whose output is the same on every platform.
    Thread safety: use one instance from one thread only. */
class Random
{
public:
  /** Creates a generator; the same @p seed always gives the same sequence. */
  explicit Random(std::uint64_t seed)
    : engine_(seed)
  {
  }

  /** Returns 64 random bits. */
  std::uint64_t next() { return engine_(); }

  /** Returns a number in [0, bound).
      Precondition: @p bound is not 0. The modulo bias is below 2^-32 for bounds under 2^32. */
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }

  /** Returns a number in [low, high], both included.
      Precondition: @p low is not greater than @p high. */
  std::int64_t between(std::int64_t low, std::int64_t high)
  {
    const auto width = static_cast<std::uint64_t>(high - low) + 1;
    return low + static_cast<std::int64_t>(below(width));
  }

  /** Returns a number in [0, 1). */
  double unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }

  /** Returns true with the given probability in [0, 1]. */
  bool chance(double probability) { return unit() < probability; }

private:
  std::mt19937_64 engine_;
};

} // namespace figchute
