#include "ledger/BudgetRefusal.h"

namespace figchute::ledger {

std::string_view nameOf(RefusalReason reason)
{
  switch (reason) {
    case RefusalReason::spent:
      return "spent";
    case RefusalReason::heldByOthers:
      return "held";
    case RefusalReason::reserve:
      return "reserve";
    case RefusalReason::notGranted:
      return "late";
  }
  return "";
}

RefusalReason refusalReason(const KnownTokens& tokens, Tokens bound, bool grantIsAnswered)
{
  const auto shortfall = bound - tokens.available;
  if (!grantIsAnswered) {
    return tokens.reserve >= shortfall ? RefusalReason::reserve : RefusalReason::notGranted;
  }
  // An older control process does not state what other holders have.
  const bool isElsewhere =
    !tokens.others || tokens.free.value_or(Tokens{ 0 }) + *tokens.others >= shortfall;
  return isElsewhere ? RefusalReason::heldByOthers : RefusalReason::spent;
}

} // namespace figchute::ledger
