#include "RouterBudgetRun.h"

#include <algorithm>

namespace figchute::measure {
namespace {

constexpr Time kStartTime{ 1'700'000'000'000'000 };
constexpr Duration kSecond{ 1'000'000 };
constexpr Duration kTimeStep{ 1000 };
constexpr Duration kLoadStart = kSecond;
constexpr Duration kLoadEnd = 35 * kSecond;
/** By this time answers have ended and accounts are settled. */
constexpr Duration kIdleStart = 80 * kSecond;
constexpr Duration kIdleDuration = 60 * kSecond;
constexpr Duration kPartitionStarts[] = { 9 * kSecond, 22 * kSecond };
constexpr Duration kPartitionDuration = 8 * kSecond;
constexpr Duration kTopUpTimes[] = { 11 * kSecond, 19 * kSecond };
constexpr double kTopUpShares[] = { 0.6, 0.8, 1.0 };
constexpr Duration kKillHalfTime = 18 * kSecond;
constexpr int kSingleKillCount = 3;
constexpr int kDrainCount = 2;
constexpr Duration kHotStart = 8 * kSecond;
constexpr Duration kHotEnd = 31 * kSecond;
constexpr double kHotFactor = 2.5;
constexpr int kHotWorkspace = 1;

constexpr int kWorkspaceCount = 10;
/** Sum of 1 / n over the workspaces. The load share of the workspace of rank n is proportional to
    1 / n, so that a few are large. */
constexpr double kHarmonicSum = 2.9289682539682538;
constexpr double kRequestsPerSecondAndHolder = 5;
constexpr double kExhaustedShare = 0.97;

/** One class of the typical requests of the router daemon. */
struct RequestClass
{
  double share;
  std::int64_t promptTokens;
  std::int64_t outputTokens;
  std::int64_t maxOutputTokens;
  Duration duration;
};

constexpr RequestClass kRequestClasses[] = { { 0.6, 826, 294, 512, Duration{ 2'000'000 } },
                                             { 0.25, 2368, 24, 64, Duration{ 600'000 } },
                                             { 0.15, 11'992, 384, 512, Duration{ 3'500'000 } } };
/** Largest relative deviation of prompt and answer sizes from the typical ones. */
constexpr double kMaxSizeDeviation = 0.2;
/** Share of the answers that end early because the caller disconnects or the endpoint fails. */
constexpr double kEarlyEndShare = 0.03;

double meanRequestTokens()
{
  double mean = 0;
  for (const auto& requestClass : kRequestClasses) {
    mean += requestClass.share *
            static_cast<double>(requestClass.promptTokens + requestClass.outputTokens);
  }
  return mean;
}

BudgetId budgetIdOf(int workspace)
{
  return BudgetId("w:" + std::to_string(workspace));
}

} // namespace

RouterBudgetRun::RouterBudgetRun(const RouterBudgetScenario& scenario, std::uint64_t seed)
  : scenario_(scenario)
  , random_(seed)
  , now_(kStartTime)
  , fleet_(scenario.holderCount, seed + 1000, kStartTime)
  , prepaidTokens_(kWorkspaceCount)
  , usedTokens_(kWorkspaceCount)
{
}

void RouterBudgetRun::scheduleEvents()
{
  const auto schedule = [this](Duration time, EventKind event) {
    scheduledEvents_.emplace(kStartTime + time, event);
  };
  const auto randomTime = [this] {
    return Duration(random_.between((2 * kSecond).count(), (33 * kSecond).count()));
  };
  if (scenario_.hasTopUps) {
    for (const auto time : kTopUpTimes) {
      schedule(time, EventKind::topUp);
    }
  }
  if (scenario_.hasRestarts) {
    for (int i = 0; i < kSingleKillCount; ++i) {
      schedule(randomTime(), EventKind::kill);
    }
    for (int i = 0; i < kDrainCount; ++i) {
      schedule(randomTime(), EventKind::drain);
    }
  }
  if (scenario_.killsHalf) {
    schedule(kKillHalfTime, EventKind::killHalf);
  }
  if (scenario_.hasControlPartitions) {
    for (const auto time : kPartitionStarts) {
      schedule(time, EventKind::startPartition);
      schedule(time + kPartitionDuration, EventKind::endPartition);
    }
  }
}

double RouterBudgetRun::requestsPerSecond(int workspace) const
{
  const auto elapsed = now_ - kStartTime;
  const bool isHot = workspace == kHotWorkspace && elapsed >= kHotStart && elapsed < kHotEnd;
  const auto totalRequestsPerSecond = kRequestsPerSecondAndHolder * scenario_.holderCount;
  return totalRequestsPerSecond * (isHot ? kHotFactor : 1.0) /
         (static_cast<double>(workspace + 1) * kHarmonicSum);
}

void RouterBudgetRun::setPrepaidBudgets(double share)
{
  const auto totalRequestsPerSecond = kRequestsPerSecondAndHolder * scenario_.holderCount;
  const auto loadSeconds = toSeconds(kLoadEnd - kLoadStart);
  const auto extraHotSeconds = (kHotFactor - 1) * toSeconds(kHotEnd - kHotStart);
  std::vector<ledger::PrepaidBudget> budgets;
  for (int workspace = 0; workspace < kWorkspaceCount; ++workspace) {
    const auto tokensPerSecond = meanRequestTokens() * totalRequestsPerSecond /
                                 (static_cast<double>(workspace + 1) * kHarmonicSum);
    const auto expectedUse =
      tokensPerSecond * (loadSeconds + (workspace == kHotWorkspace ? extraHotSeconds : 0));
    const Tokens prepaidTokens{ static_cast<std::int64_t>(expectedUse * scenario_.prepaidShare *
                                                          share) };
    prepaidTokens_[static_cast<std::size_t>(workspace)] = prepaidTokens;
    budgets.push_back({ budgetIdOf(workspace), prepaidTokens });
  }
  fleet_.setPrepaidBudgets(now_, std::move(budgets));
}

void RouterBudgetRun::killRandomProcess()
{
  std::vector<int> servingHolders;
  for (int holder = 0; holder < fleet_.holderCount(); ++holder) {
    if (fleet_.isServing(holder)) {
      servingHolders.push_back(holder);
    }
  }
  if (!servingHolders.empty()) {
    const auto killedHolder = servingHolders[random_.below(servingHolders.size())];
    fleet_.crash(now_, killedHolder, Duration(random_.between(300'000, 2'000'000)));
  }
}

void RouterBudgetRun::applyEvent(EventKind event)
{
  switch (event) {
    case EventKind::topUp:
      setPrepaidBudgets(kTopUpShares[++topUpCount_]);
      break;
    case EventKind::kill:
      killRandomProcess();
      break;
    case EventKind::killHalf:
      for (int i = 0; i < fleet_.holderCount() / 2; ++i) {
        killRandomProcess();
      }
      break;
    case EventKind::drain: {
      const auto holder =
        static_cast<int>(random_.below(static_cast<std::size_t>(fleet_.holderCount())));
      if (fleet_.isServing(holder)) {
        fleet_.drain(now_, holder, kSecond);
      }
      break;
    }
    case EventKind::startPartition:
      fleet_.setPartition(now_, true, scenario_.partitionsEntries);
      break;
    case EventKind::endPartition:
      fleet_.setPartition(now_, false, false);
      break;
  }
}

RouterBudgetRun::Request RouterBudgetRun::drawRequest()
{
  Request request;
  auto remainingPoint = random_.unit();
  const RequestClass* requestClass = std::begin(kRequestClasses);
  while (remainingPoint >= requestClass->share &&
         std::next(requestClass) != std::end(kRequestClasses)) {
    remainingPoint -= requestClass->share;
    ++requestClass;
  }
  const auto withDeviation = [this](std::int64_t typical) {
    const auto factor = 1 + kMaxSizeDeviation * (2 * random_.unit() - 1);
    return static_cast<std::int64_t>(static_cast<double>(typical) * factor);
  };
  const auto promptTokens = withDeviation(requestClass->promptTokens);
  auto outputTokens = withDeviation(requestClass->outputTokens);
  request.duration = requestClass->duration;
  if (random_.chance(kEarlyEndShare)) {
    outputTokens = static_cast<std::int64_t>(static_cast<double>(outputTokens) * random_.unit());
    request.duration = request.duration / 2;
  }
  request.bound = Tokens{ promptTokens + requestClass->maxOutputTokens };
  request.cost = Tokens{ promptTokens + outputTokens };
  request.arrival = now_;
  return request;
}

void RouterBudgetRun::generateArrival()
{
  double totalRequestsPerSecond = 0;
  for (int workspace = 0; workspace < kWorkspaceCount; ++workspace) {
    totalRequestsPerSecond += requestsPerSecond(workspace);
  }
  if (!random_.chance(totalRequestsPerSecond * toSeconds(kTimeStep))) {
    return;
  }
  auto request = drawRequest();
  auto remainingPoint = random_.unit() * totalRequestsPerSecond;
  while (request.workspace < kWorkspaceCount - 1 &&
         remainingPoint >= requestsPerSecond(request.workspace)) {
    remainingPoint -= requestsPerSecond(request.workspace++);
  }
  request.holder = static_cast<int>(random_.below(static_cast<std::size_t>(fleet_.holderCount())));
  for (int i = 0; i < fleet_.holderCount() && !fleet_.isServing(request.holder); ++i) {
    request.holder = (request.holder + 1) % fleet_.holderCount();
  }
  if (!fleet_.isServing(request.holder)) {
    return;
  }
  request.incarnationNumber = fleet_.incarnationNumber(request.holder);
  const RequestId requestId("r" + std::to_string(++requestCount_));
  activeRequests_[requestId] = request;
  const std::vector<BudgetId> budgets{ budgetIdOf(request.workspace) };
  const auto decision = fleet_.quotaManager(request.holder)
                          .reserve(now_, requestId, std::nullopt, budgets, request.bound);
  waitCount_ += decision.status == ledger::ReserveStatus::waiting ? 1 : 0;
  applyDecision(decision);
}

void RouterBudgetRun::applyDecision(const ledger::Decision& decision)
{
  const auto requestIt = activeRequests_.find(decision.request);
  if (requestIt == activeRequests_.end() || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  const auto& request = requestIt->second;
  longestWait_ = std::max(longestWait_, now_ - request.arrival);
  if (decision.status == ledger::ReserveStatus::refused) {
    countRefusal(request);
    activeRequests_.erase(requestIt);
    return;
  }
  // A request whose process crashes counts at its full cost because its endpoint did the work.
  usedTokens_[static_cast<std::size_t>(request.workspace)] += request.cost;
  requestEnds_.emplace(now_ + request.duration, decision.request);
}

void RouterBudgetRun::countRefusal(const Request& request)
{
  const auto workspace = static_cast<std::size_t>(request.workspace);
  const auto exhaustionTokens =
    kExhaustedShare * static_cast<double>(prepaidTokens_[workspace].count);
  const auto usedTokens = static_cast<double>(usedTokens_[workspace].count);
  const bool isBeforeExhaustion = usedTokens < exhaustionTokens;
  const bool isWithinLimit =
    usedTokens + static_cast<double>(request.bound.count) <= exhaustionTokens;
  falseRefusalCount_ += isBeforeExhaustion ? 1 : 0;
  avoidableRefusalCount_ += isWithinLimit ? 1 : 0;
  trueRefusalCount_ += isBeforeExhaustion ? 0 : 1;
}

void RouterBudgetRun::finishRequest(const RequestId& id)
{
  const auto request = activeRequests_.at(id);
  activeRequests_.erase(id);
  // The requests of a process that crashed or stopped are lost and not charged.
  if (fleet_.incarnationNumber(request.holder) == request.incarnationNumber) {
    (void)fleet_.quotaManager(request.holder).charge(now_, id, request.cost);
  }
}

RouterBudgetOutcome RouterBudgetRun::outcome() const
{
  RouterBudgetOutcome result;
  Tokens lostTokens;
  Tokens prepaidTokens;
  for (int i = 0; i < kWorkspaceCount; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto overspentTokens =
      static_cast<double>((usedTokens_[index] - prepaidTokens_[index]).count);
    result.overspentTokens = std::max(result.overspentTokens, overspentTokens);
    lostTokens += fleet_.control().budget(budgetIdOf(i))->settled - usedTokens_[index];
    prepaidTokens += prepaidTokens_[index];
  }
  const auto requestCount = static_cast<double>(requestCount_);
  const auto perThousand = [requestCount](std::uint64_t count) {
    return 1000.0 * static_cast<double>(count) / requestCount;
  };
  const auto idleSeconds = toSeconds(kIdleDuration);
  const auto& totalTraffic = fleet_.traffic();
  result.falseRefusalsPerThousand = perThousand(falseRefusalCount_);
  result.avoidableRefusalsPerThousand = perThousand(avoidableRefusalCount_);
  result.trueRefusalsPerThousand = perThousand(trueRefusalCount_);
  result.waitsPerThousand = perThousand(waitCount_);
  result.longestWaitMs = toSeconds(longestWait_) * 1000;
  result.lostPercent =
    100.0 * static_cast<double>(lostTokens.count) / static_cast<double>(prepaidTokens.count);
  result.messagesPerRequest = static_cast<double>(trafficUnderLoad_.messages) / requestCount;
  result.bytesPerRequest = static_cast<double>(trafficUnderLoad_.bytes) / requestCount;
  result.commandsPerRequest = static_cast<double>(trafficUnderLoad_.commands) / requestCount;
  result.idleMessagesPerSecond =
    static_cast<double>(totalTraffic.messages - trafficUnderLoad_.messages) / idleSeconds;
  result.idleCommandsPerSecond =
    static_cast<double>(totalTraffic.commands - trafficUnderLoad_.commands) / idleSeconds;
  return result;
}

RouterBudgetOutcome RouterBudgetRun::run()
{
  scheduleEvents();
  setPrepaidBudgets(scenario_.hasTopUps ? kTopUpShares[0] : 1.0);
  const auto endTime = kStartTime + kIdleStart + kIdleDuration;
  while (now_ < endTime) {
    now_ = now_ + kTimeStep;
    fleet_.advance(now_);
    while (!scheduledEvents_.empty() && scheduledEvents_.begin()->first <= now_) {
      const auto event = scheduledEvents_.begin()->second;
      scheduledEvents_.erase(scheduledEvents_.begin());
      applyEvent(event);
    }
    while (!requestEnds_.empty() && requestEnds_.begin()->first <= now_) {
      const auto requestId = requestEnds_.begin()->second;
      requestEnds_.erase(requestEnds_.begin());
      finishRequest(requestId);
    }
    if (now_ >= kStartTime + kLoadStart && now_ < kStartTime + kLoadEnd) {
      generateArrival();
    }
    for (int holder = 0; holder < fleet_.holderCount(); ++holder) {
      for (const auto& decision : fleet_.takeDecisions(holder)) {
        applyDecision(decision);
      }
    }
    if (now_ == kStartTime + kIdleStart) {
      trafficUnderLoad_ = fleet_.traffic();
    }
  }
  return outcome();
}

} // namespace figchute::measure
