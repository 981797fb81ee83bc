#include "Workload.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kMaxAttempts = 4;
constexpr std::int64_t kMaxTokenBound = 400;
constexpr std::int64_t kTopUpTokensPerVersion = 4000;
constexpr std::int64_t kMaxRetryDelayMicros = 1'500'000;

} // namespace

std::vector<TeamId> teams()
{
  return { TeamId("bees"), TeamId("shop") };
}

std::vector<BudgetId> budgetsOf(const TeamId& team)
{
  std::vector<BudgetId> budgets;
  for (const char* format : { "w:{}/large", "w:{}/small", "c:{}/large", "c:{}/small" }) {
    budgets.emplace_back(fmt::format(fmt::runtime(format), team.value));
  }
  return budgets;
}

Workload::Workload(Entries& entries, Schedule& schedule, Random& random)
  : entries_(entries)
  , schedule_(schedule)
  , random_(random)
{
}

EntryProcess* Workload::randomRunningEntry()
{
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    auto& entry = entries_[random_.below(entries_.size())];
    if (entry->isRunning()) {
      return entry.get();
    }
  }
  return nullptr;
}

void Workload::sendRequest()
{
  const auto allTeams = teams();
  const TeamId& team = allTeams[random_.below(allTeams.size())];
  const std::size_t callerIndex = random_.chance(0.75) ? 0 : 1;
  const auto budgets = budgetsOf(team);
  Attempt firstAttempt;
  firstAttempt.caller = CallerId(team.value + (callerIndex == 0 ? "/large" : "/small"));
  firstAttempt.isBooking = random_.chance(0.2);
  if (firstAttempt.isBooking || random_.chance(0.5)) {
    firstAttempt.key = fmt::format("{}-{}", schedule_.now().micros / 1'000'000, ++requestCount_);
  }
  if (!firstAttempt.isBooking) {
    firstAttempt.budgets = { budgets[callerIndex], budgets[2 + callerIndex] };
    firstAttempt.maxTokens = Tokens{ random_.between(1, kMaxTokenBound) };
  }
  startAttempt(std::move(firstAttempt), 0);
}

void Workload::startAttempt(Attempt attempt, int previousAttempts)
{
  EntryProcess* entry = randomRunningEntry();
  if (entry == nullptr || previousAttempts >= kMaxAttempts) {
    return;
  }
  attempt.requestId = RequestId(fmt::format("r{}", ++attemptCount_));
  attempt.actualTokens = Tokens{ random_.between(0, attempt.maxTokens.count) };
  const bool retriesEarly = !attempt.key.empty() && random_.chance(0.2);
  if (retriesEarly) {
    // The caller stops waiting and sends the request to another VM while the first attempt runs.
    const Duration retryDelay(random_.between(1'000, kMaxRetryDelayMicros));
    schedule_.callAt(schedule_.now() + retryDelay, [this, attempt, previousAttempts] {
      startAttempt(attempt, previousAttempts + 1);
    });
  }
  entry->submit(
    attempt, [this, previousAttempts, retriesEarly](const Attempt& endedAttempt, bool answered) {
      if (answered || retriesEarly || endedAttempt.key.empty()) {
        return;
      }
      const Duration retryDelay(random_.between(1'000, kMaxRetryDelayMicros));
      schedule_.callAt(schedule_.now() + retryDelay, [this, endedAttempt, previousAttempts] {
        startAttempt(endedAttempt, previousAttempts + 1);
      });
    });
}

DocumentOperator::DocumentOperator(ProcessId id,
                                   Schedule& schedule,
                                   Random& random,
                                   Network& network)
  : id_(std::move(id))
  , schedule_(schedule)
  , random_(random)
  , network_(network)
{
}

void DocumentOperator::sendChange()
{
  if (changeCount_ == 0 || random_.chance(0.8)) {
    const auto allTeams = teams();
    lastChange_.team = allTeams[random_.below(allTeams.size())];
    lastChange_.baseVersion = teamVersions_[lastChange_.team];
    lastChange_.change = ChangeId(fmt::format("{}-{}", id_.value, ++changeCount_));
    lastChange_.text = "text of " + lastChange_.change.value;
    lastChange_.purchases.clear();
    for (const auto& budget : budgetsOf(lastChange_.team)) {
      const auto version = static_cast<std::int64_t>(lastChange_.baseVersion + 1);
      lastChange_.purchases.push_back({ budget, Tokens{ version * kTopUpTokensPerVersion } });
    }
  }
  teamByProposal_[proposer_.propose(schedule_.now(), lastChange_)] = lastChange_.team;
  flush();
}

void DocumentOperator::tick()
{
  proposer_.tick(schedule_.now());
  flush();
}

void DocumentOperator::receive(const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  const auto* reply = message ? std::get_if<ledger::ProposeReply>(&*message) : nullptr;
  if (reply != nullptr) {
    const auto result = proposer_.receive(schedule_.now(), packet.from, *reply);
    const auto* outcome = result ? std::get_if<ledger::DocumentResult>(&result->result) : nullptr;
    if (outcome != nullptr) {
      auto& teamVersion = teamVersions_[teamByProposal_.at(result->proposalId)];
      teamVersion = std::max(teamVersion, outcome->version);
    }
  }
  flush();
}

void DocumentOperator::flush()
{
  for (const auto& outgoing : proposer_.takeOutgoing()) {
    network_.send(
      Packet{ id_, outgoing.to, wire::Channel::ledger, wire::encode(outgoing.message) });
  }
}

} // namespace figchute::simulation
