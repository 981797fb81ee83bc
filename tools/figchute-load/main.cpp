#include "Options.h"
#include "Results.h"
#include "Stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

namespace figchute::load {
namespace {

using Clock = std::chrono::steady_clock;

/** Sends the given number of requests with the given concurrency. */
void sendLoad(const Options& options)
{
  boost::asio::io_context io(1);
  Results results;
  int startedCount = 0;
  const auto start = Clock::now();
  const auto deadline = start + options.duration;
  const auto requestSource = [&]() -> std::optional<int> {
    if (startedCount >= options.requestCount || Clock::now() >= deadline) {
      return std::nullopt;
    }
    return startedCount++;
  };
  for (int i = 0; i < options.concurrency; ++i) {
    const auto delay = options.startSpread * i / options.concurrency;
    std::make_shared<Stream>(io, options, results, requestSource)->start(delay);
  }
  io.run();
  results.print(Clock::now() - start);
}

/** Opens all streams simultaneously, holds them, and closes those that are still open. */
void holdStreams(const Options& options)
{
  boost::asio::io_context io(1);
  Results results;
  int startedCount = 0;
  const auto requestSource = [&]() -> std::optional<int> {
    return startedCount < options.heldStreams ? std::optional(startedCount++) : std::nullopt;
  };
  std::vector<std::shared_ptr<Stream>> streams;
  for (int i = 0; i < options.heldStreams; ++i) {
    streams.push_back(std::make_shared<Stream>(io, options, results, requestSource));
    streams.back()->start();
  }
  std::uint64_t openStreams = 0;
  boost::asio::steady_timer timer(io, options.holdTime);
  timer.async_wait([&](const auto&) {
    for (const auto& stream : streams) {
      openStreams += stream->isReceiving() ? 1 : 0;
      stream->stop();
    }
  });
  io.run();
  results.printHeldStreams(openStreams);
}

} // namespace
} // namespace figchute::load

/** Sends streamed chat requests to a loopback address and prints the measurements. */
int main(int argc, const char** argv)
{
  const auto options = figchute::load::parseOptions(argc, argv);
  if (!options) {
    return 1;
  }
  try {
    options->heldStreams > 0 ? figchute::load::holdStreams(*options)
                             : figchute::load::sendLoad(*options);
  } catch (const std::exception& error) {
    std::cerr << "figchute-load: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
