#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figchute::load {

/** What the streams of one run measured. */
struct Results
{
  using Milliseconds = std::chrono::duration<double, std::milli>;

  std::uint64_t completed = 0;
  std::uint64_t tokens = 0;
  std::vector<double> firstTokenMs;
  std::vector<double> gapMs;
  /** Requests that failed, by error kind. */
  std::map<std::string, std::uint64_t> errors;

  /** Returns the value below which the given share of @p values lies; 0 when there are none. */
  static double quantile(std::vector<double> values, double share);

  /** Prints one row `metric TAB value TAB unit` for each figure. */
  void print(Milliseconds elapsed) const;

  /** Prints the figures of streams that were opened at once.
      @param open  the streams that were open at the end */
  void printHeld(std::uint64_t open) const;
};

} // namespace figchute::load
