#include "router/RouterSettings.h"

#include "fleet/EvacuationStore.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>

namespace figchute::router {
namespace {

using ini::Presence;
using ini::SectionReader;

constexpr std::string_view kAddressDescription =
  "a numeric address IP:port with a port from 1 to 65535";
constexpr std::string_view kDefaultPeerKey = "figchute";
constexpr std::array<std::string_view, 7> kSections{ "process", "listen", "fleet",  "bounds",
                                                     "budgets", "link",   "routing" };

constexpr double kBytesPerMegabit = 1e6 / 8;

/** Keys whose changed values take effect in a running process. */
constexpr std::array<std::string_view, 2> kReloadableKeys{ "seeds", "grace_s" };

/** Reads all sections into a RouterSettings and collects the errors. */
class Builder
{
public:
  explicit Builder(ini::ParseResult parsed)
    : file_(std::move(parsed.file))
    , faults_(std::move(parsed.faults))
  {
  }

  tl::expected<RouterSettings, ini::Faults> build()
  {
    readProcess();
    readListen();
    readFleet();
    readBounds();
    readBudgets();
    readLink();
    readRouting();
    rejectUnknownSections();
    rejectSharedAddresses();
    if (!faults_.empty()) {
      ini::sortByLine(faults_);
      return tl::unexpected<ini::Faults>(std::move(faults_));
    }
    listEffective();
    return std::move(settings_);
  }

private:
  // A missing section is treated as empty, so that its required keys are reported as missing.
  const ini::Section& section(std::string_view name)
  {
    const auto* present = file_.find(name);
    if (present != nullptr) {
      return *present;
    }
    missingSections_.push_back(
      std::make_unique<ini::Section>(ini::Section{ std::string(name), 0, {} }));
    return *missingSections_.back();
  }

  static Presence requiredIf(bool condition)
  {
    return condition ? Presence::required : Presence::optional;
  }

  void readProcess()
  {
    SectionReader reader(section("process"), faults_);
    if (const auto* entry = reader.entry("name", Presence::required)) {
      settings_.name = entry->value;
    }
    if (const auto* entry = reader.entry("zone", Presence::required)) {
      settings_.zone = ZoneId(entry->value);
    }
    if (const auto role = reader.choice("role", { "entry", "control" }, Presence::required)) {
      settings_.roles.entry = *role == 0;
      settings_.roles.control = *role == 1;
    }
    if (const auto* entry = reader.entry("data_dir", requiredIf(settings_.roles.control))) {
      settings_.dataDir = entry->value;
    }
    reader.rejectUnknownKeys();
  }

  std::optional<settings::Address> address(SectionReader& reader,
                                           std::string_view key,
                                           Presence presence)
  {
    const auto* entry = reader.entry(key, presence);
    if (entry == nullptr) {
      return std::nullopt;
    }
    auto parsed = settings::parseAddress(entry->value);
    if (!parsed) {
      reader.addFault(*entry, std::string(kAddressDescription));
    }
    return parsed;
  }

  void readListen()
  {
    SectionReader reader(section("listen"), faults_);
    settings_.callers = address(reader, "callers", requiredIf(settings_.roles.entry));
    settings_.readiness = address(reader, "readiness", requiredIf(settings_.roles.entry));
    settings_.operators = address(reader, "operators", requiredIf(settings_.roles.control));
    settings_.metrics = address(reader, "metrics", Presence::optional);
    settings_.tunnels = address(reader, "tunnels", Presence::optional);
    if (const auto peers = address(reader, "peers", Presence::required)) {
      settings_.peers = *peers;
    }
    reader.rejectUnknownKeys();
  }

  void readFleet()
  {
    SectionReader reader(section("fleet"), faults_);
    if (const auto* entry = reader.entry("seeds", Presence::required)) {
      for (const auto& text : ini::splitList(entry->value)) {
        const auto parsed = settings::parseAddress(text);
        if (!parsed || settings_.seeds.size() == kMaxSeeds) {
          reader.addFault(*entry,
                          fmt::format("1 to {} addresses IP:port separated by commas", kMaxSeeds));
          break;
        }
        settings_.seeds.push_back(*parsed);
      }
    }
    if (const auto flag = reader.choice("bootstrap", { "false", "true" }, Presence::optional)) {
      settings_.bootstrap = *flag == 1;
    }
    readZones(reader);
    const auto* key = reader.entry("peer_key", Presence::optional);
    settings_.peerKey = key != nullptr ? key->value : std::string(kDefaultPeerKey);
    reader.rejectUnknownKeys();
  }

