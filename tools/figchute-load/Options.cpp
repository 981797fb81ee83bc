#include "Options.h"

#include <charconv>
#include <iostream>
#include <popt.h>
#include <string_view>

namespace figchute::load {
namespace {

/** Limits that prevent a mistyped command from overloading the machine. */
constexpr int kMaxConnections = 4096;
constexpr int kMaxCount = 1'000'000;
constexpr int kMaxDurationSeconds = 600;

struct RawOptions
{
  char* target = nullptr;
  char* key = nullptr;
  char* model = nullptr;
  int concurrency = 8;
  int spreadMs = 0;
  int count = 100;
  int duration = 60;
  int maxTokens = 32;
  int promptBytes = 200;
  int timeoutMs = 30'000;
  int open = 0;
  int hold = 5;
};

bool parseRawOptions(int argc, const char** argv, RawOptions& raw)
{
  const poptOption table[] = {
    { "target", 0, POPT_ARG_STRING, &raw.target, 0, "target address", "IP:PORT" },
    { "key", 0, POPT_ARG_STRING, &raw.key, 0, "bearer key of the caller", "KEY" },
    { "model", 0, POPT_ARG_STRING, &raw.model, 0, "model to request", "NAME" },
    { "concurrency", 0, POPT_ARG_INT, &raw.concurrency, 0, "concurrent requests", "N" },
    { "spread-ms",
      0,
      POPT_ARG_INT,
      &raw.spreadMs,
      0,
      "time over which to spread the first requests",
      "MS" },
    { "count", 0, POPT_ARG_INT, &raw.count, 0, "total number of requests", "N" },
    { "duration", 0, POPT_ARG_INT, &raw.duration, 0, "maximum duration of the load", "SECONDS" },
    { "max-tokens", 0, POPT_ARG_INT, &raw.maxTokens, 0, "maximum tokens of a response", "N" },
    { "prompt-bytes", 0, POPT_ARG_INT, &raw.promptBytes, 0, "size of a prompt in bytes", "N" },
    { "timeout-ms", 0, POPT_ARG_INT, &raw.timeoutMs, 0, "maximum time without a byte", "MS" },
    { "open", 0, POPT_ARG_INT, &raw.open, 0, "streams to open simultaneously and hold", "N" },
    { "hold", 0, POPT_ARG_INT, &raw.hold, 0, "time to hold the streams", "SECONDS" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext("figchute-load", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  if (code != -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(code) << '\n';
  }
  poptFreeContext(context);
  return code == -1;
}

bool isInRange(int value, int minimum, int maximum, std::string_view name)
{
  if (value >= minimum && value <= maximum) {
    return true;
  }
  std::cerr << name << ": " << value << " is not in the range " << minimum << " to " << maximum
            << '\n';
  return false;
}

bool parseTarget(const char* text, Options& options)
{
  const std::string_view target = text == nullptr ? "" : text;
  const auto colonPosition = target.rfind(':');
  const auto digits =
    colonPosition == std::string_view::npos ? "" : target.substr(colonPosition + 1);
  const auto* digitsEnd = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), digitsEnd, options.port);
  options.host = target.substr(0, colonPosition);
  if (error == std::errc{} && end == digitsEnd && options.host.starts_with("127.")) {
    return true;
  }
  std::cerr << "--target: \"" << target << "\" is not a loopback IP:PORT\n";
  return false;
}

} // namespace

std::optional<Options> parseOptions(int argc, const char** argv)
{
  RawOptions raw;
  Options options;
  if (!parseRawOptions(argc, argv, raw) || !parseTarget(raw.target, options)) {
    return std::nullopt;
  }
  const bool isValid = isInRange(raw.concurrency, 1, kMaxConnections, "--concurrency") &&
                       isInRange(raw.spreadMs, 0, kMaxDurationSeconds * 1000, "--spread-ms") &&
                       isInRange(raw.count, 1, kMaxCount, "--count") &&
                       isInRange(raw.duration, 1, kMaxDurationSeconds, "--duration") &&
                       isInRange(raw.maxTokens, 1, kMaxCount, "--max-tokens") &&
                       isInRange(raw.promptBytes, 1, kMaxCount, "--prompt-bytes") &&
                       isInRange(raw.timeoutMs, 1, kMaxDurationSeconds * 1000, "--timeout-ms") &&
                       isInRange(raw.open, 0, kMaxConnections, "--open") &&
                       isInRange(raw.hold, 0, kMaxDurationSeconds, "--hold");
  if (!isValid) {
    return std::nullopt;
  }
  options.key = raw.key == nullptr ? "" : raw.key;
  options.model = raw.model == nullptr ? options.model : raw.model;
  options.concurrency = raw.concurrency;
  options.startSpread = std::chrono::milliseconds(raw.spreadMs);
  options.requestCount = raw.count;
  options.duration = std::chrono::seconds(raw.duration);
  options.maxTokens = raw.maxTokens;
  options.promptBytes = raw.promptBytes;
  options.timeout = std::chrono::milliseconds(raw.timeoutMs);
  options.heldStreams = raw.open;
  options.holdTime = std::chrono::seconds(raw.hold);
  return options;
}

} // namespace figchute::load
