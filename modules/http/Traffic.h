#pragma once

#include <cstdint>

namespace figchute::http {

/** The bytes that were read from and written to a group of connections since the start. */
struct Traffic
{
  std::uint64_t receivedBytes = 0;
  std::uint64_t sentBytes = 0;
};

} // namespace figchute::http
