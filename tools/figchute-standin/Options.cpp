#include "Options.h"

#include <array>
#include <charconv>
#include <iostream>
#include <popt.h>
#include <string_view>

namespace figchute::standin {
namespace {

std::vector<std::string> splitList(std::string_view text)
{
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto commaPosition = text.find(',');
    if (commaPosition != 0) {
      parts.emplace_back(text.substr(0, commaPosition));
    }
    text =
      commaPosition == std::string_view::npos ? std::string_view{} : text.substr(commaPosition + 1);
  }
  return parts;
}

std::optional<Address> parseAddress(std::string_view text)
{
  const auto colonPosition = text.rfind(':');
  if (colonPosition == std::string_view::npos) {
    return std::nullopt;
  }
  Address address{ std::string(text.substr(0, colonPosition)), 0 };
  const auto digits = text.substr(colonPosition + 1);
  const auto* digitsEnd = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), digitsEnd, address.port);
  if (error != std::errc{} || end != digitsEnd) {
    return std::nullopt;
  }
  return address;
}

/** The variables that popt writes option values to. */
struct RawOptions
{
  char* id = nullptr;
  char* listen = nullptr;
  char* zone = nullptr;
  char* kind = nullptr;
  char* models = nullptr;
  char* service = nullptr;
  char* announce = nullptr;
  char* key = nullptr;
  double rate = 100;
  int firstTokenMs = 20;
  int answerTokens = 64;
  int slots = 64;
  int reportLagMs = 0;
  int checksFencing = 0;
  char* crashOnPrompt = nullptr;
  int stopAfter = 0;
};

bool parseRawOptions(int argc, const char** argv, RawOptions& raw)
{
  const std::array<poptOption, 18> table{
    { { "id", 0, POPT_ARG_STRING, &raw.id, 0, "endpoint id", "ID" },
      { "listen",
        0,
        POPT_ARG_STRING,
        &raw.listen,
        0,
        "listen address; port 0 selects a free port",
        "IP:PORT" },
      { "zone", 0, POPT_ARG_STRING, &raw.zone, 0, "availability zone", "ZONE" },
      { "kind", 0, POPT_ARG_STRING, &raw.kind, 0, "model or plain", "KIND" },
      { "models", 0, POPT_ARG_STRING, &raw.models, 0, "models, separated by commas", "LIST" },
      { "service", 0, POPT_ARG_STRING, &raw.service, 0, "service of a plain endpoint", "NAME" },
      { "announce", 0, POPT_ARG_STRING, &raw.announce, 0, "admin addresses of entry VMs", "LIST" },
      { "endpoint-key", 0, POPT_ARG_STRING, &raw.key, 0, "bearer key of announcements", "KEY" },
      { "rate", 0, POPT_ARG_DOUBLE, &raw.rate, 0, "tokens/s of a stream, 0 = no pauses", "N" },
      { "first-token-ms", 0, POPT_ARG_INT, &raw.firstTokenMs, 0, "delay of the first token", "MS" },
      { "answer-tokens",
        0,
        POPT_ARG_INT,
        &raw.answerTokens,
        0,
        "length of a response in tokens",
        "N" },
      { "slots", 0, POPT_ARG_INT, &raw.slots, 0, "concurrent streams", "N" },
      { "report-lag-ms", 0, POPT_ARG_INT, &raw.reportLagMs, 0, "age of the reported load", "MS" },
      { "checks-fencing",
        0,
        POPT_ARG_NONE,
        &raw.checksFencing,
        0,
        "reject outdated orders",
        nullptr },
      { "crash-on-prompt",
        0,
        POPT_ARG_STRING,
        &raw.crashOnPrompt,
        0,
        "crash if a request contains TEXT",
        "TEXT" },
      { "stop-after", 0, POPT_ARG_INT, &raw.stopAfter, 0, "exit after this time", "SECONDS" },
      POPT_AUTOHELP POPT_TABLEEND }
  };
  auto* context = poptGetContext("figchute-standin", argc, argv, table.data(), 0);
  const int code = poptGetNextOpt(context);
  bool isValid = code == -1;
  if (!isValid) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(code) << '\n';
  } else if (poptPeekArg(context) != nullptr) {
    std::cerr << "unexpected argument: " << poptPeekArg(context) << '\n';
    isValid = false;
  }
  poptFreeContext(context);
  return isValid;
}

void assignIfSet(std::string& target, const char* value)
{
  if (value != nullptr) {
    target = value;
  }
}

} // namespace

std::optional<Options> parseOptions(int argc, const char** argv)
{
  RawOptions raw;
  if (!parseRawOptions(argc, argv, raw)) {
    return std::nullopt;
  }
  Options options;
  assignIfSet(options.id, raw.id);
  assignIfSet(options.zone, raw.zone);
  assignIfSet(options.kind, raw.kind);
  assignIfSet(options.service, raw.service);
  assignIfSet(options.endpointKey, raw.key);
  assignIfSet(options.crashOnPrompt, raw.crashOnPrompt);
  if (raw.models != nullptr) {
    options.models = splitList(raw.models);
  }
  if (raw.listen != nullptr) {
    const auto address = parseAddress(raw.listen);
    if (!address) {
      std::cerr << "--listen: \"" << raw.listen << "\" is not IP:PORT\n";
      return std::nullopt;
    }
    options.listen = *address;
  }
  for (const auto& text : splitList(raw.announce == nullptr ? "" : raw.announce)) {
    const auto address = parseAddress(text);
    if (!address) {
      std::cerr << "--announce: \"" << text << "\" is not IP:PORT\n";
      return std::nullopt;
    }
    options.announceTo.push_back(*address);
  }
  if (options.kind != "model" && options.kind != "plain") {
    std::cerr << "--kind: \"" << options.kind << "\" is neither model nor plain\n";
    return std::nullopt;
  }
  if (raw.rate < 0 || raw.firstTokenMs < 0 || raw.answerTokens < 1 || raw.slots < 1 ||
      raw.reportLagMs < 0 || raw.stopAfter < 0) {
    std::cerr << "numbers must not be negative; --answer-tokens and --slots must be at least 1\n";
    return std::nullopt;
  }
  options.tokensPerSecond = raw.rate;
  options.firstTokenDelay = std::chrono::milliseconds(raw.firstTokenMs);
  options.answerTokens = raw.answerTokens;
  options.slots = raw.slots;
  options.reportLag = std::chrono::milliseconds(raw.reportLagMs);
  options.checksFencing = raw.checksFencing != 0;
  options.stopAfter = std::chrono::seconds(raw.stopAfter);
  return options;
}

} // namespace figchute::standin
