#include "CommandLine.h"

#include "fleet/EvacuationStore.h"
#include "ini/ini.h"
#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <popt.h>
#include <system_error>

namespace figchute::cli {
namespace {

struct Subcommand
{
  std::string_view name;
  /** The number of arguments, or the minimum if the subcommand takes a list. */
  std::size_t argumentCount;
  bool needsServer;
  const char* usage;
  const char* summary;
  bool takesList = false;
  bool needsKey = true;
};

constexpr std::array<Subcommand, 16> kSubcommands{ {
  { "check", 1, false, "check FILE", "Lists every error in a team document or a settings file" },
  { "apply",
    1,
    true,
    "apply FILE --base N [--change ID]",
    "Replaces version N of the team's document (0: the first document)" },
  { "show", 1, true, "show TEAM", "Shows the document in force" },
  { "history", 1, true, "history TEAM", "Lists the accepted documents of a team" },
  { "spend", 0, true, "spend", "Lists the budgets: bought, settled, held, free, stranded" },
  { "service", 0, true, "service", "Lists the service by rank and workspace" },
  { "endpoints", 0, true, "endpoints", "Lists the endpoints registered with the server" },
  { "versions", 0, true, "versions", "Lists the documents in force at each process" },
  { "members", 0, true, "members", "Lists the processes of the fleet" },
  { "member",
    2,
    true,
    "member add|remove ID",
    "Adds or removes a control process of the replicated log" },
  { "retire", 1, true, "retire PROCESS", "Declares a process as permanently stopped" },
  { "evacuations",
    0,
    true,
    "evacuations",
    "Lists the evacuated zones of a router fleet (needs no key)",
    false,
    false },
  { "evacuation",
    2,
    true,
    "evacuation start|stop ZONE",
    "Evacuates a zone of a router fleet, or returns it to service (needs no key)",
    false,
    false },
  { "explain",
    2,
    true,
    "explain HOST PATH",
    "Shows where an entry process of a router fleet would send a request now, and why; the server "
    "is its metrics address, the key that of the caller",
    false,
    false },
  { "dump", 0, true, "dump", "Shows the state of the server for diagnosis" },
  { "trace",
    2,
    false,
    "trace ID FILE...",
    "Lists the log lines of a request and the state changes before its end",
    true },
} };

/** The variables that popt writes option values to; popt allocates the strings with malloc(). */
struct RawOptions
{
  RawOptions() = default;
  RawOptions(const RawOptions&) = delete;
  RawOptions& operator=(const RawOptions&) = delete;
  ~RawOptions()
  {
    for (auto** server = servers; server != nullptr && *server != nullptr; ++server) {
      std::free(*server);
    }
    std::free(static_cast<void*>(servers));
    std::free(key);
    std::free(base);
    std::free(change);
  }

