#include "LedgerRun.h"

#include <algorithm>
#include <cmath>

namespace figchute::measure {
namespace {

constexpr Duration kStep{ 1000 };
constexpr Duration kRunTime{ 120'000'000 };
/** After the last arrival, answers end and books are settled. */
constexpr Duration kTailTime{ 60'000'000 };
constexpr Duration kCutStart{ 40'000'000 };
constexpr Duration kCutEnd{ 80'000'000 };
constexpr Duration kTopUpAt{ 55'000'000 };
constexpr Duration kCrashAt{ 45'000'000 };
constexpr Duration kCrashPause{ 1'000'000 };
constexpr int kCrashedVm = kEntryVms - 1;

constexpr int kWorkspaces = 10;
constexpr double kRequestsPerSecond = 40;
/** The share of the workspace of rank n is proportional to 1 / n: a few are large. */
constexpr double kHarmonic = 2.9289682539682538;
/** Every third workspace has a caller with a budget of its own. */
constexpr int kCallerEvery = 3;
/** Documents set min_bytes_per_token to this; texts have about four bytes per token. */
constexpr double kMinBytesPerToken = 3;
constexpr double kBytesPerToken = 4;
constexpr std::int64_t kAllowance = 16;
constexpr Duration kFirstToken{ 250'000 };
constexpr Duration kBetweenTokens{ 25'000 };
/** Mean cost of a request: the mean prompt is 420, a third of the mean of kMaxTokens is 160. */
constexpr double kMeanCost = 580;

constexpr std::int64_t kPromptLow = 40;
constexpr std::int64_t kPromptHigh = 800;
constexpr std::int64_t kMaxTokens[] = { 128, 256, 512, 1024 };

double seconds(Duration duration)
{
  return static_cast<double>(duration.count()) / 1e6;
}

double millis(Duration duration)
{
  return static_cast<double>(duration.count()) / 1e3;
}

BudgetId workspaceBudget(int index)
{
  return BudgetId("w:t/w" + std::to_string(index));
}

BudgetId callerBudget(int index)
{
  return BudgetId("c:t/c" + std::to_string(index));
}

double shareOf(int workspace)
{
  return 1.0 / (static_cast<double>(workspace + 1) * kHarmonic);
}

} // namespace

LedgerRun::LedgerRun(const Site& site,
                     const LedgerScenario& scenario,
                     BudgetPolicy& policy,
                     std::uint64_t seed)
  : site_(site)
  , scenario_(scenario)
  , policy_(policy)
  , random_(seed)
  , now_(start())
  , lives_(kEntryVms, 0)
  , downUntil_(kEntryVms, start())
{
}

void LedgerRun::buy(double share)
{
  std::vector<ledger::Purchase> purchases;
  for (int i = 0; i < kWorkspaces; ++i) {
    const auto use = kMeanCost * kRequestsPerSecond * seconds(kRunTime) * shareOf(i);
    const Tokens amount{ static_cast<std::int64_t>(use * share) };
    purchases.push_back({ workspaceBudget(i), amount });
    if (i % kCallerEvery == 0) {
      purchases.push_back({ callerBudget(i), amount });
    }
  }
  for (const auto& [budget, bought] : purchases) {
    bought_[budget] = bought;
  }
  policy_.buy(now_, purchases);
}

bool LedgerRun::isCut(int vm) const
{
  return cutZone_ >= 0 && vm % site_.zones == cutZone_;
}

void LedgerRun::arrive()
{
  const auto expectedArrivals = kRequestsPerSecond * seconds(kStep);
  if (!random_.chance(expectedArrivals)) {
    return;
  }
  Request request;
  request.vm = static_cast<int>(random_.below(kEntryVms));
  auto point = random_.unit();
  int workspace = 0;
  while (workspace < kWorkspaces - 1 && point >= shareOf(workspace)) {
    point -= shareOf(workspace++);
  }
  request.budgets.push_back(workspaceBudget(workspace));
  if (workspace % kCallerEvery == 0) {
    request.budgets.push_back(callerBudget(workspace));
  }
  request.prompt = Tokens{ random_.between(kPromptLow, kPromptHigh) };
  request.maxTokens = Tokens{ kMaxTokens[random_.below(std::size(kMaxTokens))] };
  const auto part = random_.unit();
  request.generated = Tokens{
    1 + static_cast<std::int64_t>(static_cast<double>(request.maxTokens.count - 1) * part * part)
  };
  const auto bytes = static_cast<double>(request.prompt.count) * kBytesPerToken;
  request.promptBound =
    Tokens{ static_cast<std::int64_t>(std::ceil(bytes / kMinBytesPerToken)) + kAllowance };
  if (downUntil_[static_cast<std::size_t>(request.vm)] > now_) {
    return;
  }
  ++requests_;
  request.life = lives_[static_cast<std::size_t>(request.vm)];
  const RequestId id("r" + std::to_string(requests_));
  running_[id] = request;
  const auto bound = request.promptBound + request.maxTokens;
  const auto decision = policy_.reserve(now_, request.vm, id, request.budgets, bound);
  waits_ += decision.status == ledger::ReserveStatus::waiting ? 1 : 0;
  decide(decision);
}

void LedgerRun::decide(const ledger::Decision& decision)
{
  const auto found = running_.find(decision.request);
  if (found == running_.end() || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  auto& request = found->second;
  if (decision.status == ledger::ReserveStatus::refused) {
    countRefusal(request);
    running_.erase(found);
    return;
  }
  request.reserved = request.promptBound + request.maxTokens;
  for (const auto& budget : request.budgets) {
    reserved_[budget] += request.reserved;
  }
  events_.emplace(now_ + kFirstToken, Event{ decision.request, true });
  const auto length = kFirstToken + kBetweenTokens * request.generated.count;
  events_.emplace(now_ + length, Event{ decision.request, false });
}

Tokens LedgerRun::reachable(int vm, const BudgetId& budget) const
{
  const auto find = [&budget](const std::map<BudgetId, Tokens>& amounts) {
    const auto found = amounts.find(budget);
    return found == amounts.end() ? Tokens{ 0 } : found->second;
  };
  Tokens inCutZone;
  for (int other = 0; other < kEntryVms; ++other) {
    if (isCut(other)) {
      inCutZone += policy_.available(other, budget);
    }
  }
  if (isCut(vm)) {
    return inCutZone;
  }
  return find(bought_) - find(spent_) - find(reserved_) - inCutZone;
}

void LedgerRun::countRefusal(const Request& request)
{
  const auto cost = request.prompt + request.generated;
  const auto bound = request.promptBound + request.maxTokens;
  const auto holds = [&](Tokens amount) {
    return std::all_of(request.budgets.begin(), request.budgets.end(), [&](const BudgetId& budget) {
      return reachable(request.vm, budget) >= amount;
    });
  };
  falseRefusals_ += holds(cost) ? 1 : 0;
  avoidableRefusals_ += holds(bound) ? 1 : 0;
}

void LedgerRun::handle(const Event& event)
{
  const auto found = running_.find(event.request);
  if (found == running_.end()) {
    return;
  }
  auto& request = found->second;
  if (event.first) {
    const auto bound = request.prompt + request.maxTokens;
    policy_.reduceReservation(now_, request.vm, event.request, bound);
    for (const auto& budget : request.budgets) {
      reserved_[budget] -= request.reserved - bound;
    }
    request.reserved = bound;
    return;
  }
  request.charged = request.prompt + request.generated;
  policy_.charge(now_, request.vm, event.request, request.charged);
  for (const auto& budget : request.budgets) {
    reserved_[budget] -= request.reserved;
    spent_[budget] += request.charged;
  }
}

void LedgerRun::crashVm()
{
  policy_.crash(now_, kCrashedVm, kCrashPause);
  ++lives_[kCrashedVm];
  downUntil_[kCrashedVm] = now_ + kCrashPause;
  for (auto at = running_.begin(); at != running_.end();) {
    const auto& request = at->second;
    if (request.vm != kCrashedVm) {
      ++at;
      continue;
    }
    // An answer whose last byte was not sent is not billed; its reservation ends with the process.
    for (const auto& budget : request.budgets) {
      if (request.charged < Tokens{ 0 }) {
        reserved_[budget] -= request.reserved;
      } else {
        spent_[budget] -= request.charged;
      }
    }
    at = running_.erase(at);
  }
  recoverFrom_ = now_ + kCrashPause;
  recoverBilled_ = billed_;
}

void LedgerRun::schedule()
{
  const auto age = now_ - start();
  if (age == kTopUpAt) {
    buy(scenario_.boughtAfterTopUp);
    changedAt_ = now_;
  }
  if (!scenario_.cutsZone && age == kCrashAt) {
    crashVm();
  }
  if (scenario_.cutsZone && age == kCutStart) {
    cutZone_ = site_.zones - 1;
    policy_.cut(cutZone_);
  }
  if (scenario_.cutsZone && age == kCutEnd) {
    cutZone_ = -1;
    policy_.cut(-1);
    healedAt_ = now_;
    recoverFrom_ = now_;
    recoverBilled_ = billed_;
  }
}

void LedgerRun::watch()
{
  for (int vm = 0; vm < kEntryVms; ++vm) {
    for (const auto& decision : policy_.takeDecisions(vm)) {
      decide(decision);
    }
    for (const auto& id : policy_.takeRecordedCharges(vm)) {
      const auto found = running_.find(id);
      if (found == running_.end()) {
        continue;
      }
      for (const auto& budget : found->second.budgets) {
        delivered_[budget] += found->second.charged;
        billed_ += found->second.charged;
      }
      running_.erase(found);
    }
  }
  const auto everyVm = [this](int vm) { return policy_.informed(vm); };
  if (configMs_ < 0 && changedAt_ != Time{} && cutZone_ < 0) {
    bool all = true;
    for (int vm = 0; vm < kEntryVms; ++vm) {
      all = all && everyVm(vm);
    }
    if (all) {
      configMs_ = millis(now_ - std::max(changedAt_, healedAt_));
    }
  }
  if (recoveryMs_ < 0 && recoverFrom_ != Time{} && now_ >= recoverFrom_ &&
      policy_.recovered(recoverBilled_)) {
    recoveryMs_ = millis(now_ - recoverFrom_);
  }
}

double LedgerRun::overspend() const
{
  std::int64_t worst = 0;
  for (const auto& [budget, amount] : delivered_) {
    worst = std::max(worst, (amount - bought_.at(budget)).count);
  }
  return static_cast<double>(worst);
}

LedgerOutcome LedgerRun::run()
{
  buy(scenario_.boughtAtStart);
  // The fleet registers and learns the document before the first request.
  const auto first = now_ + Duration(2'000'000);
  const auto lastArrival = start() + kRunTime;
  const auto end = lastArrival + kTailTime;
  while (now_ < end) {
    now_ = now_ + kStep;
    policy_.advance(now_);
    schedule();
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = events_.begin()->second;
      events_.erase(events_.begin());
      handle(event);
    }
    if (now_ >= first && now_ < lastArrival) {
      arrive();
    }
    watch();
  }
  const auto perThousand = [this](std::uint64_t count) {
    return 1000.0 * static_cast<double>(count) / static_cast<double>(requests_);
  };
  return { overspend(),
           perThousand(falseRefusals_),
           perThousand(avoidableRefusals_),
           perThousand(waits_),
           configMs_,
           recoveryMs_ };
}

} // namespace figchute::measure
