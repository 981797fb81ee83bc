#include "router/JsonDialect.h"

#include "router/JsonReader.h"
#include "settings/Address.h"

#include <charconv>
#include <limits>
#include <xxhash.h>

namespace figchute::router {
namespace {

/** Longest time for which an endpoint may announce that it is slow after its start. */
constexpr std::int64_t kMaxWarmupMs = 24LL * 60 * 60 * 1000;

std::optional<std::int64_t> parseCount(std::string_view text)
{
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

/** Parses "PROMPT,OUTPUT". */
bool parseTokenCounts(std::string_view text, PromptInfo& info)
{
  const auto comma = text.find(',');
  if (comma == std::string_view::npos) {
    return false;
  }
  const auto prompt = parseCount(text.substr(0, comma));
  const auto output = parseCount(text.substr(comma + 1));
  if (!prompt || !output) {
    return false;
  }
  info.promptTokens = *prompt;
  info.maxOutputTokens = *output;
  return true;
}

/** Parses "ID:TOKENS,ID:TOKENS". */
bool parsePromptParts(std::string_view text, PromptInfo& info)
{
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto entry = text.substr(0, comma);
    const auto colon = entry.find(':');
    if (colon == std::string_view::npos) {
      return false;
    }
    const auto tokens = parseCount(entry.substr(colon + 1));
    if (!tokens) {
      return false;
    }
    info.parts.push_back({ XXH3_64bits(entry.data(), colon), *tokens });
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return true;
}

fleet::RouteKind parseRouteKind(const JsonNames& names, JsonReader& reader, const std::string& kind)
{
  if (kind == names.repeatableValue) {
    return fleet::RouteKind::repeatable;
  }
  if (kind == names.streamValue) {
    return fleet::RouteKind::stream;
  }
  if (kind != names.onceValue) {
    reader.addError(names.kind, "is not a known route kind");
  }
  return fleet::RouteKind::once;
}

std::vector<fleet::WeightedService> readSplit(const JsonNames& names, JsonReader& route)
{
  std::vector<fleet::WeightedService> split;
  if (route.has(names.split)) {
    route.forEachObject(names.split, [&](JsonReader& part) {
      const auto weight = part.integer(names.weight, 0, std::numeric_limits<std::int32_t>::max());
      split.push_back(
        { ServiceName(part.text(names.service)), static_cast<std::uint32_t>(weight) });
    });
    return split;
  }
  split.push_back({ ServiceName(route.text(names.service)), 1 });
  return split;
}

fleet::Route readRoute(const JsonNames& names, JsonReader& reader)
{
  fleet::Route route;
  route.name = reader.text(names.name, "");
  route.host = reader.text(names.host);
  route.pathPrefix = reader.text(names.pathPrefix);
  route.kind = parseRouteKind(names, reader, reader.text(names.kind));
  route.timeout = reader.millis(names.timeoutMs);
  route.target = reader.millis(names.targetMs, route.timeout);
  route.gapTarget = reader.millis(names.gapTargetMs, std::chrono::milliseconds(500));
  route.priority = reader.intOrDefault(names.priority, 5);
  route.maxAttempts = reader.intOrDefault(names.maxAttempts, 1);
  route.open = reader.boolean(names.open);
  route.sticky = reader.boolean(names.sticky);
  route.resumable = reader.boolean(names.resumable);
  route.split = readSplit(names, reader);
  return route;
}

fleet::ServiceSettings readService(const JsonNames& names, JsonReader& reader)
{
  fleet::ServiceSettings service;
  service.name = ServiceName(reader.text(names.name));
  service.healthPath = reader.text(names.healthPath, "");
  service.maxConnections = reader.intOrDefault(names.maxConnections, 100);
  service.warmupPerS = reader.realOrDefault(names.warmupPerS, 0);
  reader.object(names.engine, [&](JsonReader& engine) {
    fleet::EngineTraits traits;
    traits.slots = engine.intOrDefault(names.slots, 0);
    traits.kvCapacity = engine.integerOrDefault(names.kvCapacity, 0);
    traits.kvTokenBytes = engine.integerOrDefault(names.kvTokenBytes, 0);
    traits.tokensPerEvent = engine.intOrDefault(names.stride, 1);
    service.engine = traits;
  });
  return service;
}

fleet::WorkspaceSettings readWorkspace(const JsonNames& names, JsonReader& reader)
{
  fleet::WorkspaceSettings workspace;
  workspace.name = reader.text(names.name);
  workspace.keys = reader.strings(names.keys);
  if (reader.has(names.priority)) {
    workspace.priority = reader.intOrDefault(names.priority, 5);
  }
  if (reader.has(names.prepaid)) {
    workspace.prepaid = Tokens{ reader.integer(names.prepaid, 0, kMaxJsonInteger) };
  }
  return workspace;
}

/** Reads the address of an endpoint. One without a valid port would be chosen, but never reached.
 */
std::string readAddress(JsonReader& reader, std::string_view name)
{
  auto address = reader.text(name);
  if (!address.empty() && !settings::parseAddress(address)) {
    reader.addError(name, "is not a numeric address with a port");
  }
  return address;
}

fleet::RequestLimits readLimits(const JsonNames& names, JsonReader& reader)
{
  fleet::RequestLimits limits;
  reader.object(names.limits, [&](JsonReader& part) {
    limits.headBytes = static_cast<std::uint64_t>(part.integerOrDefault(names.headBytes, 16384, 0));
    limits.bodyBytes =
      static_cast<std::uint64_t>(part.integerOrDefault(names.bodyBytes, 4194304, 0));
    limits.headTimeout = part.millis(names.headTimeoutMs, limits.headTimeout);
    limits.idleTimeout = part.millis(names.idleTimeoutMs, limits.idleTimeout);
  });
  return limits;
}

} // namespace

JsonDialect::JsonDialect(FieldNames fields, ApiPaths paths, PromptNames prompt, JsonNames names)
  : fields_(std::move(fields))
  , paths_(std::move(paths))
  , prompt_(std::move(prompt))
  , names_(std::move(names))
{
}

Expected<fleet::Configuration> JsonDialect::parseConfiguration(std::string_view bytes) const
{
  JsonDocument document;
  if (auto parsed = document.parse(bytes); !parsed) {
    return fail(ErrorKind::documentInvalid, parsed.error().detail);
  }
  const auto& names = names_;
  JsonReader reader = document.root();
  fleet::Configuration configuration;
  configuration.version =
    static_cast<std::uint64_t>(reader.integer(names.version, 0, kMaxJsonInteger));
  reader.forEachObject(names.routes, [&](JsonReader& route) {
    configuration.routes.push_back(readRoute(names, route));
  });
  reader.forEachObject(names.services, [&](JsonReader& part) {
    configuration.services.push_back(readService(names, part));
  });
  configuration.hasWorkspaces = reader.has(names.workspaces);
  if (configuration.hasWorkspaces) {
    reader.forEachObject(names.workspaces, [&](JsonReader& part) {
      configuration.workspaces.push_back(readWorkspace(names, part));
    });
  }
  configuration.limits = readLimits(names, reader);
  auto errors = document.takeErrors();
  if (errors.empty()) {
    errors = fleet::validate(configuration);
  }
  if (!errors.empty()) {
    return fail(ErrorKind::documentInvalid, joinErrors(errors));
  }
  return configuration;
}

Expected<fleet::Announcement> JsonDialect::parseAnnouncement(const EndpointId& id,
                                                             std::string_view bytes) const
{
  JsonDocument document;
  if (auto parsed = document.parse(bytes); !parsed) {
    return fail(ErrorKind::badRequest, parsed.error().detail);
  }
  const auto& names = names_;
  JsonReader reader = document.root();
  fleet::Announcement announcement;
  announcement.id = id;
  announcement.service = ServiceName(reader.text(names.service));
  announcement.address = readAddress(reader, names.address);
  announcement.zone = ZoneId(reader.text(names.zone));
  announcement.softwareVersion = reader.text(names.version, "");
  announcement.slots = static_cast<int>(reader.integer(names.slots, 0, 1'000'000));
  announcement.warmupMs = reader.integerOrDefault(names.warmupMs, 0, -kMaxWarmupMs, kMaxWarmupMs);
  announcement.sequence =
    static_cast<std::uint64_t>(reader.integer(names.sequence, 0, kMaxJsonInteger));
  announcement.startedAtMs = reader.integer(names.startedAtMs, 0, kMaxJsonInteger);
  const auto state = reader.text(names.state);
  if (state != names.readyValue && state != names.drainingValue) {
    reader.addError(names.state, "is not a known state");
  }
  announcement.state =
    state == names.drainingValue ? fleet::EndpointState::draining : fleet::EndpointState::ready;
  const auto errors = document.takeErrors();
  if (!errors.empty()) {
    return fail(ErrorKind::badRequest, joinErrors(errors));
  }
  return announcement;
}

Expected<PromptInfo> JsonDialect::parsePrompt(const http::Fields& fields) const
{
  PromptInfo info;
  info.model = ModelName(fields.get(prompt_.model));
  if (const auto* counts = fields.find(prompt_.tokenCounts)) {
    if (!parseTokenCounts(*counts, info)) {
      return fail(ErrorKind::badRequest, "the token counts are malformed");
    }
  }
  if (const auto* prefix = fields.find(prompt_.parts)) {
    if (!parsePromptParts(*prefix, info)) {
      return fail(ErrorKind::badRequest, "the prompt parts are malformed");
    }
  }
  if (const auto* hint = fields.find(prompt_.outputHint)) {
    info.outputHint = parseCount(*hint).value_or(0);
  }
  return info;
}

std::unique_ptr<Dialect> defaultDialect()
{
  return std::make_unique<JsonDialect>(FieldNames{}, ApiPaths{}, PromptNames{}, JsonNames{});
}

} // namespace figchute::router