  void readZones(SectionReader& reader)
  {
    // A template writes an empty value where a deployment names no zones.
    const auto* entry = reader.optionalEntry("zones");
    if (entry == nullptr || entry->value.empty()) {
      return;
    }
    auto& zones = settings_.zones;
    for (const auto& text : ini::splitList(entry->value)) {
      const bool isRepeated = std::find(zones.begin(), zones.end(), ZoneId(text)) != zones.end();
      if (!fleet::isZoneName(text) || isRepeated || zones.size() == kMaxZones) {
        reader.addFault(*entry,
                        fmt::format("1 to {} different zones separated by commas, each of 1 to {} "
                                    "letters, digits, '-', '_', '.' and ':'",
                                    kMaxZones,
                                    fleet::kMaxZoneName));
        return;
      }
      zones.emplace_back(text);
    }
  }

  void readBounds()
  {
    SectionReader reader(section("bounds"), faults_);
    if (const auto seconds = reader.real("grace_s", { 0.5, 3600 }, Presence::optional)) {
      settings_.bounds.grace = Duration(static_cast<std::int64_t>(*seconds * 1e6));
    }
    if (const auto ratio = reader.real("repeat_ratio", { 0, 10 }, Presence::optional)) {
      settings_.bounds.repeatRatio = *ratio;
    }
    if (const auto slack = reader.real("repeat_slack", { 0, 1e6 }, Presence::optional)) {
      settings_.bounds.repeatSlack = *slack;
    }
    if (const auto window = reader.real("repeat_window_s", { 0.1, 3600 }, Presence::optional)) {
      settings_.bounds.repeatWindow = Duration(static_cast<std::int64_t>(*window * 1e6));
    }
    if (const auto overage = reader.real("warmup_overage", { 0, 100 }, Presence::optional)) {
      settings_.bounds.warmupOverage = *overage;
    }
    if (const auto slack = reader.real("warmup_slack", { 0, 1e6 }, Presence::optional)) {
      settings_.bounds.warmupSlack = *slack;
    }
    reader.rejectUnknownKeys();
  }

  void readBudgets()
  {
    SectionReader reader(section("budgets"), faults_);
    if (const auto stock = reader.real("stock_s", { 0, 60 }, Presence::optional)) {
      settings_.tokenStock = Duration(static_cast<std::int64_t>(*stock * 1e6));
    }
    reader.rejectUnknownKeys();
  }

  void readLink()
  {
    SectionReader reader(section("link"), faults_);
    if (const auto megabits = reader.real("mbit_per_s", { 0.1, 1e6 }, Presence::optional)) {
      settings_.linkBytesPerSecond = *megabits * kBytesPerMegabit;
    }
    if (const auto flag =
          reader.choice("admit_requests", { "false", "true" }, Presence::optional)) {
      settings_.linkAdmission = *flag == 1;
    }
    reader.rejectUnknownKeys();
  }

  void readRouting()
  {
    SectionReader reader(section("routing"), faults_);
    if (const auto flag = reader.choice("even_load", { "false", "true" }, Presence::optional)) {
      settings_.evenLoad = *flag == 1;
    }
    reader.rejectUnknownKeys();
  }

  // Two listeners of one process cannot share an address. Keys that the role does not use are
  // ignored, because all processes of a deployment may have the same keys.
  void rejectSharedAddresses()
  {
    std::vector<std::string_view> used{ "peers", "metrics" };
    if (settings_.roles.entry) {
      used.insert(used.end(), { "callers", "readiness", "tunnels" });
    }
    if (settings_.roles.control) {
      used.emplace_back("operators");
    }
    const auto& listen = section("listen");
    std::map<std::string, std::string> keys;
    for (const auto& entry : listen.entries) {
      const auto parsed = settings::parseAddress(entry.value);
      if (!parsed || std::find(used.begin(), used.end(), entry.key) == used.end()) {
        continue;
      }
      const auto [other, isNew] = keys.emplace(settings::toString(*parsed), entry.key);
      if (!isNew) {
        SectionReader(listen, faults_)
          .addFault(entry, "an address other than that of " + other->second);
      }
    }
  }

  void addEffective(std::string_view sectionName,
                    std::string_view key,
                    std::string value,
                    std::string_view unit = {})
  {
    const auto* present = file_.find(sectionName);
    const bool isDefault = present == nullptr || present->find(key) == nullptr;
    settings_.effective.push_back({ std::string(sectionName),
                                    std::string(key),
                                    std::move(value),
                                    std::string(unit),
                                    isDefault,
                                    key == "peer_key" });
  }

