#include "Results.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <string_view>

namespace figchute::load {
namespace {

void printRow(std::string_view metric, double value, std::string_view unit)
{
  std::cout << fmt::format("{}\t{:.3f}\t{}\n", metric, value, unit);
}

} // namespace

double Results::quantile(std::vector<double> values, double fraction)
{
  if (values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  const auto quantileIt = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), quantileIt, values.end());
  return *quantileIt;
}

void Results::print(Milliseconds elapsed) const
{
  const auto seconds = elapsed.count() / 1000;
  printRow("completed", static_cast<double>(completed), "requests");
  printRow("elapsed", seconds, "s");
  printRow("rate", static_cast<double>(completed) / seconds, "requests/s");
  printRow("token_rate", static_cast<double>(tokens) / seconds, "tokens/s");
  printRow("ttft_p50", quantile(firstTokenMs, 0.5), "ms");
  printRow("ttft_p95", quantile(firstTokenMs, 0.95), "ms");
  printRow("gap_p50", quantile(gapMs, 0.5), "ms");
  printRow("gap_p95", quantile(gapMs, 0.95), "ms");
  for (const auto& [kind, count] : errors) {
    printRow("error:" + kind, static_cast<double>(count), "requests");
  }
}

void Results::printHeldStreams(std::uint64_t openStreams) const
{
  printRow("streams_answered", static_cast<double>(firstTokenMs.size()), "streams");
  printRow("streams_open_at_end", static_cast<double>(openStreams), "streams");
  printRow("first_byte_p50", quantile(firstTokenMs, 0.5), "ms");
  printRow("first_byte_last", quantile(firstTokenMs, 1), "ms");
  printRow("gap_p50", quantile(gapMs, 0.5), "ms");
  printRow("gap_p95", quantile(gapMs, 0.95), "ms");
  for (const auto& [kind, count] : errors) {
    printRow("error:" + kind, static_cast<double>(count), "requests");
  }
}

} // namespace figchute::load
