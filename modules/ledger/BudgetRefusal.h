#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace figchute::ledger {

/** Why a reservation was refused although its request could have run. */
enum class RefusalReason : std::uint8_t
{
  /** Control answered that neither free tokens nor those of other holders cover the request. */
  spent,
  /** Control answered that other holders have enough tokens, but they did not arrive in time. */
  heldByOthers,
  /** The holder has enough tokens in its reserve, which it may not unlock. */
  reserve,
  /** Control did not answer in time, and neither the reserve nor other holders had enough. */
  notGranted,
};

/** Returns the name of a reason in log lines and metrics. */
[[nodiscard]] std::string_view nameOf(RefusalReason reason);

/** The tokens of a budget that a holder knows of. */
struct KnownTokens
{
  /** The holder's own unlocked tokens that are not reserved. */
  Tokens available;
  /** The holder's own reserve. */
  Tokens reserve;
  /** The tokens that were free after the last grant, if control has said so. */
  std::optional<Tokens> free;
  /** The tokens of other holders at the last grant, including their reserves but not what their
      running requests have reserved, if control has said so. */
  std::optional<Tokens> others;
};

/** The cause of a refused reservation. */
struct BudgetRefusal
{
  RefusalReason reason = RefusalReason::notGranted;
  KnownTokens tokens;
};

/** Decides why a waiting request is refused.
    @param bound            the upper bound of the request
    @param grantIsAnswered  whether control has answered a grant request since the request waits and
                            still answers */
[[nodiscard]] RefusalReason refusalReason(const KnownTokens& tokens,
                                          Tokens bound,
                                          bool grantIsAnswered);

} // namespace figchute::ledger
