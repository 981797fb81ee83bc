#include "admin/Announcement.h"

#include "admin/Parameters.h"

#include <arpa/inet.h>
#include <utility>

namespace figchute::admin {
namespace {

constexpr std::uint32_t kMaxRequests = 1000000;
// The model list of an endpoint at the design size holds at most 36 names.
constexpr std::size_t kMaxModels = 256;

// Reads the members of an announcement and collects every fault.
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
    result_.id = name("id");
    readAddress();
    result_.zone = name("zone");
    readKind();
    result_.slots = count("slots", 1, true);
    result_.running = count("running", 0, false);
    result_.waiting = count("waiting", 0, false);
    result_.checksFencing = flag("checks_fencing");
    result_.leaving = flag("leaving");
    if (!faults_.empty()) {
      return fail(ErrorKind::badRequest, faults_);
    }
    return std::move(result_);
  }

private:
  void fault(std::string_view member, std::string_view allowed)
  {
    const auto* found = value_.find(member);
    faults_.append(faults_.empty() ? "" : "; ").append(member).append(" = ");
    faults_.append(found == nullptr ? "missing" : json::dump(*found).substr(0, 80));
    faults_.append(": expected ").append(allowed);
  }

  const std::string* text(std::string_view member)
  {
    const auto* found = value_.find(member);
    return found != nullptr ? found->asString() : nullptr;
  }

  std::string name(std::string_view member)
  {
    const auto* found = text(member);
    if (found == nullptr || !isName(*found)) {
      fault(member, "a name of 1 to 64 letters, digits, '-', '_' and '.'");
      return {};
    }
    return *found;
  }

  void readAddress()
  {
    const auto* found = text("address");
    if (found == nullptr || !parseAddress(*found)) {
      fault("address", "a numeric address \"IP:port\" or \"[IPv6]:port\"");
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
    result_.ip = ip;
    result_.port = static_cast<std::uint16_t>(*port);
    return true;
  }

  void readKind()
  {
    const auto* kind = text("kind");
    if (kind != nullptr && *kind == "model") {
      readModels();
    } else if (kind != nullptr && *kind == "plain") {
      result_.kind = EndpointKind::plain;
      result_.service = name("service");
    } else {
      fault("kind", "\"model\" or \"plain\"");
    }
  }

  void readModels()
  {
    const auto* found = value_.find("models");
    const auto* models = found != nullptr ? found->asArray() : nullptr;
    auto isSound = models != nullptr && !models->empty() && models->size() <= kMaxModels;
    for (std::size_t i = 0; isSound && i < models->size(); ++i) {
      const auto* model = (*models)[i].asString();
      isSound = model != nullptr && isName(*model);
      if (isSound) {
        result_.models.push_back(*model);
      }
    }
    if (!isSound) {
      fault("models", "1 to 256 names");
    }
  }

  std::uint32_t count(std::string_view member, std::uint32_t min, bool isRequired)
  {
    const auto* found = value_.find(member);
    if (found == nullptr && !isRequired) {
      return min;
    }
    const auto number = found != nullptr ? found->asInteger() : std::nullopt;
    if (!number || *number < min || *number > kMaxRequests) {
      fault(member, "an integer from " + std::to_string(min) + " to 1000000");
      return min;
    }
    return static_cast<std::uint32_t>(*number);
  }

  bool flag(std::string_view member)
  {
    const auto* found = value_.find(member);
    if (found == nullptr) {
      return false;
    }
    const auto value = found->asBool();
    if (!value) {
      fault(member, "true or false");
    }
    return value.value_or(false);
  }

  const json::Value& value_;
  Announcement result_;
  std::string faults_;
};

std::string addressText(const Announcement& announcement)
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
  value.set("address", addressText(announcement));
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
