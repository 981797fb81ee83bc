#pragma once

#include "core/Types.h"
#include "routing/Work.h"

#include <cstddef>

/** Small helpers that the parts of RouterCore share. */
namespace figchute::routing::detail {

constexpr double kBytesPerToken = 4;

/** Reading a prompt costs an engine about this part of generating the same number of tokens. */
constexpr double kPromptCost = 0.02;

/** Returns the place of a rank in arrays by rank. Safe from any thread. */
inline std::size_t indexOf(Rank rank)
{
  return static_cast<std::size_t>(rank);
}

/** Returns what reading a prompt costs, in generated tokens. Safe from any thread. */
inline double promptCharge(const Work& work)
{
  return static_cast<double>(work.promptBytes) / kBytesPerToken * kPromptCost;
}

} // namespace figchute::routing::detail
