#pragma once

#include "core/core.h"

#include <algorithm>
#include <cstdint>

namespace figchute::ledger::detail {

/** A holder that cannot reach control may unlock one part in this many of its reserve. It bounds
    what is lost with a holder and all its witnesses: with the whole reserve, the failure of all
    entry processes would use up every budget. */
constexpr std::int64_t kUnlockableReserveDivisor = 3;

/** Returns the highest total of unlocked tokens that a holder may reach without a further
    confirmation from control. It never decreases when either argument increases. The holder
    evaluates it with the totals that control has confirmed and control with its own totals, which
    are never lower, so control's limit is never below the holder's.
    @param granted   the cumulative tokens granted to the holder
    @param unlocked  the part of @p granted that control has unlocked or was told to be unlocked */
constexpr Tokens unlockLimit(Tokens granted, Tokens unlocked)
{
  const auto reserve = std::max(Tokens{ 0 }, granted - unlocked);
  return unlocked + Tokens{ reserve.count / kUnlockableReserveDivisor };
}

} // namespace figchute::ledger::detail
