#include "settings/Parser.h"

#include "ini/ini.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace figchute::settings {
namespace {

using ini::isKey;
using ini::isName;
using ini::kNameRule;
using ini::Presence;
using ini::SectionReader;

constexpr std::string_view kAddressRule =
  "a numeric address IP:port or [IPv6]:port with a port from 1 to 65535";

// Returns the roles with these names, or std::nullopt if a name is unknown or occurs twice.
std::optional<Roles> parseRoles(const std::vector<std::string>& names)
{
  Roles roles;
  for (const auto& name : names) {
    auto* roleFlag = name == "entry" ? &roles.entry : name == "control" ? &roles.control : nullptr;
    if (roleFlag == nullptr || *roleFlag) {
      return std::nullopt;
    }
    *roleFlag = true;
  }
  return roles;
}

std::optional<Roles> parsePeerRoles(const std::string& text)
{
  const auto plusOffset = text.find('+');
  if (plusOffset == std::string::npos) {
    return parseRoles({ text });
  }
  return parseRoles({ text.substr(0, plusOffset), text.substr(plusOffset + 1) });
}

class Builder
{
public:
  explicit Builder(ini::ParseResult parsed)
    : file_(std::move(parsed.file))
    , faults_(std::move(parsed.faults))
  {
  }

  tl::expected<Settings, Faults> build()
  {
    readProcess(section("process"));
    readListen(section("listen"));
    readPeers(section("peers"));
    readKeys(section("keys"));
    readLimits(section("limits"));
    rejectUnknownSections();
    if (!faults_.empty()) {
      ini::sortByLine(faults_);
      return tl::unexpected<Faults>(std::move(faults_));
    }
    return std::move(settings_);
  }

private:
  // A missing section is read as an empty one, so that its required keys are reported as faults.
  const ini::Section& section(std::string_view name)
  {
    static const std::map<std::string, ini::Section, std::less<>> kEmptySections{
      { "process", { "process", 0, {} } }, { "listen", { "listen", 0, {} } },
      { "peers", { "peers", 0, {} } },     { "keys", { "keys", 0, {} } },
      { "limits", { "limits", 0, {} } },
    };
    const auto* existingSection = file_.find(name);
    return existingSection != nullptr ? *existingSection : kEmptySections.find(name)->second;
  }

  void rejectUnknownSections()
  {
    for (const auto& section : file_.sections) {
      if (section.name != "process" && section.name != "listen" && section.name != "peers" &&
          section.name != "keys" && section.name != "limits") {
        faults_.push_back(Fault{ section.name,
                                 "",
                                 "unknown section",
                                 "process, listen, peers, keys or limits",
                                 section.line });
      }
    }
  }

  std::string readName(SectionReader& reader, std::string_view key)
  {
    const auto* entry = reader.entry(key, Presence::required);
    if (entry == nullptr) {
      return {};
    }
    if (!isName(entry->value)) {
      reader.addFault(*entry, std::string(kNameRule));
    }
    return entry->value;
  }

  void readProcess(const ini::Section& section)
  {
    SectionReader reader(section, faults_);
    settings_.id = ProcessId(readName(reader, "id"));
    settings_.zone = ZoneId(readName(reader, "zone"));
    if (const auto* entry = reader.entry("roles", Presence::required)) {
      const auto roles = parseRoles(ini::splitList(entry->value));
      if (roles) {
        settings_.roles = *roles;
      } else {
        reader.addFault(*entry, "entry, control or entry,control");
      }
    }
    const auto dataDirPresence = settings_.roles.control ? Presence::required : Presence::optional;
    if (const auto* entry = reader.entry("data_dir", dataDirPresence)) {
      settings_.dataDir = entry->value;
    }
    const auto level =
      reader.choice("log_level", { "debug", "info", "warning", "error" }, Presence::optional);
    settings_.logLevel = level ? static_cast<LogLevel>(*level) : LogLevel::info;
    reader.rejectUnknownKeys();
  }

  std::optional<Address> readAddress(SectionReader& reader, std::string_view key, Presence presence)
  {
    const auto* entry = reader.entry(key, presence);
    if (entry == nullptr) {
      return std::nullopt;
    }
    auto address = parseAddress(entry->value);
    if (!address) {
      reader.addFault(*entry, std::string(kAddressRule));
      return std::nullopt;
    }
    const auto [addressIt, isNew] = settingNamesByAddress_.emplace(toString(*address), key);
    if (!isNew) {
      reader.addFault(*entry, "an address other than that of " + addressIt->second);
    }
    return address;
  }

  void readListen(const ini::Section& section)
  {
    SectionReader reader(section, faults_);
    settings_.listen.callers = readAddress(
      reader, "callers", settings_.roles.entry ? Presence::required : Presence::optional);
    settings_.listen.admin = readAddress(reader, "admin", Presence::required).value_or(Address{});
    settings_.listen.peers = readAddress(reader, "peers", Presence::required).value_or(Address{});
    reader.rejectUnknownKeys();
  }

