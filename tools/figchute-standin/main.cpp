#include "Options.h"
#include "Standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <iostream>

/** Stand-in endpoint for tests and benchmarks: a model engine or a plain service. */
int main(int argc, const char** argv)
{
  const auto options = figchute::standin::parseOptions(argc, argv);
  if (!options) {
    return 1;
  }
  try {
    boost::asio::io_context io;
    figchute::standin::Standin standin(io, *options);
    const auto port = standin.start();
    std::cout << "listening " << options->listen.host << ':' << port << std::endl;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const auto&, int) { io.stop(); });
    boost::asio::steady_timer stopTimer(io);
    if (options->stopAfter.count() > 0) {
      stopTimer.expires_after(options->stopAfter);
      stopTimer.async_wait([&io](const auto&) { io.stop(); });
    }
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "figchute-standin: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
