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

/** What the command line sets. */
struct Options
{
  std::string id = "standin";
  Address listen{ "127.0.0.1", 0 };
  std::string zone = "z1";
  /** "model" or "plain". */
  std::string kind = "model";
  std::vector<std::string> models{ "test-model" };
  std::string service = "service";
  /** Admin addresses of entry VMs that get announcements. */
  std::vector<Address> announceTo;
  std::string endpointKey;
  /** Tokens per second of each stream; 0 sends without pauses. */
  double tokensPerSecond = 100;
  std::chrono::milliseconds firstToken{ 20 };
  /** Length of an answer that `max_tokens` does not cut. */
  int answerTokens = 64;
  int slots = 64;
  std::chrono::milliseconds reportLag{ 0 };
  bool checksFencing = false;
  std::string crashOnPrompt;
  /** Ends the process after this time; 0 never does. */
  std::chrono::seconds stopAfter{ 0 };
};

/** Parses the command line; prints usage or the fault.
    @returns the options, or nothing when the program must end */
std::optional<Options> parseOptions(int argc, const char** argv);

} // namespace figchute::standin
