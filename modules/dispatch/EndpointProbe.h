#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace figchute::dispatch {

/** An endpoint that may have crashed. A connection attempt shows whether it is down. */
struct EndpointProbe
{
  std::size_t handle = 0;
  /** IP:port. */
  std::string address;
};

/** The result of a connection attempt. */
enum class ProbeResult : std::uint8_t
{
  connected,
  /** No process listens at the address. */
  refused,
  /** No answer in time: the endpoint may be down or unreachable. */
  timedOut,
};

} // namespace figchute::dispatch
