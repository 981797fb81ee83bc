#include "document/Parser.h"

#include "ini/ini.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace figchute::document {
namespace {

using ini::IntegerRange;
using ini::isKey;
using ini::kNameRule;
using ini::Presence;
using ini::RealRange;
using ini::SectionReader;

constexpr IntegerRange kTokenRange{ 0, kMaxTokens.count };
constexpr RealRange kWeightRange{ 0.001, 1e6 };

// The design target for the first token is 0.38 s. The other targets match the work of their ranks:
// tags and labels within a second, reports within minutes.
constexpr std::array<RankTarget, kRankCount> kDefaultRanks{ {
  { std::chrono::milliseconds(380), 100 },
  { std::chrono::milliseconds(1000), 10 },
  { std::chrono::milliseconds(120000), 1 },
} };

std::optional<Rank> findRank(std::string_view name)
{
  for (const auto rank : { Rank::urgent, Rank::prompt, Rank::batch }) {
    if (toString(rank) == name) {
      return rank;
    }
  }
  return std::nullopt;
}

bool isPathPrefix(std::string_view text)
{
  const auto isPathCharacter = [](char c) { return c > 0x20 && c < 0x7F && c != '?' && c != '#'; };
  return text.starts_with('/') && std::ranges::all_of(text, isPathCharacter);
}

// Reads the sections of one text into a document. The ids of workspaces and callers begin with the
// team name, so [team] is read first, wherever it is in the text.
class Builder
{
public:
  explicit Builder(ini::ParseResult parsed)
    : file_(std::move(parsed.file))
    , faults_(std::move(parsed.faults))
  {
    document_.ranks = kDefaultRanks;
  }

  tl::expected<Document, Faults> build()
  {
    readTeam();
    for (const auto& section : file_.sections) {
      readSection(section);
    }
    checkCallers();
    if (!faults_.empty()) {
      ini::sortByLine(faults_);
      return tl::unexpected<Faults>(std::move(faults_));
    }
    return std::move(document_);
  }

private:
  void readTeam()
  {
    const auto* section = file_.find("team");
    if (section == nullptr) {
      faults_.push_back(Fault{ "team", "", "missing", "a section [team] with the key name", 0 });
      return;
    }
    SectionReader reader(*section, faults_);
    if (const auto* name = reader.entry("name", Presence::required)) {
      if (isName(name->value)) {
        document_.team = TeamId(name->value);
      } else {
        reader.addFault(*name, std::string(kNameRule));
      }
    }
    if (const auto* deployment = reader.entry("deployment", Presence::optional)) {
      document_.deployment = deployment->value;
    }
    reader.rejectUnknownKeys();
  }

  void readSection(const ini::Section& section)
  {
    if (section.name == "team") {
      return;
    }
    const auto dot = section.name.find('.');
    const auto kind = section.name.substr(0, dot);
    const auto name = dot == std::string::npos ? std::string() : section.name.substr(dot + 1);
    if (kind == "rank") {
      readRank(section, name);
    } else if (kind == "model" && checkName(section, name)) {
      readModel(section, name);
    } else if (kind == "service" && checkName(section, name)) {
      readService(section, name);
    } else if (kind == "workspace" && checkName(section, name)) {
      readWorkspace(section, name);
    } else if (kind == "caller" && checkName(section, name)) {
      readCaller(section, name);
    } else if (kind != "model" && kind != "service" && kind != "workspace" && kind != "caller") {
      addSectionFault(section,
                      "unknown section",
                      "team, rank.NAME, model.NAME, service.NAME, workspace.NAME or caller.NAME");
    }
  }

  bool checkName(const ini::Section& section, std::string_view name)
  {
    if (isName(name)) {
      return true;
    }
    addSectionFault(section, std::string(name), std::string(kNameRule) + " after the dot");
    return false;
  }

  void readRank(const ini::Section& section, std::string_view name)
  {
    const auto rank = findRank(name);
    if (!rank) {
      addSectionFault(section, std::string(name), "rank.urgent, rank.prompt or rank.batch");
      return;
    }
    auto& target = document_.ranks.at(static_cast<std::size_t>(*rank));
    SectionReader reader(section, faults_);
    const auto targetMs = reader.integer("target_ms", { 1, 86'400'000 }, Presence::optional);
    if (targetMs) {
      target.target = std::chrono::milliseconds(*targetMs);
    }
    target.worth = reader.real("worth", kWeightRange, Presence::optional).value_or(target.worth);
    reader.rejectUnknownKeys();
  }

  void readModel(const ini::Section& section, const std::string& name)
  {
    Model model;
    model.name = ModelName(name);
    SectionReader reader(section, faults_);
    // A token has at least one byte. With more than 16 bytes on average the result would not be an
    // upper bound for any real prompt.
    model.minBytesPerToken =
      reader.real("min_bytes_per_token", { 0.1, 16 }, Presence::optional).value_or(1);
    model.maxOutputTokens.count =
      reader.integer("max_output_tokens", { 1, 10'000'000 }, Presence::optional)
        .value_or(model.maxOutputTokens.count);
    reader.rejectUnknownKeys();
    document_.models.push_back(std::move(model));
  }

