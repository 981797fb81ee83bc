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

/** Sends the given count of requests with the given concurrency. */
void sendLoad(const Options& options)
{
  boost::asio::io_context io(1);
  Results results;
  int sent = 0;
  const auto start = Clock::now();
  const auto end = start + options.duration;
  const auto source = [&]() -> std::optional<int> {
    if (sent >= options.count || Clock::now() >= end) {
      return std::nullopt;
    }
    return sent++;
  };
  for (int i = 0; i < options.concurrency; ++i) {
    std::make_shared<Stream>(io, options, results, source)->start();
  }
  io.run();
  results.print(Clock::now() - start);
}

/** Opens all streams at once, holds them, and closes those that are still open. */
void holdStreams(const Options& options)
{
  boost::asio::io_context io(1);
  Results results;
  int sent = 0;
  const auto source = [&]() -> std::optional<int> {
    return sent < options.open ? std::optional(sent++) : std::nullopt;
  };
  std::vector<std::shared_ptr<Stream>> streams;
  for (int i = 0; i < options.open; ++i) {
    streams.push_back(std::make_shared<Stream>(io, options, results, source));
    streams.back()->start();
  }
  std::uint64_t open = 0;
  boost::asio::steady_timer timer(io, options.hold);
  timer.async_wait([&](const auto&) {
    for (const auto& stream : streams) {
      open += stream->isReceiving() ? 1 : 0;
      stream->stop();
    }
  });
  io.run();
  results.printHeld(open);
}

} // namespace
} // namespace figchute::load

/** Sends streamed chat requests to a loopback address and prints what it measured. */
int main(int argc, const char** argv)
{
  const auto options = figchute::load::parseOptions(argc, argv);
  if (!options) {
    return 1;
  }
  try {
    options->open > 0 ? figchute::load::holdStreams(*options) : figchute::load::sendLoad(*options);
  } catch (const std::exception& error) {
    std::cerr << "figchute-load: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
