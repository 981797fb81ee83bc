#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>

namespace figchute::ledger::detail {

/** What a holder knows when it decides how many tokens to request ahead of need. */
struct StockState
{
  /** The holder's unlocked tokens that are not reserved. */
  Tokens available;
  /** The tokens that it should have available, from its own demand. */
  Tokens target;
  /** The tokens that were free after its last grant, if control has said so. */
  std::optional<Tokens> free;
  /** The holder's reserve, which control unlocks for a request that exceeds what is free. */
  Tokens reserve;
  /** The amount of the whole budget. */
  Tokens prepaid;
};

/** Returns the tokens that a holder requests in addition to those that its waiting requests lack,
    so that later requests need not wait. 0 while it has most of its target, and while so little is
    free that the budget would count as low for such a request. */
[[nodiscard]] Tokens stockRequest(const StockState& state);

/** What a holder knows when it decides how much of its reserve it needs. */
struct ReserveState
{
  Tokens reserve;
  /** The holder's expected demand in the time that a reserve has to last. */
  Tokens demand;
  /** The tokens that were free after its last grant, if control has said so. */
  std::optional<Tokens> free;
  /** The amount of the whole budget. */
  Tokens prepaid;
  /** The number of holders. */
  std::int64_t holderCount = 1;
};

/** Returns the part of a reserve that its holder returns. Control sizes reserves by the use that
    holders have reported so far; while only few of them have, these get most of a budget, and
    nothing is free for the requests at the others. */
[[nodiscard]] Tokens reserveToReturn(const ReserveState& state);

} // namespace figchute::ledger::detail