  char** servers = nullptr;
  char* key = nullptr;
  char* base = nullptr;
  char* change = nullptr;
  int isJsonOutput = 0;
  int isHelpRequested = 0;
};

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
using OptionTable = std::vector<poptOption>;

OptionTable makeOptionTable(RawOptions& raw, bool isApply)
{
  OptionTable table{
    { "server",
      's',
      POPT_ARG_ARGV,
      &raw.servers,
      0,
      "Admin address of a process, or operators' address of a router's control process; may be "
      "repeated or comma separated, tried in order (FIGCHUTE_SERVER)",
      "IP:port" },
    { "key", 'k', POPT_ARG_STRING, &raw.key, 0, "Operator key (FIGCHUTE_KEY)", "KEY" },
    { "json", 'j', POPT_ARG_NONE, &raw.isJsonOutput, 0, "Print the response as JSON", nullptr },
    { "help", 'h', POPT_ARG_NONE, &raw.isHelpRequested, 0, "Show this help", nullptr },
  };
  if (isApply) {
    table.push_back(
      { "base", 'b', POPT_ARG_STRING, &raw.base, 0, "Version that the document replaces", "N" });
    table.push_back({ "change",
                      'c',
                      POPT_ARG_STRING,
                      &raw.change,
                      0,
                      "Id of the change; if omitted, a new one is generated and printed",
                      "ID" });
  }
  table.push_back(POPT_TABLEEND);
  return table;
}

ParsedCommandLine usageError(const std::string& message)
{
  fmt::print(stderr, "figchute: {}\nRun \"figchute --help\" for usage.\n", message);
  return { std::nullopt, ExitCode::usage };
}

// Reads all options of a context. Returns an error message, or an empty string on success.
std::string readOptions(poptContext context)
{
  int code = 0;
  do {
    code = poptGetNextOpt(context);
  } while (code >= 0);
  if (code == -1) {
    return {};
  }
  return fmt::format("{}: {}", poptBadOption(context, 0), poptStrerror(code));
}

std::vector<std::string> readArguments(poptContext context)
{
  std::vector<std::string> arguments;
  while (const auto* argument = poptGetArg(context)) {
    arguments.emplace_back(argument);
  }
  return arguments;
}

void printHelp(poptContext context)
{
  poptPrintHelp(context, stdout, 0);
  fmt::print("\nSubcommands:\n");
  for (const auto& subcommand : kSubcommands) {
    fmt::print("  {:<36}{}\n", subcommand.usage, subcommand.summary);
  }
  fmt::print("\nExit codes: 0 ok, 1 usage, 2 refused, 3 conflict, 4 unreachable\n");
}

std::string environmentVariable(const char* name)
{
  const auto* value = std::getenv(name);
  return value != nullptr ? value : "";
}

// Adds the servers of a comma-separated list. Returns an error message, or an empty string on
// success.
std::string addServers(CommandLine& commandLine, const std::string& list)
{
  for (const auto& text : ini::splitList(list)) {
    const auto address = settings::parseAddress(text);
    if (!address) {
      return fmt::format("server \"{}\" is not a numeric address IP:port", text);
    }
    commandLine.servers.push_back(admin::ServerAddress{ address->ip, address->port });
  }
  return {};
}

std::string readServers(CommandLine& commandLine, const RawOptions& raw)
{
  for (auto** server = raw.servers; server != nullptr && *server != nullptr; ++server) {
    if (auto error = addServers(commandLine, *server); !error.empty()) {
      return error;
    }
  }
  const auto defaultServers = environmentVariable("FIGCHUTE_SERVER");
  return commandLine.servers.empty() && !defaultServers.empty()
           ? addServers(commandLine, defaultServers)
           : std::string();
}

std::string readApplyOptions(CommandLine& commandLine, const RawOptions& raw)
{
  const std::string base = raw.base != nullptr ? raw.base : "";
  std::uint64_t baseVersion = 0;
  const auto* const end = base.data() + base.size();
  const auto parsed = std::from_chars(base.data(), end, baseVersion);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return fmt::format("--base \"{}\" is not a version number; apply requires --base N", base);
  }
  commandLine.base = baseVersion;
  commandLine.change = raw.change != nullptr ? raw.change : "";
  return {};
}

std::string findUsageError(const CommandLine& commandLine, const Subcommand& subcommand)
{
  const auto count = commandLine.arguments.size();
  if (count < subcommand.argumentCount ||
      (count > subcommand.argumentCount && !subcommand.takesList)) {
    return fmt::format("usage: figchute {}", subcommand.usage);
  }
  if (commandLine.command == "member" && commandLine.arguments[0] != "add" &&
      commandLine.arguments[0] != "remove") {
    return fmt::format("usage: figchute {}", subcommand.usage);
  }
  if (commandLine.command == "evacuation") {
    if (commandLine.arguments[0] != "start" && commandLine.arguments[0] != "stop") {
      return fmt::format("usage: figchute {}", subcommand.usage);
    }
    if (!fleet::isZoneName(commandLine.arguments[1])) {
      return fmt::format("\"{}\" is not a valid name of a zone", commandLine.arguments[1]);
    }
  }
  if (commandLine.command == "trace" && commandLine.arguments[0].empty()) {
    return "the request id is empty";
  }
  if (subcommand.needsServer && commandLine.servers.empty()) {
    return "no server: specify --server IP:port or set FIGCHUTE_SERVER";
  }
  if (subcommand.needsServer && subcommand.needsKey && commandLine.key.empty()) {
    return "no key: specify --key KEY or set FIGCHUTE_KEY";
  }
  return {};
}

ParsedCommandLine parseSubcommand(const Subcommand& subcommand,
                                  std::vector<const char*> arguments,
                                  RawOptions& raw)
{
  const auto isApply = subcommand.name == "apply";
  const auto table = makeOptionTable(raw, isApply);
  const PoptContext context(
    poptGetContext(
      "figchute", static_cast<int>(arguments.size()), arguments.data(), table.data(), 0),
    &poptFreeContext);
  auto help = fmt::format("{}\n{}", subcommand.usage, subcommand.summary);
  if (subcommand.name == "trace") {
    help += "\nFILE is the standard output of one figchute-routerd, or - for standard input.\n"
            "Exit codes: 0 found, 1 usage, 2 not found, 4 a file cannot be read";
  }
  poptSetOtherOptionHelp(context.get(), help.c_str());
  CommandLine commandLine;
  commandLine.command = subcommand.name;
  auto error = readOptions(context.get());
  if (error.empty() && raw.isHelpRequested != 0) {
    poptPrintHelp(context.get(), stdout, 0);
    return { std::nullopt, ExitCode::ok };
  }
  commandLine.arguments = readArguments(context.get());
  commandLine.isJsonOutput = raw.isJsonOutput != 0;
  commandLine.key = raw.key != nullptr ? raw.key : environmentVariable("FIGCHUTE_KEY");
  if (error.empty()) {
    error = readServers(commandLine, raw);
  }
  if (error.empty() && isApply) {
    error = readApplyOptions(commandLine, raw);
  }
  if (error.empty()) {
    error = findUsageError(commandLine, subcommand);
  }
  if (!error.empty()) {
    return usageError(error);
  }
  return { std::move(commandLine), ExitCode::ok };
}

} // namespace

ParsedCommandLine parseCommandLine(int argc, const char** argv)
{
  RawOptions raw;
  const auto table = makeOptionTable(raw, false);
  const PoptContext context(
    poptGetContext("figchute", argc, argv, table.data(), POPT_CONTEXT_POSIXMEHARDER),
    &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] SUBCOMMAND [ARGUMENT...]");
  if (const auto error = readOptions(context.get()); !error.empty()) {
    return usageError(error);
  }
  if (raw.isHelpRequested != 0) {
    printHelp(context.get());
    return { std::nullopt, ExitCode::ok };
  }
  const auto** remaining = poptGetArgs(context.get());
  if (remaining == nullptr || *remaining == nullptr) {
    return usageError("missing subcommand");
  }
  const std::string_view name = *remaining;
  const auto* const subcommand = std::ranges::find(kSubcommands, name, &Subcommand::name);
  if (subcommand == kSubcommands.end()) {
    return usageError(fmt::format("unknown subcommand \"{}\"", name));
  }
  std::vector<const char*> arguments{ "figchute" };
  for (++remaining; *remaining != nullptr; ++remaining) {
    arguments.push_back(*remaining);
  }
  return parseSubcommand(*subcommand, std::move(arguments), raw);
}

} // namespace figchute::cli
