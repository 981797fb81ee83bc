#include "Commands.h"

#include "core/core.h"
#include "document/document.h"
#include "ini/ini.h"
#include "Output.h"
#include "settings/settings.h"
#include "trace/trace.h"
#include "json/json.h"

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace figchute::cli {
namespace {

Expected<std::string> readFile(const std::string& path)
{
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file.is_open() || file.bad()) {
    return fail(ErrorKind::notFound, fmt::format("cannot read file \"{}\"", path));
  }
  return text;
}

json::Value toJson(const ini::Faults& faults)
{
  auto list = json::Value::array();
  for (const auto& fault : faults) {
    list.push(json::Value::object({ { "line", fault.line },
                                    { "section", fault.section },
                                    { "key", fault.key },
                                    { "found", fault.found },
                                    { "allowed", fault.allowed } }));
  }
  return list;
}

void printFaults(const std::string& path, const ini::Faults& faults, bool isJson)
{
  if (isJson) {
    const auto result =
      json::Value::object({ { "file", path }, { "ok", false }, { "faults", toJson(faults) } });
    fmt::print("{}\n", json::dump(result));
    return;
  }
  Table table({ "LINE", "SECTION", "KEY", "FOUND", "ALLOWED" });
  for (const auto& fault : faults) {
    table.add({ fault.line > 0 ? std::to_string(fault.line) : "",
                fault.section.empty() ? "-" : fault.section,
                fault.key.empty() ? "-" : fault.key,
                fault.found,
                fault.allowed });
  }
  fmt::print("{}: {} faults\n{}", path, faults.size(), table.text());
}

struct CheckResult
{
  /** What the file is, for people; empty when it has faults. */
  std::string summary;
  ini::Faults faults;
};

CheckResult checkSettings(const std::string& text)
{
  const auto settings = settings::parse(text);
  if (!settings) {
    return { {}, settings.error() };
  }
  return { fmt::format("settings of process {}, roles {}, {} peers",
                       settings->id.value,
                       settings::toString(settings->roles),
                       settings->peers.size()),
           {} };
}

CheckResult checkDocument(const std::string& text)
{
  const auto document = document::parse(text);
  if (!document) {
    return { {}, document.error() };
  }
  return { fmt::format("document of team {}, {} workspaces, {} callers, {} budgets",
                       document->team.value,
                       document->workspaces.size(),
                       document->callers.size(),
                       document->budgets().size()),
           {} };
}

// A file with a section [process] is a settings file, any other a team document.
ExitCode check(const CommandLine& line)
{
  const auto& path = line.arguments[0];
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "figchute: {}\n", text.error().detail);
    return ExitCode::usage;
  }
  const auto isSettings = ini::parseAll(*text).file.find("process") != nullptr;
  const auto result = isSettings ? checkSettings(*text) : checkDocument(*text);
  if (!result.faults.empty()) {
    printFaults(path, result.faults, line.isJson);
    return ExitCode::refused;
  }
  if (line.isJson) {
    const auto answer =
      json::Value::object({ { "file", path }, { "ok", true }, { "summary", result.summary } });
    fmt::print("{}\n", json::dump(answer));
  } else {
    fmt::print("{}: ok, {}\n", path, result.summary);
  }
  return ExitCode::ok;
}

std::string makeChangeId()
{
  std::random_device random;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  return fmt::format("{}-{:08x}{:08x}", seconds, random(), random());
}

ExitCode exitCodeOf(const admin::ClientAnswer& answer)
{
  if (answer.status == 200) {
    return ExitCode::ok;
  }
  const auto& conflict = errorTraits(ErrorKind::versionConflict);
  return answer.error == conflict.name ? ExitCode::conflict : ExitCode::refused;
}

ExitCode printFailure(const Error& error, bool isJson)
{
  const auto name = errorTraits(error.kind).name;
  if (isJson) {
    const auto body = json::Value::object({ { "type", name }, { "message", error.detail } });
    fmt::print("{}\n", json::dump(json::Value::object({ { "error", body } })));
  }
  fmt::print(stderr, "figchute: no final answer ({}): {}\n", name, error.detail);
  return ExitCode::unreachable;
}

ExitCode printAnswer(const admin::ClientAnswer& answer, const CommandLine& line)
{
  if (line.isJson) {
    fmt::print("{}\n", json::dump(answer.body));
  } else if (answer.status == 200) {
    fmt::print("{}", render(answer.body));
  }
  if (answer.status != 200) {
    const auto name = answer.error.empty() ? fmt::format("status {}", answer.status) : answer.error;
    fmt::print(stderr, "figchute: {}: {}\n", name, answer.message);
  }
  return exitCodeOf(answer);
}

Expected<admin::ClientAnswer> send(const CommandLine& line, const admin::ClientRequest& request)
{
  admin::ClientOptions options;
  options.servers = line.servers;
  options.key = line.key;
  // A report can simply be asked for again; a change is worth waiting for an election.
  options.rounds = request.method == "GET" ? 1 : options.rounds;
  return admin::AdminClient(options).send(request);
}

