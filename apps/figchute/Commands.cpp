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

/** A control process answers an order or a read within 0.9 s; another one may answer sooner than
   one that is late. */
constexpr std::chrono::milliseconds kEvacuationTimeout{ 1000 };

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
  auto rows = json::Value::array();
  for (const auto& fault : faults) {
    rows.push(json::Value::object({ { "line", fault.line },
                                    { "section", fault.section },
                                    { "key", fault.key },
                                    { "found", fault.found },
                                    { "allowed", fault.allowed } }));
  }
  return rows;
}

void printFaults(const std::string& path, const ini::Faults& faults, bool isJsonOutput)
{
  if (isJsonOutput) {
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
  /** A description of the file for display; empty if the file has errors. */
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

// A file with a section [process] is a settings file; any other file is a team document.
ExitCode check(const CommandLine& commandLine)
{
  const auto& path = commandLine.arguments[0];
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "figchute: {}\n", text.error().detail);
    return ExitCode::usage;
  }
  const auto isSettings = ini::parseAll(*text).file.find("process") != nullptr;
  const auto result = isSettings ? checkSettings(*text) : checkDocument(*text);
  if (!result.faults.empty()) {
    printFaults(path, result.faults, commandLine.isJsonOutput);
    return ExitCode::refused;
  }
  if (commandLine.isJsonOutput) {
    const auto report =
      json::Value::object({ { "file", path }, { "ok", true }, { "summary", result.summary } });
    fmt::print("{}\n", json::dump(report));
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

ExitCode exitCodeFor(const admin::ClientResponse& response)
{
  if (response.status == 200) {
    return ExitCode::ok;
  }
  const auto& conflict = errorTraits(ErrorKind::versionConflict);
  return response.error == conflict.name ? ExitCode::conflict : ExitCode::refused;
}

ExitCode printFailure(const Error& error, bool isJsonOutput)
{
  const auto name = errorTraits(error.kind).name;
  if (isJsonOutput) {
    const auto body = json::Value::object({ { "type", name }, { "message", error.detail } });
    fmt::print("{}\n", json::dump(json::Value::object({ { "error", body } })));
  }
  fmt::print(stderr, "figchute: no final response ({}): {}\n", name, error.detail);
  return ExitCode::unreachable;
}

ExitCode printResponse(const admin::ClientResponse& response, const CommandLine& commandLine)
{
  if (commandLine.isJsonOutput) {
    fmt::print("{}\n", json::dump(response.body));
  } else if (response.status == 200) {
    fmt::print("{}", render(response.body));
  }
  if (response.status != 200) {
    const auto name =
      response.error.empty() ? fmt::format("status {}", response.status) : response.error;
    fmt::print(stderr, "figchute: {}: {}\n", name, response.message);
  }
  return exitCodeFor(response);
}

Expected<admin::ClientResponse> send(const CommandLine& commandLine,
                                     const admin::ClientRequest& request)
{
  admin::ClientOptions options;
  options.servers = commandLine.servers;
  options.key = commandLine.key;
  // A report can simply be requested again; for a change it is worth waiting for an election.
  const bool isReport = request.method == "GET" || commandLine.command == "explain";
  options.maxRounds = isReport ? 1 : options.maxRounds;
  if (commandLine.command.starts_with("evacuation")) {
    options.connectTimeout = kEvacuationTimeout;
    options.responseTimeout = kEvacuationTimeout;
  }
  return admin::AdminClient(options).send(request);
}

ExitCode sendAndPrint(const CommandLine& commandLine, const admin::ClientRequest& request)
{
  const auto response = send(commandLine, request);
  return response ? printResponse(*response, commandLine)
                  : printFailure(response.error(), commandLine.isJsonOutput);
}

ExitCode apply(const CommandLine& commandLine)
{
  const auto& path = commandLine.arguments[0];
  const auto text = readFile(path);
  if (!text) {
    fmt::print(stderr, "figchute: {}\n", text.error().detail);
    return ExitCode::usage;
  }
  const auto document = document::parse(*text);
  if (!document) {
    printFaults(path, document.error(), commandLine.isJsonOutput);
    return ExitCode::refused;
  }
  const auto change = commandLine.change.empty() ? makeChangeId() : commandLine.change;
  // The id is printed before the request is sent, so that the change can be resent after a crash.
  fmt::print(stderr, "change: {}\n", change);
  const auto query =
    fmt::format("base={}&change={}", *commandLine.base, admin::escapeQuery(change));
  return sendAndPrint(commandLine,
                      { "POST", "/v1/documents/" + document->team.value, query, *text });
}

// Prints the text of the document unchanged, so that it can be edited and applied.
ExitCode show(const CommandLine& commandLine)
{
  const auto response =
    send(commandLine, { "GET", "/v1/documents/" + commandLine.arguments[0], "", "" });
  if (!response) {
    return printFailure(response.error(), commandLine.isJsonOutput);
  }
  const auto* text = response->body.find("text");
  if (commandLine.isJsonOutput || response->status != 200 || text == nullptr ||
      text->asString() == nullptr) {
    return printResponse(*response, commandLine);
  }
  auto metadata = response->body;
  metadata.remove("text");
  fmt::print(stderr, "{}", render(metadata));
  fmt::print("{}", *text->asString());
  return ExitCode::ok;
}

ExitCode member(const CommandLine& commandLine)
{
  const auto query = commandLine.arguments[0] + "=" + admin::escapeQuery(commandLine.arguments[1]);
  return sendAndPrint(commandLine, { "POST", "/v1/members", query, "" });
}

// Returns true if the file, or standard input, was read to its end.
bool readLog(const std::string& path, trace::RequestTrace& trace)
{
  const auto addLine = [&trace](std::string_view text, bool isTruncated) {
    if (isTruncated) {
      trace.addUnreadableLine();
    } else {
      trace.add(text);
    }
  };
  if (path == "-") {
    return trace::readLines(std::cin, addLine);
  }
  std::ifstream file(path, std::ios::binary);
  return file.is_open() && trace::readLines(file, addLine);
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

void printTrace(const trace::RequestTrace& trace, bool isJsonOutput)
{
  for (const auto& traced : trace.lines()) {
    if (isJsonOutput) {
      fmt::print("{}\n", json::dump(toJson(traced)));
    } else {
      fmt::print(
        "{}  {}\n", traced.isContext ? "context" : "request", toPrintable(traced.line.text));
    }
  }
  if (trace.malformedLineCount() > 0) {
    fmt::print(stderr, "figchute: {} malformed lines skipped\n", trace.malformedLineCount());
  }
  if (trace.omittedLineCount() > 0) {
    fmt::print(stderr,
               "figchute: {} lines may be missing: the size limit of a trace was reached\n",
               trace.omittedLineCount());
  }
}

// Prints the lines of the readable files even if another file cannot be read.
ExitCode traceRequest(const CommandLine& commandLine)
{
  trace::RequestTrace trace(commandLine.arguments[0]);
  bool allFilesRead = true;
  for (std::size_t i = 1; i < commandLine.arguments.size(); ++i) {
    if (!readLog(commandLine.arguments[i], trace)) {
      fmt::print(stderr, "figchute: cannot read file \"{}\"\n", commandLine.arguments[i]);
      allFilesRead = false;
    }
  }
  printTrace(trace, commandLine.isJsonOutput);
  if (!allFilesRead) {
    return ExitCode::unreachable;
  }
  if (!trace.hasRequestLines()) {
    fmt::print(stderr, "figchute: no line of request \"{}\"\n", commandLine.arguments[0]);
    return ExitCode::refused;
  }
  return ExitCode::ok;
}

} // namespace

ExitCode run(const CommandLine& commandLine)
{
  const auto& command = commandLine.command;
  if (command == "check") {
    return check(commandLine);
  }
  if (command == "trace") {
    return traceRequest(commandLine);
  }
  const auto needsName = command == "show" || command == "history" || command == "retire";
  if (needsName && !document::isName(commandLine.arguments[0])) {
    fmt::print(stderr, "figchute: \"{}\" is not a valid name\n", commandLine.arguments[0]);
    return ExitCode::usage;
  }
  if (command == "apply") {
    return apply(commandLine);
  }
  if (command == "show") {
    return show(commandLine);
  }
  if (command == "history") {
    return sendAndPrint(
      commandLine, { "GET", "/v1/documents/" + commandLine.arguments[0] + "/history", "", "" });
  }
  if (command == "member") {
    return member(commandLine);
  }
  if (command == "evacuation") {
    const auto* const method = commandLine.arguments[0] == "start" ? "POST" : "DELETE";
    return sendAndPrint(commandLine,
                        { method, "/v1/evacuations/" + commandLine.arguments[1], "", "" });
  }
  if (command == "explain") {
    const auto body = json::Value::object(
      { { "host", commandLine.arguments[0] }, { "path", commandLine.arguments[1] } });
    return sendAndPrint(commandLine, { "POST", "/v1/explain", "", json::dump(body) });
  }
  if (command == "retire") {
    return sendAndPrint(commandLine,
                        { "POST", "/v1/retire", "process=" + commandLine.arguments[0], "" });
  }
  return sendAndPrint(commandLine, { "GET", "/v1/" + command, "", "" });
}

} // namespace figchute::cli
