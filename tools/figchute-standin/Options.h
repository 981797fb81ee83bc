#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figchute::standin {

/** An IP address with a port. */
struct Address
{
  std::string host;
  std::uint16_t port = 0;
};

/** Settings from the command line. */
struct Options
{
  std::string id = "standin";
  Address listen{ "127.0.0.1", 0 };
  std::string zone = "z1";
  /** "model" or "plain". */
  std::string kind = "model";
  std::vector<std::string> models{ "test-model" };
  std::string service = "service";
  /** Admin addresses of the entry VMs that receive announcements. */
  std::vector<Address> announceTo;
  std::string endpointKey;
  /** Tokens per second of each stream; 0 sends without pauses. */
  double tokensPerSecond = 100;
  std::chrono::milliseconds firstTokenDelay{ 20 };
  /** Length in tokens of a response that `max_tokens` does not truncate. */
  int answerTokens = 64;
  int slots = 64;
  std::chrono::milliseconds reportLag{ 0 };
  bool checksFencing = false;
  std::string crashOnPrompt;
  /** The process exits after this time; if 0, it never does. */
  std::chrono::seconds stopAfter{ 0 };
};

/** Parses the command line; prints the usage or an error.
    @returns the options, or nullopt if the program must exit */
std::optional<Options> parseOptions(int argc, const char** argv);

} // namespace figchute::standin
