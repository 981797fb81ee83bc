#pragma once

#include "dispatch/BrittleEndpoints.h"
#include "dispatch/ColdShares.h"

#include <cstdint>
#include <vector>

namespace figchute::dispatch {

/** What changed in the conditions of endpoints. */
struct ConditionChanges
{
  std::vector<ColdChange> cold;
  std::vector<BrittleChange> brittle;
  /** Requests that brittle endpoints refused. */
  std::uint64_t brittleRefusals = 0;
};

} // namespace figchute::dispatch
