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
/** The lines of one round fit into the 64 KiB buffer of a pipe. */
constexpr int kLinesPerRound = 100;
/** The request rate for which the processor usage is reported. */
constexpr double kRequestsPerSecond = 100;
constexpr std::int64_t kNsPerSecond = 1'000'000'000;

std::int64_t threadCpuTimeNs()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::int64_t>(time.tv_sec) * kNsPerSecond + time.tv_nsec;
}

/** Writes a line with the same fields as those of Exchange, with values of typical lengths. */
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

/** A pipe that the benchmark reads explicitly. */
struct Pipe
{
  Pipe() { isOpen = ::pipe(descriptors.data()) == 0; }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe()
  {
    if (isOpen) {
      ::close(descriptors[0]);
      ::close(descriptors[1]);
    }
  }

  std::array<int, 2> descriptors{ -1, -1 };
  bool isOpen = false;
};

} // namespace

Expected<void> runLoggingBench(std::ostream& out)
{
  const Pipe pipe;
  if (!pipe.isOpen) {
    return fail(ErrorKind::internal, "cannot create a pipe");
  }
  LogWriter log(pipe.descriptors[1], "edge-montevideo-4");
  std::string buffer(1U << 17U, '\0');
  std::int64_t formattingNs = 0;
  std::int64_t formattingAndWriteNs = 0;
  std::int64_t readBytes = 0;
  // The clock is read once per round of lines, because reading it costs as much as one line.
  for (int round = 0; round < kRounds; ++round) {
    const auto beginFormatting = threadCpuTimeNs();
    for (int i = 0; i < kLinesPerRound; ++i) {
      writeRequestLine(log, round * kLinesPerRound + i);
    }
    formattingNs += threadCpuTimeNs() - beginFormatting;
    log.flush();
    readBytes += ::read(pipe.descriptors[0], buffer.data(), buffer.size());
    const auto beginWithWrite = threadCpuTimeNs();
    for (int i = 0; i < kLinesPerRound; ++i) {
      writeRequestLine(log, round * kLinesPerRound + i);
      log.flush();
    }
    formattingAndWriteNs += threadCpuTimeNs() - beginWithWrite;
    static_cast<void>(::read(pipe.descriptors[0], buffer.data(), buffer.size()));
  }
  constexpr double kLineCount = static_cast<double>(kRounds) * kLinesPerRound;
  const auto nsPerLine = static_cast<double>(formattingAndWriteNs) / kLineCount;
  out << fmt::format("log_line_formatting\t{:.0f}\tns\n",
                     static_cast<double>(formattingNs) / kLineCount);
  out << fmt::format("log_line_formatting_and_write\t{:.0f}\tns\n", nsPerLine);
  out << fmt::format("log_line_size\t{:.0f}\tbytes\n", static_cast<double>(readBytes) / kLineCount);
  out << fmt::format("log_lines_dropped\t{}\tlines\n", log.dropped());
  out << fmt::format("log_core_at_100_requests_per_second\t{:.4f}\tpercent\n",
                     nsPerLine * kRequestsPerSecond / static_cast<double>(kNsPerSecond) * 100);
  out << fmt::format("log_bytes_at_100_requests_per_second\t{:.0f}\tbytes/s\n",
                     static_cast<double>(readBytes) / kLineCount * kRequestsPerSecond);
  return {};
}

} // namespace figchute::bench