ExitCode sendAndPrint(const CommandLine& line, const admin::ClientRequest& request)
{
  const auto answer = send(line, request);
  return answer ? printAnswer(*answer, line) : printFailure(answer.error(), line.isJson);
}

ExitCode apply(const CommandLine& line)
{
  const auto& path = line.arguments[0];
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "figchute: {}\n", text.error().detail);
    return ExitCode::usage;
  }
  const auto document = document::parse(*text);
  if (!document) {
    printFaults(path, document.error(), line.isJson);
    return ExitCode::refused;
  }
  const auto change = line.change.empty() ? makeChangeId() : line.change;
  // The id is printed before anything is sent, so that the change can be resent after a crash.
  fmt::print(stderr, "change: {}\n", change);
  const auto query = fmt::format("base={}&change={}", *line.base, admin::escapeQuery(change));
  return sendAndPrint(line, { "POST", "/v1/documents/" + document->team.value, query, *text });
}

// Prints the text of the document as it stands, so that it can be edited and applied.
ExitCode show(const CommandLine& line)
{
  const auto answer = send(line, { "GET", "/v1/documents/" + line.arguments[0], "", "" });
  if (!answer) {
    return printFailure(answer.error(), line.isJson);
  }
  const auto* text = answer->body.find("text");
  if (line.isJson || answer->status != 200 || text == nullptr || text->asString() == nullptr) {
    return printAnswer(*answer, line);
  }
  auto head = answer->body;
  head.remove("text");
  fmt::print(stderr, "{}", render(head));
  fmt::print("{}", *text->asString());
  return ExitCode::ok;
}

ExitCode member(const CommandLine& line)
{
  const auto query = line.arguments[0] + "=" + admin::escapeQuery(line.arguments[1]);
  return sendAndPrint(line, { "POST", "/v1/members", query, "" });
}

// Returns whether the file, or the standard input, was read to its end.
bool readLog(const std::string& path, trace::RequestTrace& trace)
{
  const auto take = [&trace](std::string_view text, bool isCut) {
    if (isCut) {
      trace.addUnreadableLine();
    } else {
      trace.add(text);
    }
  };
  if (path == "-") {
    return trace::readLines(std::cin, take);
  }
  std::ifstream file(path, std::ios::binary);
  return file.is_open() && trace::readLines(file, take);
}

json::Value toJson(const trace::TracedLine& traced)
{
  auto fields = json::Value::object();
  for (const auto& field : traced.line.fields) {
    fields.set(field.name, field.value);
  }
  return json::Value::object({ { "context", traced.isContext },
                               { "time_us", traced.line.time.micros },
                               { "process", traced.line.process },
                               { "event", traced.line.event },
                               { "fields", std::move(fields) } });
}

void printTrace(const trace::RequestTrace& trace, bool isJson)
{
  for (const auto& traced : trace.lines()) {
    if (isJson) {
      fmt::print("{}\n", json::dump(toJson(traced)));
    } else {
      fmt::print("{}  {}\n", traced.isContext ? "context" : "request", printable(traced.line.text));
    }
  }
  if (trace.malformedLineCount() > 0) {
    fmt::print(stderr, "figchute: {} malformed lines skipped\n", trace.malformedLineCount());
  }
  if (trace.omittedLineCount() > 0) {
    fmt::print(
      stderr, "figchute: {} lines may be missing: too many to keep\n", trace.omittedLineCount());
  }
}

// The lines of the readable files are printed even when another file cannot be read.
ExitCode traceRequest(const CommandLine& line)
{
  trace::RequestTrace trace(line.arguments[0]);
  bool isComplete = true;
  for (std::size_t i = 1; i < line.arguments.size(); ++i) {
    if (!readLog(line.arguments[i], trace)) {
      fmt::print(stderr, "figchute: cannot read file \"{}\"\n", line.arguments[i]);
      isComplete = false;
    }
  }
  printTrace(trace, line.isJson);
  if (!isComplete) {
    return ExitCode::unreachable;
  }
  if (!trace.hasRequestLines()) {
    fmt::print(stderr, "figchute: no line of request \"{}\"\n", line.arguments[0]);
    return ExitCode::refused;
  }
  return ExitCode::ok;
}

} // namespace

ExitCode run(const CommandLine& line)
{
  const auto& command = line.command;
  if (command == "check") {
    return check(line);
  }
  if (command == "trace") {
    return traceRequest(line);
  }
  const auto needsName = command == "show" || command == "history" || command == "retire";
  if (needsName && !document::isName(line.arguments[0])) {
    fmt::print(stderr, "figchute: \"{}\" is no name\n", line.arguments[0]);
    return ExitCode::usage;
  }
  if (command == "apply") {
    return apply(line);
  }
  if (command == "show") {
    return show(line);
  }
  if (command == "history") {
    return sendAndPrint(line, { "GET", "/v1/documents/" + line.arguments[0] + "/history", "", "" });
  }
  if (command == "member") {
    return member(line);
  }
  if (command == "retire") {
    return sendAndPrint(line, { "POST", "/v1/retire", "process=" + line.arguments[0], "" });
  }
  return sendAndPrint(line, { "GET", "/v1/" + command, "", "" });
}

} // namespace figchute::cli
