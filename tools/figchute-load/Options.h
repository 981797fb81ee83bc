#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace figchute::load {

/** Settings from the command line. */
struct Options
{
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string key;
  std::string model = "test-model";
  int concurrency = 8;
  /** Time over which the first requests are spread, because requests that start simultaneously
      delay each other. */
  std::chrono::milliseconds startSpread{ 0 };
  /** Total number of requests; the load ends after these or after the duration. */
  int requestCount = 100;
  std::chrono::seconds duration{ 60 };
  int maxTokens = 32;
  int promptBytes = 200;
  std::chrono::milliseconds timeout{ 30'000 };
  /** Number of streams to open simultaneously and hold; if 0, the program sends load instead. */
  int heldStreams = 0;
  std::chrono::seconds holdTime{ 5 };
};

/** Parses the command line; prints the usage or an error.
    @returns the options, or nullopt if the program must exit */
std::optional<Options> parseOptions(int argc, const char** argv);

} // namespace figchute::load
