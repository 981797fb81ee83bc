#include "Workload.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kMaxTries = 4;
constexpr std::int64_t kMaxBound = 400;
constexpr std::int64_t kMaxTopUp = 4000;
constexpr std::int64_t kMaxRetryMicros = 1'500'000;

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

EntryProcess* Workload::anyEntry()
{
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    auto& entry = entries_[random_.below(entries_.size())];
    if (entry->running()) {
      return entry.get();
    }
  }
  return nullptr;
}

void Workload::sendRequest()
{
  const auto all = teams();
  const TeamId& team = all[random_.below(all.size())];
  const std::size_t caller = random_.chance(0.75) ? 0 : 1;
  const auto budgets = budgetsOf(team);
  Attempt request;
  request.caller = CallerId(team.value + (caller == 0 ? "/large" : "/small"));
  request.booking = random_.chance(0.2);
  if (request.booking || random_.chance(0.5)) {
    request.key = fmt::format("{}-{}", schedule_.now().micros / 1'000'000, ++requests_);
  }
  if (!request.booking) {
    request.budgets = { budgets[caller], budgets[2 + caller] };
    request.bound = Tokens{ random_.between(1, kMaxBound) };
  }
  attempt(std::move(request), 0);
}

void Workload::attempt(Attempt request, int tries)
{
  EntryProcess* entry = anyEntry();
  if (entry == nullptr || tries >= kMaxTries) {
    return;
  }
  request.request = RequestId(fmt::format("r{}", ++attempts_));
  request.actual = Tokens{ random_.between(0, request.bound.count) };
  const bool impatient = !request.key.empty() && random_.chance(0.2);
  if (impatient) {
    // The caller gives up waiting and sends the request to another VM while the first runs.
    const Duration wait(random_.between(1'000, kMaxRetryMicros));
    schedule_.add(schedule_.now() + wait, [this, request, tries] { attempt(request, tries + 1); });
  }
  entry->submit(request, [this, tries, impatient](const Attempt& ended, bool answered) {
    if (answered || impatient || ended.key.empty()) {
      return;
    }
    const Duration wait(random_.between(1'000, kMaxRetryMicros));
    schedule_.add(schedule_.now() + wait, [this, ended, tries] { attempt(ended, tries + 1); });
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

void DocumentOperator::act()
{
  if (changes_ == 0 || random_.chance(0.8)) {
    const auto all = teams();
    last_.team = all[random_.below(all.size())];
    last_.baseVersion = versions_[last_.team];
    last_.change = ChangeId(fmt::format("{}-{}", id_.value, ++changes_));
    last_.text = "text of " + last_.change.value;
    last_.purchases.clear();
    for (const auto& budget : budgetsOf(last_.team)) {
      const auto version = static_cast<std::int64_t>(last_.baseVersion + 1);
      last_.purchases.push_back({ budget, Tokens{ version * kMaxTopUp } });
    }
  }
  proposed_[proposer_.propose(schedule_.now(), last_)] = last_.team;
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
      auto& version = versions_[proposed_.at(result->proposalId)];
      version = std::max(version, outcome->version);
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
