#include "Options.h"

#include <charconv>
#include <iostream>
#include <popt.h>
#include <string_view>

namespace figchute::load {
namespace {

/** Bounds that keep a mistyped command from flooding the machine. */
constexpr int kMaxConnections = 4096;
constexpr int kMaxCount = 1'000'000;
constexpr int kMaxSeconds = 600;

struct RawOptions
{
  char* target = nullptr;
  char* key = nullptr;
  char* model = nullptr;
  int concurrency = 8;
  int count = 100;
  int duration = 60;
  int maxTokens = 32;
  int promptBytes = 200;
  int timeoutMs = 30'000;
  int open = 0;
  int hold = 5;
};

bool parseRaw(int argc, const char** argv, RawOptions& raw)
{
  const poptOption table[] = {
    { "target", 0, POPT_ARG_STRING, &raw.target, 0, "address to load", "IP:PORT" },
    { "key", 0, POPT_ARG_STRING, &raw.key, 0, "bearer key of the caller", "KEY" },
    { "model", 0, POPT_ARG_STRING, &raw.model, 0, "model to ask for", "NAME" },
    { "concurrency", 0, POPT_ARG_INT, &raw.concurrency, 0, "requests at one time", "N" },
    { "count", 0, POPT_ARG_INT, &raw.count, 0, "requests in all", "N" },
    { "duration", 0, POPT_ARG_INT, &raw.duration, 0, "longest time", "SECONDS" },
    { "max-tokens", 0, POPT_ARG_INT, &raw.maxTokens, 0, "tokens of an answer", "N" },
    { "prompt-bytes", 0, POPT_ARG_INT, &raw.promptBytes, 0, "bytes of a prompt", "N" },
    { "timeout-ms", 0, POPT_ARG_INT, &raw.timeoutMs, 0, "longest time without a byte", "MS" },
    { "open", 0, POPT_ARG_INT, &raw.open, 0, "streams to open at once and hold", "N" },
    { "hold", 0, POPT_ARG_INT, &raw.hold, 0, "time to hold them", "SECONDS" },
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

bool isWithin(int value, int low, int high, std::string_view name)
{
  if (value >= low && value <= high) {
    return true;
  }
  std::cerr << name << ": " << value << " is not from " << low << " to " << high << '\n';
  return false;
}

bool readTarget(const char* text, Options& options)
{
  const std::string_view target = text == nullptr ? "" : text;
  const auto colon = target.rfind(':');
  const auto digits = colon == std::string_view::npos ? "" : target.substr(colon + 1);
  const auto* last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, options.port);
  options.host = target.substr(0, colon);
  if (error == std::errc{} && end == last && options.host.starts_with("127.")) {
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
  if (!parseRaw(argc, argv, raw) || !readTarget(raw.target, options)) {
    return std::nullopt;
  }
  const bool good = isWithin(raw.concurrency, 1, kMaxConnections, "--concurrency") &&
                    isWithin(raw.count, 1, kMaxCount, "--count") &&
                    isWithin(raw.duration, 1, kMaxSeconds, "--duration") &&
                    isWithin(raw.maxTokens, 1, kMaxCount, "--max-tokens") &&
                    isWithin(raw.promptBytes, 1, kMaxCount, "--prompt-bytes") &&
                    isWithin(raw.timeoutMs, 1, kMaxSeconds * 1000, "--timeout-ms") &&
                    isWithin(raw.open, 0, kMaxConnections, "--open") &&
                    isWithin(raw.hold, 0, kMaxSeconds, "--hold");
  if (!good) {
    return std::nullopt;
  }
  options.key = raw.key == nullptr ? "" : raw.key;
  options.model = raw.model == nullptr ? options.model : raw.model;
  options.concurrency = raw.concurrency;
  options.count = raw.count;
  options.duration = std::chrono::seconds(raw.duration);
  options.maxTokens = raw.maxTokens;
  options.promptBytes = raw.promptBytes;
  options.timeout = std::chrono::milliseconds(raw.timeoutMs);
  options.open = raw.open;
  options.hold = std::chrono::seconds(raw.hold);
  return options;
}

} // namespace figchute::load