  void readPeers(const ini::Section& section)
  {
    std::size_t controlProcessCount = settings_.roles.control ? 1 : 0;
    for (const auto& entry : section.entries) {
      auto peer = readPeer(section, entry);
      if (!peer) {
        continue;
      }
      if (peer->id == settings_.id) {
        checkOwnEntry(section, entry, *peer);
        continue;
      }
      controlProcessCount += peer->roles.control ? 1 : 0;
      settings_.peers.push_back(std::move(*peer));
    }
    const auto hasRoles = settings_.roles.entry || settings_.roles.control;
    if (hasRoles && (controlProcessCount == 0 || controlProcessCount > kMaxControlProcesses)) {
      faults_.push_back(
        Fault{ "peers",
               "",
               std::to_string(controlProcessCount) + " processes with the role control",
               "1 to 7 of them, this process included",
               section.line });
    }
  }

  std::optional<Peer> readPeer(const ini::Section& section, const ini::Entry& entry)
  {
    std::istringstream words(entry.value);
    std::string address;
    std::string zone;
    std::string roles;
    std::string extraWord;
    words >> address >> zone >> roles;
    const auto parsedAddress = parseAddress(address);
    const auto parsedRoles = parsePeerRoles(roles);
    SectionReader reader(section, faults_);
    if (!isName(entry.key)) {
      faults_.push_back(Fault{ "peers", entry.key, entry.key, std::string(kNameRule), entry.line });
      return std::nullopt;
    }
    if (!parsedAddress || !parsedRoles || !isName(zone) || words >> extraWord) {
      reader.addFault(entry,
                      "\"IP:port ZONE ROLES\" with the roles entry, control or entry+control");
      return std::nullopt;
    }
    if (entry.key != settings_.id.value) {
      const auto [addressIt, isNew] =
        settingNamesByAddress_.emplace(toString(*parsedAddress), entry.key);
      if (!isNew) {
        reader.addFault(entry, "an address other than that of " + addressIt->second);
      }
    }
    return Peer{ ProcessId(entry.key), *parsedAddress, ZoneId(zone), *parsedRoles };
  }

  // Checks the entry of this process in [peers]. Its address may differ from the one that the
  // process listens on, for example 0.0.0.0. A zone or role that was already reported as a fault is
  // not compared.
  void checkOwnEntry(const ini::Section& section, const ini::Entry& entry, const Peer& ownEntry)
  {
    const auto hasRoles = settings_.roles.entry || settings_.roles.control;
    const auto hasOtherZone = !settings_.zone.empty() && ownEntry.zone != settings_.zone;
    if (hasOtherZone || (hasRoles && ownEntry.roles != settings_.roles)) {
      SectionReader(section, faults_)
        .addFault(entry, "the zone and roles of [process], because this is the process itself");
    }
  }

  std::string readKey(SectionReader& reader, std::string_view key)
  {
    const auto* entry = reader.entry(key, Presence::required);
    if (entry == nullptr) {
      return {};
    }
    if (!isKey(entry->value)) {
      addKeyFault(*entry,
                  "a key of " + std::to_string(entry->value.size()) + " bytes",
                  std::string(ini::kKeyRule));
    }
    const auto [keyIt, isNew] = settingNamesByKey_.emplace(entry->value, key);
    if (!isNew) {
      addKeyFault(*entry, "the key of " + keyIt->second, "a key that no other setting has");
    }
    return entry->value;
  }

  // Keys are secrets and must not appear in faults.
  void addKeyFault(const ini::Entry& entry, std::string actual, std::string allowed)
  {
    faults_.push_back(
      Fault{ "keys", entry.key, std::move(actual), std::move(allowed), entry.line });
  }

  void readKeys(const ini::Section& section)
  {
    SectionReader reader(section, faults_);
    settings_.keys.operators = readKey(reader, "operator");
    settings_.keys.endpoint = readKey(reader, "endpoint");
    settings_.keys.peer = readKey(reader, "peer");
    reader.rejectUnknownKeys();
  }

  void readLimits(const ini::Section& section)
  {
    SectionReader reader(section, faults_);
    const auto readInteger =
      [&](std::string_view key, std::int64_t min, std::int64_t max, auto defaultValue) {
        return reader.integer(key, { min, max }, Presence::optional)
          .value_or(static_cast<std::int64_t>(defaultValue));
      };
    auto& limits = settings_.limits;
    limits.maxHeadBytes =
      static_cast<std::size_t>(readInteger("max_head_bytes", 1024, 1048576, limits.maxHeadBytes));
    limits.maxBodyBytes =
      static_cast<std::size_t>(readInteger("max_body_bytes", 1024, 67108864, limits.maxBodyBytes));
    limits.senderTimeout = std::chrono::milliseconds(
      readInteger("sender_timeout_ms", 100, 600000, limits.senderTimeout.count()));
    limits.shutdownTimeout =
      std::chrono::seconds(readInteger("shutdown_s", 0, 3600, limits.shutdownTimeout.count()));
    limits.maxStreams =
      static_cast<std::size_t>(readInteger("max_streams", 1, 100000, limits.maxStreams));
    reader.rejectUnknownKeys();
  }

  ini::IniFile file_;
  Faults faults_;
  Settings settings_;
  std::map<std::string, std::string> settingNamesByAddress_;
  std::map<std::string, std::string> settingNamesByKey_;
};

} // namespace

tl::expected<Settings, Faults> parse(std::string_view text)
{
  return Builder(ini::parseAll(text)).build();
}

} // namespace figchute::settings
