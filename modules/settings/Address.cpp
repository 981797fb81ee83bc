#include "settings/Address.h"

#include <arpa/inet.h>
#include <charconv>
#include <system_error>

namespace figchute::settings {
namespace {

bool isNumericAddress(int family, const std::string& ip)
{
  in6_addr parsedAddress{};
  return inet_pton(family, ip.c_str(), &parsedAddress) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
  std::uint16_t port = 0;
  const auto* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end || port == 0) {
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
  auto hostPart = text.substr(0, colon);
  const auto isBracketed =
    hostPart.size() > 2 && hostPart.starts_with('[') && hostPart.ends_with(']');
  if (isBracketed) {
    hostPart = hostPart.substr(1, hostPart.size() - 2);
  }
  const std::string ip(hostPart);
  if (!port || !isNumericAddress(isBracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return Address{ ip, *port };
}

std::string toString(const Address& address)
{
  const auto isIpv6 = address.ip.find(':') != std::string::npos;
  const auto hostPart = isIpv6 ? "[" + address.ip + "]" : address.ip;
  return hostPart + ":" + std::to_string(address.port);
}

} // namespace figchute::settings
