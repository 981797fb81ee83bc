#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace figchute::load {

/** What the command line sets. */
struct Options
{
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  std::string key;
  std::string model = "test-model";
  int concurrency = 8;
  /** Requests in all; the load ends after these or after the duration. */
  int count = 100;
  std::chrono::seconds duration{ 60 };
  int maxTokens = 32;
  int promptBytes = 200;
  std::chrono::milliseconds timeout{ 30'000 };
  /** Streams to open at once and hold; 0 sends load instead. */
  int open = 0;
  std::chrono::seconds hold{ 5 };
};

/** Parses the command line; prints usage or the fault.
    @returns the options, or nothing when the program must end */
std::optional<Options> parseOptions(int argc, const char** argv);

} // namespace figchute::load
