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

// Reads role names; nothing when one is unknown or occurs twice.
std::optional<Roles> parseRoles(const std::vector<std::string>& names)
{
  Roles roles;
  for (const auto& name : names) {
    auto* role = name == "entry" ? &roles.entry : name == "control" ? &roles.control : nullptr;
    if (role == nullptr || *role) {
      return std::nullopt;
    }
    *role = true;
  }
  return roles;
}

std::optional<Roles> parsePeerRoles(const std::string& text)
{
  const auto plus = text.find('+');
  if (plus == std::string::npos) {
    return parseRoles({ text });
  }
  return parseRoles({ text.substr(0, plus), text.substr(plus + 1) });
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
  // A missing section is read as an empty one, so that its required keys are listed as faults.
  const ini::Section& section(std::string_view name)
  {
    static const std::map<std::string, ini::Section, std::less<>> kEmpty{
      { "process", { "process", 0, {} } }, { "listen", { "listen", 0, {} } },
      { "peers", { "peers", 0, {} } },     { "keys", { "keys", 0, {} } },
      { "limits", { "limits", 0, {} } },
    };
    const auto* present = file_.find(name);
    return present != nullptr ? *present : kEmpty.find(name)->second;
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
    const auto [other, isNew] = addresses_.emplace(toString(*address), key);
    if (!isNew) {
      reader.addFault(*entry, "an address other than that of " + other->second);
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
    std::size_t controls = settings_.roles.control ? 1 : 0;
    for (const auto& entry : section.entries) {
      auto peer = readPeer(section, entry);
      if (!peer) {
        continue;
      }
      if (peer->id == settings_.id) {
        checkSelf(section, entry, *peer);
        continue;
      }
      controls += peer->roles.control ? 1 : 0;
      settings_.peers.push_back(std::move(*peer));
    }
    const auto hasRoles = settings_.roles.entry || settings_.roles.control;
    if (hasRoles && (controls == 0 || controls > kMaxControlProcesses)) {
      faults_.push_back(Fault{ "peers",
                               "",
                               std::to_string(controls) + " processes with the role control",
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
    std::string rest;
    words >> address >> zone >> roles;
    const auto parsedAddress = parseAddress(address);
    const auto parsedRoles = parsePeerRoles(roles);
    SectionReader reader(section, faults_);
    if (!isName(entry.key)) {
      faults_.push_back(Fault{ "peers", entry.key, entry.key, std::string(kNameRule), entry.line });
      return std::nullopt;
    }
    if (!parsedAddress || !parsedRoles || !isName(zone) || words >> rest) {
      reader.addFault(entry,
                      "\"IP:port ZONE ROLES\" with the roles entry, control or entry+control");
      return std::nullopt;
    }
    if (entry.key != settings_.id.value) {
      const auto [other, isNew] = addresses_.emplace(toString(*parsedAddress), entry.key);
      if (!isNew) {
        reader.addFault(entry, "an address other than that of " + other->second);
      }
    }
    return Peer{ ProcessId(entry.key), *parsedAddress, ZoneId(zone), *parsedRoles };
  }

  // The address may differ from the one that the process listens on, for example 0.0.0.0. A zone or
  // role that is a fault of its own is not compared.
  void checkSelf(const ini::Section& section, const ini::Entry& entry, const Peer& self)
  {
    const auto hasRoles = settings_.roles.entry || settings_.roles.control;
    const auto isOtherZone = !settings_.zone.empty() && self.zone != settings_.zone;
    if (isOtherZone || (hasRoles && self.roles != settings_.roles)) {
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
      faultKey(*entry,
               "a key of " + std::to_string(entry->value.size()) + " bytes",
               std::string(ini::kKeyRule));
    }
    const auto [other, isNew] = keys_.emplace(entry->value, key);
    if (!isNew) {
      faultKey(*entry, "the key of " + other->second, "a key of its own");
    }
    return entry->value;
  }

  // Keys are secrets and are not repeated in faults.
  void faultKey(const ini::Entry& entry, std::string found, std::string allowed)
  {
    faults_.push_back(Fault{ "keys", entry.key, std::move(found), std::move(allowed), entry.line });
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
    const auto read = [&](std::string_view key, std::int64_t min, std::int64_t max, auto fallback) {
      return reader.integer(key, { min, max }, Presence::optional)
        .value_or(static_cast<std::int64_t>(fallback));
    };
    auto& limits = settings_.limits;
    limits.maxHeadBytes =
      static_cast<std::size_t>(read("max_head_bytes", 1024, 1048576, limits.maxHeadBytes));
    limits.maxBodyBytes =
      static_cast<std::size_t>(read("max_body_bytes", 1024, 67108864, limits.maxBodyBytes));
    limits.senderTimeout = std::chrono::milliseconds(
      read("sender_timeout_ms", 100, 600000, limits.senderTimeout.count()));
    limits.shutdownTimeout =
      std::chrono::seconds(read("shutdown_s", 0, 3600, limits.shutdownTimeout.count()));
    limits.maxStreams = static_cast<std::size_t>(read("max_streams", 1, 100000, limits.maxStreams));
    reader.rejectUnknownKeys();
  }

  ini::IniFile file_;
  Faults faults_;
  Settings settings_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> keys_;
};

} // namespace

tl::expected<Settings, Faults> parse(std::string_view text)
{
  return Builder(ini::parseAll(text)).build();
}

} // namespace figchute::settings
