#include "ledger/Budget.h"

#include <algorithm>

namespace figchute::ledger::detail {
namespace {

/** Long enough to even out the settle batches, short enough to follow a workspace that gets hot. */
constexpr Duration kUseInterval{ 5'000'000 };

/** Orders accounts by holder for binary search. */
constexpr auto kByHolder = [](const HolderAccount& account, const HolderId& holder) {
  return account.holder < holder;
};

} // namespace

void RecentUse::add(Time time, Tokens amount)
{
  const auto age = time - start;
  if (age >= kUseInterval) {
    last = age < 2 * kUseInterval ? current : Tokens{ 0 };
    current = Tokens{ 0 };
    start = time;
  }
  current += amount;
}

double RecentUse::perSecond(Time time) const
{
  const auto age = std::clamp(time - start, Duration{ 0 }, 2 * kUseInterval);
  const auto seconds = static_cast<double>((age + kUseInterval).count()) / 1e6;
  return static_cast<double>((last + current).count) / seconds;
}

HolderAccount* Budget::find(const HolderId& holder)
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kByHolder);
  return at != accounts.end() && at->holder == holder ? &*at : nullptr;
}

const HolderAccount* Budget::find(const HolderId& holder) const
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kByHolder);
  return at != accounts.end() && at->holder == holder ? &*at : nullptr;
}

HolderAccount& Budget::findOrOpen(const HolderId& holder)
{
  auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kByHolder);
  if (at == accounts.end() || at->holder != holder) {
    at = accounts.insert(at, HolderAccount{});
    at->holder = holder;
  }
  return *at;
}

Flow& Budget::flow(const HolderId& from, const HolderId& to)
{
  for (auto& flow : flows) {
    if (flow.from == from && flow.to == to) {
      return flow;
    }
  }
  flows.push_back(Flow{ from, to, {}, {}, false, false });
  return flows.back();
}

bool Budget::hasFlows(const HolderId& holder) const
{
  return std::any_of(flows.begin(), flows.end(), [&holder](const Flow& flow) {
    return flow.from == holder || flow.to == holder;
  });
}

Tokens Budget::held(const HolderAccount& account) const
{
  auto held = account.granted - account.settled() - account.returned;
  for (const auto& flow : flows) {
    if (flow.to == account.holder) {
      held += flow.total();
    }
    if (flow.from == account.holder) {
      held -= flow.total();
    }
  }
  return held;
}

Tokens Budget::held() const
{
  Tokens sum;
  for (const auto& account : accounts) {
    sum += held(account);
  }
  return sum;
}

Tokens Budget::settled() const
{
  auto sum = closedSettled;
  for (const auto& account : accounts) {
    sum += account.settled();
  }
  return sum;
}

Tokens Budget::free() const
{
  auto free = bought - closedNet;
  for (const auto& account : accounts) {
    free -= account.granted - account.returned;
  }
  return free;
}

Tokens Budget::grantable() const
{
  return closed ? Tokens{ 0 } : std::max(Tokens{ 0 }, free());
}

void Budget::close(const HolderId& holder)
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kByHolder);
  closedSettled += at->settled();
  closedNet += at->granted - at->returned;
  accounts.erase(at);
  accounts.shrink_to_fit();
}

} // namespace figchute::ledger::detail
