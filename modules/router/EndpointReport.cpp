#include "router/EndpointReport.h"

#include "dispatch/EndpointRestrictions.h"
#include "ini/ini.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string>

namespace figchute::router {
namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::string_view kRetryAfter = "Retry-After";

/** Parses "running,waiting,slots". Later releases of endpoints may append figures, which are
    ignored. */
std::optional<dispatch::LoadReport> parseLoad(std::string_view text)
{
  std::array<int, 3> numbers{};
  const auto figures = ini::splitList(text);
  if (figures.size() < numbers.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    const std::string_view figure = figures[i];
    const auto* const end = figure.data() + figure.size();
    const auto [parsedEnd, error] = std::from_chars(figure.data(), end, numbers[i]);
    if (error != std::errc() || parsedEnd != end) {
      return std::nullopt;
    }
  }
  return dispatch::LoadReport{ numbers[0], numbers[1], numbers[2] };
}

/** Parses a decimal number of at least 0. */
std::optional<double> parseDecimal(std::string_view text)
{
  double number = 0;
  const auto* const end = text.data() + text.size();
  const auto [parsedEnd, error] =
    std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc() || parsedEnd != end || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

/** Parses a decimal number of milliseconds; longer times than a day are shortened to it. */
std::optional<Duration> parseMillis(std::string_view text)
{
  constexpr double kMaxMillis = 24.0 * 60 * 60 * 1000;
  const auto millis = parseDecimal(text);
  if (!millis) {
    return std::nullopt;
  }
  return Duration(static_cast<std::int64_t>(std::min(*millis, kMaxMillis) * 1000));
}

/** Parses a decimal number of seconds; longer times than the maximum back-off are shortened to it.
    The other format of Retry-After, a date, is not accepted, because clocks may differ. */
std::optional<Duration> parseBackoff(std::string_view text)
{
  constexpr std::chrono::duration<double> kMaxBackoff = dispatch::EndpointRestrictions::kMaxBackoff;
  const auto seconds = parseDecimal(text);
  if (!seconds) {
    return std::nullopt;
  }
  const std::chrono::duration<double> backoff(*seconds);
  return std::chrono::duration_cast<Duration>(std::min(backoff, kMaxBackoff));
}

/** Parses a field if it is present; notes it if its value cannot be parsed. */
template<typename Parse>
auto parseField(const http::Fields& fields,
                std::string_view name,
                Parse parse,
                std::vector<UnreadableField>& unreadableFields) -> decltype(parse(name))
{
  const auto* text = fields.find(name);
  if (text == nullptr) {
    return std::nullopt;
  }
  auto value = parse(*text);
  if (!value) {
    unreadableFields.push_back({ name, *text });
  }
  return value;
}

} // namespace

EndpointReport parseEndpointReport(const FieldNames& names, const http::ResponseHead& head)
{
  const auto& fields = head.fields;
  EndpointReport report;
  report.marked = fields.find(names.endpointAnswer) != nullptr;
  report.notExecuted = fields.find(names.notExecuted) != nullptr;
  report.leaving = fields.get(names.leaving) == "1";
  report.load = parseField(fields, names.load, parseLoad, report.unreadableFields);
  report.rateLimit = parseField(fields, names.rateLimit, parseDecimal, report.unreadableFields);
  report.brittle = parseField(fields, names.brittle, parseDecimal, report.unreadableFields);
  report.cold = parseField(fields, names.coldMs, parseMillis, report.unreadableFields);
  if (head.status == kServiceUnavailable) {
    report.backoff = parseField(fields, kRetryAfter, parseBackoff, report.unreadableFields);
  }
  return report;
}

} // namespace figchute::router
