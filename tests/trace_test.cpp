#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "router/LogWriter.h"
#include "trace/trace.h"

#include <doctest/doctest.h>
#include <sstream>
#include <unistd.h>

using namespace figchute;
using namespace figchute::trace;

namespace {

struct TraceFixture
{
  RequestTrace trace{ "r1" };

  void add(std::initializer_list<std::string_view> lines)
  {
    for (const auto line : lines) {
      trace.add(line);
    }
  }

  // Returns the events in order, with those of the context in brackets.
  [[nodiscard]] std::string events() const
  {
    std::string text;
    for (const auto& [line, isContext] : trace.lines()) {
      text += (text.empty() ? "" : " ") + (isContext ? "[" + line.event + "]" : line.event);
    }
    return text;
  }
};

} // namespace

// Guards against a parser that does not restore values that the log writer quoted, or that changes
// values that it did not quote.
TEST_CASE("logLine_writtenByLogWriter_isReadBackUnchanged")
{
  int pipeEnds[2] = { -1, -1 };
  REQUIRE(::pipe(pipeEnds) == 0);
  router::LogWriter log(pipeEnds[1], "p");
  log.line(Time{ 1'500'000 },
           "event",
           { { "request", R"(a "b" \ c=d)" }, { "empty", "" }, { "plain", R"(x\y)" } });
  log.flush();
  std::string logText(1000, '\0');
  logText.resize(static_cast<std::size_t>(::read(pipeEnds[0], logText.data(), logText.size())));
  ::close(pipeEnds[0]);
  ::close(pipeEnds[1]);
  logText.pop_back();
  const auto line = parseLogLine("prefix time=now [x] " + logText);
  REQUIRE(line);
  CHECK(line->time == Time{ 1'500'000 });
  CHECK(line->process == "p");
  CHECK(line->text == logText);
  REQUIRE(line->fields.size() == 3);
  CHECK(*line->find("request") == R"(a "b" \ c=d)");
  CHECK(line->find("empty")->empty());
  CHECK(*line->find("plain") == R"(x\y)");
}

// Guards against accepting text that is not a log line, which would add wrong times to a trace.
TEST_CASE("logLine_malformed_isRejected")
{
  for (const auto* text : { "time=1.5 process=p",
                            "time=1.5 event=e process=p",
                            "time=1 process=p event=e",
                            "time=x.5 process=p event=e",
                            "time=-1.5 process=p event=e",
                            "time=1.5 process= event=e",
                            "time=1.5 process=p event=e detail=\"cut",
                            "time=1.5 process=p event=e detail=\"a\"b=c",
                            "time=1.5 process=p event=e word",
                            "time=99999999999999999999.5 process=p event=e",
                            "uptime=1.5 process=p event=e" }) {
    CHECK_MESSAGE(!parseLogLine(text), text);
  }
  CHECK(parseLogLine("uptime=1 time=1.5 process=p event=e\r"));
}

