#include "admin/Announcement.h"

#include "admin/Parameters.h"

#include <arpa/inet.h>
#include <utility>

namespace figchute::admin {
namespace {

constexpr std::uint32_t kMaxRequests = 1000000;
// At the design size, the model list of an endpoint contains at most 36 names.
constexpr std::size_t kMaxModels = 256;

/** Reads the members of an announcement and collects all faults. */
class AnnouncementReader
{
public:
  explicit AnnouncementReader(const json::Value& value)
    : value_(value)
  {
  }

  Expected<Announcement> read()
  {
    if (value_.asObject() == nullptr) {
      return fail(ErrorKind::badRequest, "an announcement must be a JSON object");
    }
    announcement_.id = readName("id");
    readAddress();
    announcement_.zone = readName("zone");
    readKind();
    announcement_.slots = readCount("slots", 1, true);
    announcement_.running = readCount("running", 0, false);
    announcement_.waiting = readCount("waiting", 0, false);
    announcement_.checksFencing = readFlag("checks_fencing");
    announcement_.leaving = readFlag("leaving");
    if (!faults_.empty()) {
      return fail(ErrorKind::badRequest, faults_);
    }
    return std::move(announcement_);
  }

private:
  void addFault(std::string_view member, std::string_view allowed)
  {
    const auto* memberValue = value_.find(member);
    faults_.append(faults_.empty() ? "" : "; ").append(member).append(" = ");
    faults_.append(memberValue == nullptr ? "missing" : json::dump(*memberValue).substr(0, 80));
    faults_.append(": expected ").append(allowed);
  }

  const std::string* findText(std::string_view member)
  {
    const auto* memberValue = value_.find(member);
    return memberValue != nullptr ? memberValue->asString() : nullptr;
  }

  std::string readName(std::string_view member)
  {
    const auto* nameText = findText(member);
    if (nameText == nullptr || !isName(*nameText)) {
      addFault(member, "a name of 1 to 64 letters, digits, '-', '_' and '.'");
      return {};
    }
    return *nameText;
  }

  void readAddress()
  {
    const auto* address = findText("address");
    if (address == nullptr || !parseAddress(*address)) {
      addFault("address", "a numeric address \"IP:port\" or \"[IPv6]:port\"");
    }
  }

  bool parseAddress(const std::string& address)
  {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
      return false;
    }
    const auto port = parseUnsigned(address.substr(colon + 1), 65535);
    auto ip = address.substr(0, colon);
    const auto isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed) {
      ip = ip.substr(1, ip.size() - 2);
    }
    in6_addr buffer{};
    if (!port || *port == 0 ||
        inet_pton(isBracketed ? AF_INET6 : AF_INET, ip.c_str(), &buffer) != 1) {
      return false;
    }
    announcement_.ip = ip;
    announcement_.port = static_cast<std::uint16_t>(*port);
    return true;
  }

  void readKind()
  {
    const auto* kind = findText("kind");
    if (kind != nullptr && *kind == "model") {
      readModels();
    } else if (kind != nullptr && *kind == "plain") {
      announcement_.kind = EndpointKind::plain;
      announcement_.service = readName("service");
    } else {
      addFault("kind", "\"model\" or \"plain\"");
    }
  }

  void readModels()
  {
    const auto* memberValue = value_.find("models");
    const auto* models = memberValue != nullptr ? memberValue->asArray() : nullptr;
    auto areValid = models != nullptr && !models->empty() && models->size() <= kMaxModels;
    for (std::size_t i = 0; areValid && i < models->size(); ++i) {
      const auto* model = (*models)[i].asString();
      areValid = model != nullptr && isName(*model);
      if (areValid) {
        announcement_.models.push_back(*model);
      }
    }
    if (!areValid) {
      addFault("models", "1 to 256 names");
    }
  }

  std::uint32_t readCount(std::string_view member, std::uint32_t min, bool isRequired)
  {
    const auto* memberValue = value_.find(member);
    if (memberValue == nullptr && !isRequired) {
      return min;
    }
    const auto number = memberValue != nullptr ? memberValue->asInteger() : std::nullopt;
    if (!number || *number < min || *number > kMaxRequests) {
      addFault(member, "an integer from " + std::to_string(min) + " to 1000000");
      return min;
    }
    return static_cast<std::uint32_t>(*number);
  }

  bool readFlag(std::string_view member)
  {
    const auto* memberValue = value_.find(member);
    if (memberValue == nullptr) {
      return false;
    }
    const auto value = memberValue->asBool();
    if (!value) {
      addFault(member, "true or false");
    }
    return value.value_or(false);
  }

  const json::Value& value_;
  Announcement announcement_;
  std::string faults_;
};

std::string formatAddress(const Announcement& announcement)
{
  const auto isV6 = announcement.ip.find(':') != std::string::npos;
  const auto host = isV6 ? "[" + announcement.ip + "]" : announcement.ip;
  return host + ":" + std::to_string(announcement.port);
}

} // namespace

Expected<Announcement> parseAnnouncement(const json::Value& value)
{
  return AnnouncementReader(value).read();
}

json::Value toJson(const Announcement& announcement)
{
  auto value = json::Value::object();
  value.set("id", announcement.id);
  value.set("address", formatAddress(announcement));
  value.set("zone", announcement.zone);
  if (announcement.kind == EndpointKind::plain) {
    value.set("kind", "plain").set("service", announcement.service);
  } else {
    auto models = json::Value::array();
    for (const auto& model : announcement.models) {
      models.push(model);
    }
    value.set("kind", "model").set("models", std::move(models));
  }
  value.set("slots", announcement.slots);
  value.set("running", announcement.running);
  value.set("waiting", announcement.waiting);
  value.set("checks_fencing", announcement.checksFencing);
  value.set("leaving", announcement.leaving);
  return value;
}

} // namespace figchute::admin
