#include "ledger/GrantSizing.h"

#include "ledger/UnlockLimit.h"

#include <algorithm>

namespace figchute::ledger::detail {
namespace {

/** A holder requests at most one part in this many of what was free. Control answers a request for
    more than is free by recalls from all holders, and several holders request at the same time. */
constexpr std::int64_t kFreeDivisor = 8;
/** Nothing is requested ahead once less than one part in this many of a budget is free: what others
    take between two grants of a holder could then exhaust it. */
constexpr std::int64_t kFreeCutoffDivisor = 20;

/** A holder converts at most one part in this many of its reserve at a time. */
constexpr std::int64_t kReserveDivisor = 4;

/** No reserve is returned while more than one part in this many of a budget is free. */
constexpr std::int64_t kPlentyDivisor = 4;

} // namespace

Tokens stockRequest(const StockState& state)
{
  const bool isFilled = 4 * state.available.count >= 3 * state.target.count;
  if (isFilled || !state.free) {
    return {};
  }
  const bool mayTakeFree = state.free->count * kFreeCutoffDivisor >= state.prepaid.count;
  const Tokens fromFree{ mayTakeFree ? state.free->count / kFreeDivisor : 0 };
  const Tokens fromReserve{ state.reserve.count / kReserveDivisor };
  return std::min(state.target - state.available, std::max(fromFree, fromReserve));
}

Tokens reserveToReturn(const ReserveState& state)
{
  if (!state.free || state.free->count * kPlentyDivisor > state.prepaid.count) {
    return {};
  }
  const Tokens equalShare{ state.prepaid.count / std::max<std::int64_t>(1, state.holderCount) };
  const auto needed = equalShare + Tokens{ kUnlockableReserveDivisor * state.demand.count };
  // A small excess is not worth a message.
  return 4 * state.reserve.count > 5 * needed.count ? state.reserve - needed : Tokens{ 0 };
}

} // namespace figchute::ledger::detail
