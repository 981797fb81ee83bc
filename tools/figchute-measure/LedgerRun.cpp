#include "LedgerRun.h"

#include <algorithm>
#include <cmath>

namespace figchute::measure {
namespace {

constexpr Duration kTimeStep{ 1000 };
constexpr Duration kArrivalDuration{ 120'000'000 };
/** Time after the last arrival in which answers end and accounts are settled. */
constexpr Duration kSettlementDuration{ 60'000'000 };
constexpr Duration kPartitionStart{ 40'000'000 };
constexpr Duration kPartitionEnd{ 80'000'000 };
constexpr Duration kTopUpTime{ 55'000'000 };
constexpr Duration kCrashTime{ 45'000'000 };
constexpr Duration kRestartDelay{ 1'000'000 };
constexpr int kCrashedVmIndex = kEntryVmCount - 1;

constexpr int kWorkspaceCount = 10;
constexpr double kRequestsPerSecond = 40;
/** Sum of 1 / n over the workspaces. The load share of the workspace of rank n is proportional to
    1 / n, so that a few are large. */
constexpr double kHarmonicSum = 2.9289682539682538;
/** Every third workspace has a caller with its own budget. */
constexpr int kWorkspacesPerCallerBudget = 3;
/** Value of min_bytes_per_token in the documents; texts have about four bytes per token. */
constexpr double kMinBytesPerToken = 3;
constexpr double kBytesPerToken = 4;
constexpr std::int64_t kPromptTokenAllowance = 16;
constexpr Duration kTimeToFirstToken{ 250'000 };
constexpr Duration kTimeBetweenTokens{ 25'000 };
/** Mean cost of a request in tokens: the mean prompt is 420, and a third of the mean of
    kMaxTokensChoices is 160. */
constexpr double kMeanRequestTokens = 580;

constexpr std::int64_t kMinPromptTokens = 40;
constexpr std::int64_t kMaxPromptTokens = 800;
constexpr std::int64_t kMaxTokensChoices[] = { 128, 256, 512, 1024 };

double toMillis(Duration duration)
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

double loadShareOf(int workspace)
{
  return 1.0 / (static_cast<double>(workspace + 1) * kHarmonicSum);
}

} // namespace

LedgerRun::LedgerRun(const Deployment& deployment,
                     const LedgerScenario& scenario,
                     BudgetPolicy& policy,
                     std::uint64_t seed)
  : deployment_(deployment)
  , scenario_(scenario)
  , policy_(policy)
  , random_(seed)
  , now_(startTime())
  , incarnations_(kEntryVmCount, 0)
  , restartTimes_(kEntryVmCount, startTime())
{
}

void LedgerRun::purchaseBudgets(double useShare)
{
  std::vector<ledger::Purchase> purchases;
  for (int workspace = 0; workspace < kWorkspaceCount; ++workspace) {
    const auto expectedUse = kMeanRequestTokens * kRequestsPerSecond * toSeconds(kArrivalDuration) *
                             loadShareOf(workspace);
    const Tokens purchasedAmount{ static_cast<std::int64_t>(expectedUse * useShare) };
    purchases.push_back({ workspaceBudget(workspace), purchasedAmount });
    if (workspace % kWorkspacesPerCallerBudget == 0) {
      purchases.push_back({ callerBudget(workspace), purchasedAmount });
    }
  }
  for (const auto& [budget, purchased] : purchases) {
    purchased_[budget] = purchased;
  }
  policy_.applyPurchases(now_, purchases);
}

bool LedgerRun::isPartitioned(int vm) const
{
  return partitionedZone_ >= 0 && vm % deployment_.zoneCount == partitionedZone_;
}

void LedgerRun::generateArrival()
{
  const auto expectedArrivals = kRequestsPerSecond * toSeconds(kTimeStep);
  if (!random_.chance(expectedArrivals)) {
    return;
  }
  Request request;
  request.vm = static_cast<int>(random_.below(kEntryVmCount));
  auto remainingPoint = random_.unit();
  int workspace = 0;
  while (workspace < kWorkspaceCount - 1 && remainingPoint >= loadShareOf(workspace)) {
    remainingPoint -= loadShareOf(workspace++);
  }
  request.budgets.push_back(workspaceBudget(workspace));
  if (workspace % kWorkspacesPerCallerBudget == 0) {
    request.budgets.push_back(callerBudget(workspace));
  }
  request.promptTokens = Tokens{ random_.between(kMinPromptTokens, kMaxPromptTokens) };
  request.maxTokens = Tokens{ kMaxTokensChoices[random_.below(std::size(kMaxTokensChoices))] };
  const auto outputFraction = random_.unit();
  request.generatedTokens =
    Tokens{ 1 + static_cast<std::int64_t>(static_cast<double>(request.maxTokens.count - 1) *
                                          outputFraction * outputFraction) };
  const auto promptBytes = static_cast<double>(request.promptTokens.count) * kBytesPerToken;
  request.promptBound =
    Tokens{ static_cast<std::int64_t>(std::ceil(promptBytes / kMinBytesPerToken)) +
            kPromptTokenAllowance };
  if (restartTimes_[static_cast<std::size_t>(request.vm)] > now_) {
    return;
  }
  ++requestCount_;
  request.incarnation = incarnations_[static_cast<std::size_t>(request.vm)];
  const RequestId id("r" + std::to_string(requestCount_));
  activeRequests_[id] = request;
  const auto bound = request.promptBound + request.maxTokens;
  const auto decision = policy_.reserve(now_, request.vm, id, request.budgets, bound);
  waitCount_ += decision.status == ledger::ReserveStatus::waiting ? 1 : 0;
  applyDecision(decision);
}

void LedgerRun::applyDecision(const ledger::Decision& decision)
{
  const auto requestIt = activeRequests_.find(decision.request);
  if (requestIt == activeRequests_.end() || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  auto& request = requestIt->second;
  if (decision.status == ledger::ReserveStatus::refused) {
    countRefusal(request);
    activeRequests_.erase(requestIt);
    return;
  }
  request.reserved = request.promptBound + request.maxTokens;
  for (const auto& budget : request.budgets) {
    reserved_[budget] += request.reserved;
  }
  scheduledEvents_.emplace(now_ + kTimeToFirstToken, Event{ decision.request, true });
  const auto answerDuration =
    kTimeToFirstToken + kTimeBetweenTokens * request.generatedTokens.count;
  scheduledEvents_.emplace(now_ + answerDuration, Event{ decision.request, false });
}

Tokens LedgerRun::reachableTokens(int vm, const BudgetId& budget) const
{
  const auto amountOf = [&budget](const std::map<BudgetId, Tokens>& amounts) {
    const auto amountIt = amounts.find(budget);
    return amountIt == amounts.end() ? Tokens{ 0 } : amountIt->second;
  };
  Tokens tokensInPartition;
  for (int otherVm = 0; otherVm < kEntryVmCount; ++otherVm) {
    if (isPartitioned(otherVm)) {
      tokensInPartition += policy_.available(otherVm, budget);
    }
  }
  if (isPartitioned(vm)) {
    return tokensInPartition;
  }
  return amountOf(purchased_) - amountOf(spent_) - amountOf(reserved_) - tokensInPartition;
}

void LedgerRun::countRefusal(const Request& request)
{
  const auto cost = request.promptTokens + request.generatedTokens;
  const auto bound = request.promptBound + request.maxTokens;
  const auto isReachable = [&](Tokens amount) {
    return std::all_of(request.budgets.begin(), request.budgets.end(), [&](const BudgetId& budget) {
      return reachableTokens(request.vm, budget) >= amount;
    });
  };
  falseRefusalCount_ += isReachable(cost) ? 1 : 0;
  avoidableRefusalCount_ += isReachable(bound) ? 1 : 0;
}

void LedgerRun::handleEvent(const Event& event)
{
  const auto requestIt = activeRequests_.find(event.request);
  if (requestIt == activeRequests_.end()) {
    return;
  }
  auto& request = requestIt->second;
  if (event.isFirstToken) {
    const auto bound = request.promptTokens + request.maxTokens;
    policy_.reduceReservation(now_, request.vm, event.request, bound);
    for (const auto& budget : request.budgets) {
      reserved_[budget] -= request.reserved - bound;
    }
    request.reserved = bound;
    return;
  }
  request.charged = request.promptTokens + request.generatedTokens;
  policy_.charge(now_, request.vm, event.request, request.charged);
  for (const auto& budget : request.budgets) {
    reserved_[budget] -= request.reserved;
    spent_[budget] += request.charged;
  }
}

void LedgerRun::crashVm()
{
  policy_.crash(now_, kCrashedVmIndex, kRestartDelay);
  ++incarnations_[kCrashedVmIndex];
  restartTimes_[kCrashedVmIndex] = now_ + kRestartDelay;
  for (auto requestIt = activeRequests_.begin(); requestIt != activeRequests_.end();) {
    const auto& request = requestIt->second;
    if (request.vm != kCrashedVmIndex) {
      ++requestIt;
      continue;
    }
    // An answer whose last byte was not sent is not charged; its reservation ends with the process.
    for (const auto& budget : request.budgets) {
      if (request.charged < Tokens{ 0 }) {
        reserved_[budget] -= request.reserved;
      } else {
        spent_[budget] -= request.charged;
      }
    }
    requestIt = activeRequests_.erase(requestIt);
  }
  recoveryStartTime_ = now_ + kRestartDelay;
  chargedBeforeRecovery_ = totalCharged_;
}

void LedgerRun::applyScheduledChanges()
{
  const auto elapsed = now_ - startTime();
  if (elapsed == kTopUpTime) {
    purchaseBudgets(scenario_.purchasedShareAfterTopUp);
    topUpTime_ = now_;
  }
  if (!scenario_.partitionsZone && elapsed == kCrashTime) {
    crashVm();
  }
  if (scenario_.partitionsZone && elapsed == kPartitionStart) {
    partitionedZone_ = deployment_.zoneCount - 1;
    policy_.setPartitionedZone(partitionedZone_);
  }
  if (scenario_.partitionsZone && elapsed == kPartitionEnd) {
    partitionedZone_ = -1;
    policy_.setPartitionedZone(-1);
    partitionEndTime_ = now_;
    recoveryStartTime_ = now_;
    chargedBeforeRecovery_ = totalCharged_;
  }
}

void LedgerRun::pollPolicy()
{
  for (int vm = 0; vm < kEntryVmCount; ++vm) {
    for (const auto& decision : policy_.takeDecisions(vm)) {
      applyDecision(decision);
    }
    for (const auto& requestId : policy_.takeRecordedCharges(vm)) {
      const auto requestIt = activeRequests_.find(requestId);
      if (requestIt == activeRequests_.end()) {
        continue;
      }
      for (const auto& budget : requestIt->second.budgets) {
        delivered_[budget] += requestIt->second.charged;
        totalCharged_ += requestIt->second.charged;
      }
      activeRequests_.erase(requestIt);
    }
  }
  const auto isInformed = [this](int vm) { return policy_.hasLatestDocument(vm); };
  if (configInForceMs_ < 0 && topUpTime_ != Time{} && partitionedZone_ < 0) {
    bool allInformed = true;
    for (int vm = 0; vm < kEntryVmCount; ++vm) {
      allInformed = allInformed && isInformed(vm);
    }
    if (allInformed) {
      configInForceMs_ = toMillis(now_ - std::max(topUpTime_, partitionEndTime_));
    }
  }
  if (recoveryMs_ < 0 && recoveryStartTime_ != Time{} && now_ >= recoveryStartTime_ &&
      policy_.isRecovered(chargedBeforeRecovery_)) {
    recoveryMs_ = toMillis(now_ - recoveryStartTime_);
  }
}

double LedgerRun::overspentTokens() const
{
  std::int64_t largestOverspend = 0;
  for (const auto& [budget, amount] : delivered_) {
    largestOverspend = std::max(largestOverspend, (amount - purchased_.at(budget)).count);
  }
  return static_cast<double>(largestOverspend);
}

LedgerOutcome LedgerRun::run()
{
  purchaseBudgets(scenario_.purchasedShareAtStart);
  // The fleet registers and receives the document before the first request.
  const auto firstArrival = now_ + Duration(2'000'000);
  const auto lastArrival = startTime() + kArrivalDuration;
  const auto endTime = lastArrival + kSettlementDuration;
  while (now_ < endTime) {
    now_ = now_ + kTimeStep;
    policy_.advance(now_);
    applyScheduledChanges();
    while (!scheduledEvents_.empty() && scheduledEvents_.begin()->first <= now_) {
      const auto event = scheduledEvents_.begin()->second;
      scheduledEvents_.erase(scheduledEvents_.begin());
      handleEvent(event);
    }
    if (now_ >= firstArrival && now_ < lastArrival) {
      generateArrival();
    }
    pollPolicy();
  }
  const auto perThousand = [this](std::uint64_t count) {
    return 1000.0 * static_cast<double>(count) / static_cast<double>(requestCount_);
  };
  return { overspentTokens(),
           perThousand(falseRefusalCount_),
           perThousand(avoidableRefusalCount_),
           perThousand(waitCount_),
           configInForceMs_,
           recoveryMs_ };
}

} // namespace figchute::measure
