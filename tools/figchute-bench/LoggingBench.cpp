#include "LoggingBench.h"

#include "router/LogWriter.h"

#include <array>
#include <ctime>
#include <fmt/format.h>
#include <string>
#include <unistd.h>

namespace figchute::bench {
namespace {

using router::LogWriter;

constexpr int kRounds = 5000;
/** The lines of a round fit the 64 KiB of a pipe. */
constexpr int kLinesPerRound = 100;
/** Request rate for which the share of a core is given. */
constexpr double kRequestsPerSecond = 100;
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

std::int64_t processorNanos()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::int64_t>(time.tv_sec) * kNanosPerSecond + time.tv_nsec;
}

// Builds the values as Exchange does, with fields of the usual lengths.
void writeRequestLine(LogWriter& log, std::int64_t number)
{
  log.line(Time{ 1'700'000'000'000'000 + number },
           "request",
           { { "request", "5f9e5b8fb2a00616" },
             { "route", "r-2xzxwhg" },
             { "workspace", "lese336" },
             { "service", "engines-large" },
             { "endpoint", "i-90068194c9" },
             { "outcome", "answered" },
             { "status", std::to_string(200) },
             { "sends", std::to_string(1) },
             { "first_byte_ms", std::to_string(100 + number % 900) },
             { "total_ms", std::to_string(1000 + number % 900) },
             { "pause_ms", std::to_string(number % 500) },
             { "limit_ms", std::to_string(2835) },
             { "prompt", std::to_string(1555 + number % 5000) },
             { "output", std::to_string(number % 384) },
             { "bytes", std::to_string(number % 100'000) },
             { "configuration", std::to_string(71) },
             { "registry", std::to_string(35) },
             { "detail", "" } });
}

/** A pipe that is emptied by hand. */
struct Pipe
{
  Pipe() { isOpen = ::pipe(ends.data()) == 0; }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe()
  {
    if (isOpen) {
      ::close(ends[0]);
      ::close(ends[1]);
    }
  }

  std::array<int, 2> ends{ -1, -1 };
  bool isOpen = false;
};

} // namespace

Expected<void> runLoggingBench(std::ostream& out)
{
  const Pipe pipe;
  if (!pipe.isOpen) {
    return fail(ErrorKind::internal, "no pipe can be made");
  }
  LogWriter log(pipe.ends[1], "edge-montevideo-4");
  std::string buffer(1U << 17U, '\0');
  std::int64_t formatting = 0;
  std::int64_t whole = 0;
  std::int64_t bytes = 0;
  // The clock is read once for a round of lines, because reading it costs as much as a line.
  for (int round = 0; round < kRounds; ++round) {
    const auto begin = processorNanos();
    for (int i = 0; i < kLinesPerRound; ++i) {
      writeRequestLine(log, round * kLinesPerRound + i);
    }
    formatting += processorNanos() - begin;
    log.flush();
    bytes += ::read(pipe.ends[0], buffer.data(), buffer.size());
    const auto beginWhole = processorNanos();
    for (int i = 0; i < kLinesPerRound; ++i) {
      writeRequestLine(log, round * kLinesPerRound + i);
      log.flush();
    }
    whole += processorNanos() - beginWhole;
    static_cast<void>(::read(pipe.ends[0], buffer.data(), buffer.size()));
  }
  constexpr double kLines = static_cast<double>(kRounds) * kLinesPerRound;
  const auto perLine = static_cast<double>(whole) / kLines;
  out << fmt::format("log_line_formatting\t{:.0f}\tns\n", static_cast<double>(formatting) / kLines);
  out << fmt::format("log_line_formatting_and_write\t{:.0f}\tns\n", perLine);
  out << fmt::format("log_line_size\t{:.0f}\tbytes\n", static_cast<double>(bytes) / kLines);
  out << fmt::format("log_lines_dropped\t{}\tlines\n", log.dropped());
  out << fmt::format("log_core_at_100_requests_per_second\t{:.4f}\tpercent\n",
                     perLine * kRequestsPerSecond / static_cast<double>(kNanosPerSecond) * 100);
  out << fmt::format("log_bytes_at_100_requests_per_second\t{:.0f}\tbytes/s\n",
                     static_cast<double>(bytes) / kLines * kRequestsPerSecond);
  return {};
}

} // namespace figchute::bench