  void listEffective()
  {
    const auto text = [](const std::optional<settings::Address>& address) {
      return address ? settings::toString(*address) : std::string();
    };
    std::string seeds;
    for (const auto& seed : settings_.seeds) {
      seeds += (seeds.empty() ? "" : ",") + settings::toString(seed);
    }
    std::string zones;
    for (const auto& zone : settings_.zones) {
      zones += (zones.empty() ? "" : ",") + zone.value;
    }
    const auto& bounds = settings_.bounds;
    addEffective("process", "name", settings_.name);
    addEffective("process", "zone", settings_.zone.value);
    addEffective("process", "role", settings::toString(settings_.roles));
    addEffective("process", "data_dir", settings_.dataDir.value_or(std::string()));
    addEffective("listen", "callers", text(settings_.callers));
    addEffective("listen", "readiness", text(settings_.readiness));
    addEffective("listen", "operators", text(settings_.operators));
    addEffective("listen", "peers", settings::toString(settings_.peers));
    addEffective("listen", "metrics", text(settings_.metrics));
    addEffective("listen", "tunnels", text(settings_.tunnels));
    addEffective("fleet", "seeds", seeds);
    addEffective("fleet", "bootstrap", settings_.bootstrap ? "true" : "false");
    addEffective("fleet", "zones", zones);
    addEffective("fleet", "peer_key", settings_.peerKey);
    addEffective("bounds", "grace_s", fmt::format("{}", toSeconds(bounds.grace)), "s");
    addEffective("bounds", "repeat_ratio", fmt::format("{}", bounds.repeatRatio), "of requests");
    addEffective("bounds", "repeat_slack", fmt::format("{}", bounds.repeatSlack), "repeats");
    addEffective(
      "bounds", "repeat_window_s", fmt::format("{}", toSeconds(bounds.repeatWindow)), "s");
    addEffective(
      "bounds", "warmup_overage", fmt::format("{}", bounds.warmupOverage), "of the rate");
    addEffective("bounds", "warmup_slack", fmt::format("{}", bounds.warmupSlack), "requests");
    addEffective("budgets", "stock_s", fmt::format("{}", toSeconds(settings_.tokenStock)), "s");
    const auto& link = settings_.linkBytesPerSecond;
    addEffective("link",
                 "mbit_per_s",
                 link ? fmt::format("{}", *link / kBytesPerMegabit) : std::string(),
                 "Mbit/s");
    addEffective("link", "admit_requests", settings_.linkAdmission ? "true" : "false");
    addEffective("routing", "even_load", settings_.evenLoad ? "true" : "false");
  }

  void rejectUnknownSections()
  {
    for (const auto& section : file_.sections) {
      if (std::find(kSections.begin(), kSections.end(), section.name) == kSections.end()) {
        faults_.push_back(ini::Fault{ section.name,
                                      "",
                                      "unknown section",
                                      "process, listen, fleet, bounds, link or routing",
                                      section.line });
      }
    }
  }

  ini::IniFile file_;
  ini::Faults faults_;
  std::vector<std::unique_ptr<ini::Section>> missingSections_;
  RouterSettings settings_;
};

} // namespace

std::vector<ProcessId> RouterSettings::seedProcesses() const
{
  std::vector<ProcessId> processes;
  processes.reserve(seeds.size());
  for (const auto& seed : seeds) {
    processes.emplace_back(settings::toString({ seed.ip, peers.port }));
  }
  return processes;
}

std::string toString(const std::vector<EffectiveSetting>& settings)
{
  std::string text;
  for (const auto& setting : settings) {
    text += fmt::format("[{}] {} = ", setting.section, setting.key);
    text += setting.isSecret ? "(not shown)" : setting.value.empty() ? "(none)" : setting.value;
    text += setting.unit.empty() ? "" : " " + setting.unit;
    text += setting.isDefault ? " (default)\n" : "\n";
  }
  return text;
}

ReloadResult reloadSettings(RouterSettings& current, const RouterSettings& next)
{
  ReloadResult result;
  for (std::size_t i = 0; i < current.effective.size(); ++i) {
    auto& setting = current.effective[i];
    const auto& changed = next.effective[i];
    const bool isReloadable =
      std::find(kReloadableKeys.begin(), kReloadableKeys.end(), setting.key) !=
      kReloadableKeys.end();
    if (setting.value != changed.value) {
      (isReloadable ? result.applied : result.atNextStart).push_back(setting.key);
    }
    if (isReloadable) {
      setting = changed;
    }
  }
  current.seeds = next.seeds;
  current.bounds.grace = next.bounds.grace;
  return result;
}

tl::expected<RouterSettings, ini::Faults> parseRouterSettings(std::string_view text)
{
  return Builder(ini::parseAll(text)).build();
}

} // namespace figchute::router