  void readService(const ini::Section& section, const std::string& name)
  {
    Service service;
    service.name = ServiceName(name);
    SectionReader reader(section, faults_);
    reader.choice("kind", { "plain" }, Presence::required);
    if (const auto* prefixesEntry = reader.entry("repeatable", Presence::optional)) {
      service.repeatable = ini::splitList(prefixesEntry->value);
      if (!std::ranges::all_of(service.repeatable, isPathPrefix)) {
        reader.addFault(*prefixesEntry, "path prefixes that begin with '/', separated by commas");
      }
    }
    service.cost.count = reader.integer("cost", kTokenRange, Presence::optional).value_or(0);
    reader.rejectUnknownKeys();
    document_.services.push_back(std::move(service));
  }

  static Limits readLimits(SectionReader& reader)
  {
    Limits limits;
    limits.requestsPerSecond = reader.real("requests_per_s", { 0.001, 1e6 }, Presence::optional);
    const auto concurrency =
      reader.integer("max_concurrency", { 1, 1'000'000 }, Presence::optional);
    if (concurrency) {
      limits.maxConcurrency = static_cast<std::uint32_t>(*concurrency);
    }
    return limits;
  }

  void readWorkspace(const ini::Section& section, const std::string& name)
  {
    Workspace workspace;
    workspace.id = makeWorkspaceId(document_.team, name);
    workspace.name = name;
    SectionReader reader(section, faults_);
    workspace.bought.count = reader.integer("bought", kTokenRange, Presence::required).value_or(0);
    workspace.weight = reader.real("weight", kWeightRange, Presence::optional).value_or(1);
    workspace.limits = readLimits(reader);
    reader.rejectUnknownKeys();
    workspaceNames_.insert(name);
    document_.workspaces.push_back(std::move(workspace));
  }

  void readCaller(const ini::Section& section, const std::string& name)
  {
    Caller caller;
    caller.id = makeCallerId(document_.team, name);
    caller.name = name;
    SectionReader reader(section, faults_);
    if (const auto* workspace = reader.entry("workspace", Presence::required)) {
      caller.workspace = makeWorkspaceId(document_.team, workspace->value);
    }
    readKey(reader, caller);
    const auto bought = reader.integer("bought", kTokenRange, Presence::optional);
    if (bought) {
      caller.bought = Tokens{ *bought };
    }
    const auto rank = reader.choice("rank", { "urgent", "prompt", "batch" }, Presence::optional);
    if (rank) {
      caller.rank = static_cast<Rank>(*rank);
    }
    caller.weight = reader.real("weight", kWeightRange, Presence::optional).value_or(1);
    caller.limits = readLimits(reader);
    reader.rejectUnknownKeys();
    document_.callers.push_back(std::move(caller));
    callerSections_.push_back(&section);
  }

  void readKey(SectionReader& reader, Caller& caller)
  {
    const auto* key = reader.entry("key", Presence::required);
    if (key == nullptr) {
      return;
    }
    if (!isKey(key->value)) {
      faults_.push_back(Fault{ "caller." + caller.name,
                               "key",
                               "a key of " + std::to_string(key->value.size()) + " bytes",
                               std::string(ini::kKeyRule),
                               key->line });
      return;
    }
    caller.key = key->value;
  }

  // Workspaces may come after their callers, so references are checked at the end. Keys are secrets
  // and must not appear in faults.
  void checkCallers()
  {
    std::unordered_map<std::string, std::string> callerNamesByKey;
    for (std::size_t i = 0; i < document_.callers.size(); ++i) {
      const auto& caller = document_.callers[i];
      const auto* section = callerSections_[i];
      const auto* workspaceEntry = section->find("workspace");
      if (workspaceEntry != nullptr && !workspaceEntry->value.empty() &&
          !workspaceNames_.contains(workspaceEntry->value)) {
        SectionReader(*section, faults_).addFault(*workspaceEntry, "a workspace of this document");
      }
      const auto [entryIt, isNew] = callerNamesByKey.emplace(caller.key, caller.name);
      if (!caller.key.empty() && !isNew) {
        faults_.push_back(Fault{ section->name,
                                 "key",
                                 "the key of caller." + entryIt->second,
                                 "a key that no other caller has",
                                 section->find("key")->line });
      }
    }
  }

  void addSectionFault(const ini::Section& section, std::string actual, std::string allowed)
  {
    faults_.push_back(
      Fault{ section.name, "", std::move(actual), std::move(allowed), section.line });
  }

  ini::IniFile file_;
  Faults faults_;
  Document document_;
  std::unordered_set<std::string> workspaceNames_;
  /** The section of each caller, in the order of document_.callers. */
  std::vector<const ini::Section*> callerSections_;
};

} // namespace

tl::expected<Document, Faults> parse(std::string_view text)
{
  return Builder(ini::parseAll(text)).build();
}

Expected<Document> parseForTeam(const TeamId& team, std::string_view text)
{
  auto document = parse(text);
  if (!document) {
    return fail(ErrorKind::documentInvalid, ini::toString(document.error()));
  }
  if (document->team != team) {
    const Fault fault{ "team", "name", document->team.value, "\"" + team.value + "\"", 0 };
    return fail(ErrorKind::documentInvalid, ini::toString(fault));
  }
  return std::move(*document);
}

bool isName(std::string_view text)
{
  return ini::isName(text);
}

} // namespace figchute::document
