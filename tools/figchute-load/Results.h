#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figchute::load {

/** Measurements of the streams of one run. */
struct Results
{
  using Milliseconds = std::chrono::duration<double, std::milli>;

  std::uint64_t completed = 0;
  std::uint64_t tokens = 0;
  std::vector<double> firstTokenMs;
  std::vector<double> gapMs;
  /** Number of failed requests by error kind. */
  std::map<std::string, std::uint64_t> errors;

  /** Returns the value below which the given fraction of @p values lies; 0 if there are none. */
  static double quantile(std::vector<double> values, double fraction);

  /** Prints one row `metric TAB value TAB unit` for each metric. */
  void print(Milliseconds elapsed) const;

  /** Prints the metrics of streams that were opened simultaneously.
      @param openStreams  the number of streams that were still open at the end */
  void printHeldStreams(std::uint64_t openStreams) const;
};

} // namespace figchute::load