// Guards against unbounded memory use for a long line, and against losing the line after it.
TEST_CASE("lineReader_withLongLine_truncatesIt")
{
  std::istringstream in("a\n" + std::string(300'000, 'x') + "\n\nb");
  std::vector<std::pair<std::size_t, bool>> lines;
  CHECK(readLines(in, [&](std::string_view line, bool isTruncated) {
    lines.emplace_back(line.size(), isTruncated);
  }));
  const std::vector<std::pair<std::size_t, bool>> expected{
    { 1, false }, { kMaxLineBytes, true }, { 0, false }, { 1, false }
  };
  CHECK(lines == expected);
}

// Guards against lines of several processes out of time order, and against lines of a request whose
// id only contains the requested id.
TEST_CASE_FIXTURE(TraceFixture, "trace_ofTwoProcesses_isInTimeOrder")
{
  add({ "time=9.0 process=a event=request request=r1 endpoint=i1",
        "time=9.1 process=a event=request request=r11 endpoint=i1",
        "time=9.2 process=a event=request detail=\"request=r1\"",
        "time=7.0 process=b event=send_failed request=r1 endpoint=i2",
        "time=8.0 process=b event=request request=r1 endpoint=i1" });
  CHECK(events() == "send_failed request request");
  CHECK(trace.hasRequestLines());
  CHECK(trace.malformedLineCount() == 0);
}

// Guards against a context without the cause of an outcome, and against a context with state
// changes of other processes, other endpoints or other times.
TEST_CASE_FIXTURE(TraceFixture, "trace_withStateChanges_hasThoseOfItsProcessesAndEndpoints")
{
  add({ "time=3.999999 process=a event=control_lost control=\"\"",
        "time=4.0 process=a event=control control=c",
        "time=5.0 process=a event=endpoint_state detail=\"endpoint i1 is back\"",
        "time=5.1 process=a event=endpoint_state detail=\"endpoint i2 is back\"",
        "time=5.2 process=a event=endpoint_state detail=\"endpoint i3 is back\"",
        "time=5.3 process=a event=endpoint_state detail=\"endpoint i3 is out: broken\"",
        "time=5.4 process=a event=request request=r2",
        "time=5.5 process=a event=request request=r3 dropped_lines=4",
        "time=5.6 process=a event=send_failed request=r1 endpoint=i2",
        "time=5.7 process=a event=lines_dropped dropped_lines=4",
        "time=9.0 process=a event=request request=r1 endpoint=i1",
        "time=9.1 process=a event=stop",
        "time=6.0 process=b event=control_lost control=\"\"" });
  CHECK(events() == "[control] [endpoint_state] [endpoint_state] [endpoint_state] [request] "
                    "send_failed [lines_dropped] request");
}

// Guards against missing context of a request without an event=request line, because its process
// ended first.
TEST_CASE_FIXTURE(TraceFixture, "trace_withoutEnd_hasContextBeforeItsLastLine")
{
  add({ "time=1.0 process=a event=start role=entry",
        "time=5.0 process=a event=send_failed request=r1 endpoint=i1" });
  CHECK(events() == "[start] send_failed");
}

// Guards against wrong context when a request id is used again later: the context of both ends
// belongs to the trace, state changes between them do not.
TEST_CASE_FIXTURE(TraceFixture, "trace_ofIdUsedTwice_hasContextOfBothEnds")
{
  add({ "time=1.0 process=a event=start role=entry",
        "time=2.0 process=a event=request request=r1",
        "time=10.0 process=a event=control_lost control=\"\"",
        "time=30.0 process=a event=configuration version=2",
        "time=31.0 process=a event=request request=r1" });
  CHECK(events() == "[start] request [configuration] request");
}

// Guards against unbounded memory use for logs of any length or content.
TEST_CASE_FIXTURE(TraceFixture, "trace_withManyStateChanges_isBounded")
{
  const std::string detail(1000, 'x');
  for (int i = 0; i < 40'000; ++i) {
    trace.add("time=1.0 process=a event=control_lost detail=" + detail);
  }
  CHECK(trace.omittedLineCount() > 20'000);
  trace.add("time=2.0 process=a event=request request=r1");
  for (int i = 0; i < 40'000; ++i) {
    trace.add("time=1.0 process=p" + std::to_string(i) + " event=control_lost detail=" + detail);
  }
  const auto lines = trace.lines();
  CHECK(lines.size() > 10'000);
  CHECK(lines.size() < kMaxStoredBytes / detail.size());
}

// Guards against malformed lines that end a trace or are not counted.
TEST_CASE_FIXTURE(TraceFixture, "trace_withMalformedLines_countsThem")
{
  add({ "figchute-routerd: cannot listen", "", " ", "time=1.0 process=a ev" });
  trace.addUnreadableLine();
  add({ "time=1.0 process=a event=request request=r1" });
  CHECK(trace.malformedLineCount() == 3);
  CHECK(events() == "request");
}
