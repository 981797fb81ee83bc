#pragma once

#include "core/Types.h"
#include "routing/RequestInfo.h"

#include <cstddef>

/** Helpers shared by the source files of RouterCore. */
namespace figchute::routing::detail {

constexpr double kBytesPerToken = 4;

/** Cost for an engine of reading one prompt token, relative to generating one token. */
constexpr double kPromptTokenCost = 0.02;

/** Returns the index of a rank in arrays with an entry per rank. Safe from any thread. */
inline std::size_t indexOf(Rank rank)
{
  return static_cast<std::size_t>(rank);
}

/** Returns the cost of reading a prompt, in units of generated tokens. Safe from any thread. */
inline double promptCost(const RequestInfo& requestInfo)
{
  return static_cast<double>(requestInfo.promptBytes) / kBytesPerToken * kPromptTokenCost;
}

} // namespace figchute::routing::detail
