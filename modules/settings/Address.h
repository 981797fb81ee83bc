#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::settings {

/** A numeric IP address with a TCP port. */
struct Address
{
  /** IPv4 in dotted notation, or IPv6 without brackets. */
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

/** Parses `IPv4:port` or `[IPv6]:port` with a port from 1 to 65535; names are not resolved.
    @returns the address, or std::nullopt if the text has another form
    Thread safety: safe from any thread. */
std::optional<Address> parseAddress(std::string_view text);

/** Returns the address in the form that parseAddress() parses.
    Thread safety: safe from any thread. */
std::string toString(const Address& address);

} // namespace figchute::settings
