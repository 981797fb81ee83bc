#include "settings/Address.h"

#include <arpa/inet.h>
#include <charconv>
#include <system_error>

namespace figchute::settings {
namespace {

bool isNumeric(int family, const std::string& ip)
{
  in6_addr buffer{};
  return inet_pton(family, ip.c_str(), &buffer) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
  std::uint16_t port = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = parsePort(text.substr(colon + 1));
  auto host = text.substr(0, colon);
  const auto isBracketed = host.size() > 2 && host.starts_with('[') && host.ends_with(']');
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string ip(host);
  if (!port || !isNumeric(isBracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return Address{ ip, *port };
}

std::string toString(const Address& address)
{
  const auto isV6 = address.ip.find(':') != std::string::npos;
  const auto host = isV6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

} // namespace figchute::settings
