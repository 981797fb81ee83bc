#include "settings/Settings.h"

#include <algorithm>

namespace figchute::settings {

std::string toString(Roles roles)
{
  if (roles.entry && roles.control) {
    return "entry+control";
  }
  return roles.control ? "control" : "entry";
}

std::string_view toString(LogLevel level)
{
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      break;
  }
  return "error";
}

const Peer* Settings::findPeer(const ProcessId& peer) const
{
  const auto peerIt = std::ranges::find(peers, peer, &Peer::id);
  return peerIt == peers.end() ? nullptr : &*peerIt;
}

} // namespace figchute::settings
