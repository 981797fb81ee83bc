#include "Results.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <string_view>

namespace figchute::load {
namespace {

void row(std::string_view metric, double value, std::string_view unit)
{
  std::cout << fmt::format("{}\t{:.3f}\t{}\n", metric, value, unit);
}

} // namespace

double Results::quantile(std::vector<double> values, double share)
{
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  const auto place = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

void Results::print(Milliseconds elapsed) const
{
  const auto seconds = elapsed.count() / 1000;
  row("completed", static_cast<double>(completed), "requests");
  row("elapsed", seconds, "s");
  row("rate", static_cast<double>(completed) / seconds, "requests/s");
  row("token_rate", static_cast<double>(tokens) / seconds, "tokens/s");
  row("ttft_p50", quantile(firstTokenMs, 0.5), "ms");
  row("ttft_p95", quantile(firstTokenMs, 0.95), "ms");
  row("gap_p50", quantile(gapMs, 0.5), "ms");
  row("gap_p95", quantile(gapMs, 0.95), "ms");
  for (const auto& [kind, count] : errors) {
    row("error:" + kind, static_cast<double>(count), "requests");
  }
}

void Results::printHeld(std::uint64_t open) const
{
  row("streams_answered", static_cast<double>(firstTokenMs.size()), "streams");
  row("streams_open_at_end", static_cast<double>(open), "streams");
  row("first_byte_p50", quantile(firstTokenMs, 0.5), "ms");
  row("first_byte_last", quantile(firstTokenMs, 1), "ms");
  row("gap_p50", quantile(gapMs, 0.5), "ms");
  row("gap_p95", quantile(gapMs, 0.95), "ms");
  for (const auto& [kind, count] : errors) {
    row("error:" + kind, static_cast<double>(count), "requests");
  }
}

} // namespace figchute::load
