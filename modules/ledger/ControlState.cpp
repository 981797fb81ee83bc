#include "ledger/ControlState.h"

#include "ledger/BudgetLedger.h"
#include "ledger/ClaimTable.h"
#include "ledger/DocumentStore.h"
#include "ledger/QuarantineTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <type_traits>

namespace figchute::ledger {
namespace {

/** A control VM that is a member of the log. */
struct Member
{
  std::string diskId;
  ZoneId zone;
  bool voter = false;

  MSGPACK_DEFINE(diskId, zone, voter)
};

MemberResult memberError(ErrorKind kind, const ProcessId& process, std::string_view reason)
{
  return { Verdict{ kind, fmt::format("member {} {}", process.value, reason) } };
}

std::string_view nameOf(detail::ClaimState state)
{
  switch (state) {
    case detail::ClaimState::open:
      return "open";
    case detail::ClaimState::inProgress:
      return "in_progress";
    case detail::ClaimState::done:
      return "done";
    case detail::ClaimState::unknown:
      break;
  }
  return "unknown";
}

BudgetView makeBudgetView(const BudgetId& id, const detail::Budget& budget)
{
  BudgetView view{ id, budget.bought, budget.settled(), budget.held(), budget.free(), {} };
  for (const auto& [holder, account] : budget.accounts.all()) {
    view.holders.push_back(
      { holder, account.granted, account.settled(), account.returned, account.held() });
  }
  return view;
}

} // namespace

struct ControlState::State
{
  std::uint64_t index = 0;
  Time time;
  detail::BudgetLedger budgetLedger;
  detail::DocumentStore documents;
  detail::ClaimTable claims;
  detail::QuarantineTable quarantine;
  std::map<ProcessId, Member> members;
  fleet::FleetState fleet;

  MSGPACK_DEFINE(index, time, budgetLedger, documents, claims, quarantine, members, fleet)

  Result execute(const ApplyDocument& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return documents.apply(time, command, budgetLedger);
  }

  Result execute(const Grant& command, std::vector<OutgoingMessage>& outgoing)
  {
    return budgetLedger.grant(time, command, outgoing);
  }

  Result execute(const Settle& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return budgetLedger.settle(time, command);
  }

  Result execute(const Claim& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return claims.claim(index, time, command, budgetLedger.checkHolder(command.holder));
  }

  Result execute(const Outcome& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return claims.recordOutcome(time, command);
  }

  Result execute(const RegisterHolder& command, std::vector<OutgoingMessage>& outgoing)
  {
    return budgetLedger.registerHolder(time, command, outgoing);
  }

  Result execute(const Retire& command, std::vector<OutgoingMessage>& outgoing)
  {
    return budgetLedger.retire(time, command, outgoing);
  }

  Result execute(const CrashReport& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return quarantine.addReport(time, command);
  }

  Result execute(const AddMember& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    const auto [member, added] = members.try_emplace(command.process);
    if (!added && member->second.diskId != command.diskId) {
      return memberError(ErrorKind::forbidden, command.process, "must be removed first");
    }
    if (added) {
      member->second = { command.diskId, command.zone, false };
    }
    return MemberResult{};
  }

  Result execute(const PromoteMember& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    const auto member = members.find(command.process);
    if (member == members.end() || member->second.diskId != command.diskId) {
      return memberError(ErrorKind::notFound, command.process, "is not a learner with this disk");
    }
    member->second.voter = true;
    return MemberResult{};
  }

  Result execute(const RemoveMember& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    const auto member = members.find(command.process);
    const bool matchesDisk = member != members.end() &&
                             (command.diskId.empty() || member->second.diskId == command.diskId);
    if (matchesDisk) {
      members.erase(member);
    }
    return MemberResult{};
  }

  Result execute(const PutConfiguration& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    fleet.configuration.put(command.version, command.bytes);
    return ConfigurationResult{ Verdict{}, fleet.configuration.version() };
  }

  template<typename EndpointCommand>
  requires requires(fleet::EndpointStore& endpointStore, const EndpointCommand& command)
  {
    endpointStore.apply(std::uint64_t{}, Time{}, command);
  }
  Result execute(const EndpointCommand& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return EndpointResult{ Verdict{}, fleet.endpoints.apply(index, time, command) };
  }

  Result execute(const ReadBarrier& /*command*/, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return BarrierResult{ {}, index };
  }

  Result execute(const SetEvacuation& command, std::vector<OutgoingMessage>& /*outgoing*/)
  {
    return EvacuationResult{ {}, fleet.evacuations.apply(index, command) };
  }

  void expire()
  {
    budgetLedger.expire(time);
    documents.expire(time);
    claims.expire(time);
    quarantine.expire(time);
    fleet.endpoints.forget(time);
  }
};

ControlState::ControlState()
  : state_(std::make_unique<State>())
{
}

ControlState::~ControlState() = default;
ControlState::ControlState(ControlState&&) noexcept = default;
ControlState& ControlState::operator=(ControlState&&) noexcept = default;

Result ControlState::apply(std::uint64_t index, Time time, const Command& command)
{
  invariant(index > state_->index, "log entries are applied in order");
  const auto previousRevision = state_->documents.revision();
  const auto previousVersion = state_->fleet.configuration.version();
  state_->index = index;
  state_->time = std::max(state_->time, time);
  state_->expire();
  auto result = std::visit(
    [this](const auto& typedCommand) { return state_->execute(typedCommand, outgoing_); }, command);
  if (state_->fleet.configuration.version() > previousVersion) {
    setPrepaid(std::get<PutConfiguration>(command).budgets);
  }
  for (const auto& holder : state_->budgetLedger.takeNewlyRetiringHolders()) {
    state_->claims.markHolderClaimsUnknown(holder);
  }
  state_->budgetLedger.checkChangedBudgets();
  invariant(state_->documents.revision() >= previousRevision,
            "the document revision never decreases");
  return result;
}

Expected<std::string> ControlState::applyEncoded(std::uint64_t index,
                                                 Time time,
                                                 std::string_view command)
{
  const auto decoded = wire::decode<Command>(command);
  if (!decoded) {
    skip(index);
    return tl::unexpected(decoded.error());
  }
  return wire::encode(apply(index, time, *decoded));
}

void ControlState::skip(std::uint64_t index)
{
  invariant(index > state_->index, "log entries are applied in order");
  state_->index = index;
}

void ControlState::setPrepaid(std::span<const PrepaidBudget> budgets)
{
  auto recalls = state_->budgetLedger.setPrepaid(budgets);
  std::move(recalls.begin(), recalls.end(), std::back_inserter(outgoing_));
  state_->budgetLedger.checkChangedBudgets();
}

std::string ControlState::snapshot() const
{
  state_->budgetLedger.checkSums();
  return wire::encode(*state_);
}

Expected<void> ControlState::restore(std::string_view bytes)
{
  auto state = std::make_unique<State>();
  try {
    const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
    unpacked.get().convert(*state);
  } catch (const std::exception& error) {
    return fail(ErrorKind::codecError, error.what());
  }
  state->budgetLedger.rebuildIndex();
  state->claims.rebuildIndex();
  state->fleet.endpoints.rebuildIndex();
  // Assigned in place, because the reference returned by fleet() has to stay valid.
  *state_ = std::move(*state);
  outgoing_.clear();
  return {};
}

std::vector<OutgoingMessage> ControlState::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::vector<OutgoingMessage> ControlState::reportRequests() const
{
  std::vector<OutgoingMessage> requests;
  for (const auto& [id, holder] : state_->budgetLedger.holders()) {
    if (!holder.retiring) {
      for (const auto& budgetId : holder.pendingFinalTransfers) {
        requests.push_back({ id.process, Recall{ id, budgetId } });
      }
      continue;
    }
    for (const auto& witness : state_->budgetLedger.missingReports(id, holder)) {
      if (witness != id) {
        requests.push_back({ witness.process, WitnessReportRequest{ id } });
      }
    }
  }
  return requests;
}

Retire ControlState::makeRetireCommand(const WitnessReport& report)
{
  return { report.record.holder, report.witness, report.record };
}

std::uint64_t ControlState::lastIndex() const
{
  return state_->index;
}

std::uint64_t ControlState::revision() const
{
  return state_->documents.revision();
}

DocumentPush ControlState::documentsSince(const DocumentPoll& poll) const
{
  DocumentPush push;
  push.revision = revision();
  push.quarantineRevision = state_->quarantine.revision();
  for (const auto& [team, document] : state_->documents.documents()) {
    if (document.revision > poll.revision) {
      push.documents.push_back({ team, document.version, document.history.back().text });
    }
  }
  if (poll.quarantineRevision != push.quarantineRevision) {
    push.quarantine = state_->quarantine.entries(state_->time);
  }
  return push;
}

std::optional<BudgetView> ControlState::budget(const BudgetId& id) const
{
  const auto& budgets = state_->budgetLedger.budgets();
  const auto budgetEntry = budgets.find(id);
  return budgetEntry == budgets.end() ? std::nullopt
                                      : std::optional(makeBudgetView(id, budgetEntry->second));
}

std::vector<BudgetView> ControlState::budgets() const
{
  std::vector<BudgetView> views;
  for (const auto& [id, budget] : state_->budgetLedger.budgets()) {
    views.push_back(makeBudgetView(id, budget));
  }
  return views;
}

std::vector<UnreclaimedTokensView> ControlState::unreclaimedTokens() const
{
  return state_->budgetLedger.unreclaimedTokens();
}

std::optional<DocumentView> ControlState::document(const TeamId& team) const
{
  const auto& documents = state_->documents.documents();
  const auto documentEntry = documents.find(team);
  if (documentEntry == documents.end()) {
    return std::nullopt;
  }
  DocumentView view{ team, documentEntry->second.version, documentEntry->second.revision, {} };
  for (const auto& version : documentEntry->second.history) {
    view.history.push_back({ version.number, version.change, version.time, version.text });
  }
  return view;
}

std::vector<TeamId> ControlState::teams() const
{
  std::vector<TeamId> teams;
  for (const auto& [team, document] : state_->documents.documents()) {
    teams.push_back(team);
  }
  return teams;
}

std::vector<ClaimView> ControlState::claims() const
{
  std::vector<ClaimView> views;
  for (const auto& [callerKey, entry] : state_->claims.claims()) {
    views.push_back({ callerKey.first,
                      callerKey.second,
                      entry.request,
                      entry.holder,
                      nameOf(entry.state),
                      entry.status });
  }
  return views;
}

std::size_t ControlState::transferPairCount() const
{
  std::size_t pairs = 0;
  for (const auto& [id, budget] : state_->budgetLedger.budgets()) {
    pairs += budget.transfers.totals().size();
  }
  return pairs;
}

std::size_t ControlState::keyedBillCount() const
{
  return state_->budgetLedger.bills().size();
}

Tokens ControlState::keyedBill(const CallerId& caller,
                               std::string_view key,
                               const BudgetId& budget) const
{
  const auto& bills = state_->budgetLedger.bills();
  const auto bill = bills.find({ caller, std::string(key) });
  if (bill != bills.end()) {
    for (const auto& [id, amount] : bill->second.amounts) {
      if (id == budget) {
        return amount;
      }
    }
  }
  return {};
}

std::vector<QuarantineEntry> ControlState::quarantine(Time now) const
{
  return state_->quarantine.entries(now);
}

std::vector<RegisteredHolderView> ControlState::holders() const
{
  std::vector<RegisteredHolderView> views;
  for (const auto& [id, holder] : state_->budgetLedger.holders()) {
    views.push_back({ id, holder.zone, holder.witnesses, holder.retiring });
  }
  return views;
}

std::vector<RetirementView> ControlState::takeRetirements()
{
  return state_->budgetLedger.takeRetirements();
}

const fleet::FleetState& ControlState::fleet() const
{
  return state_->fleet;
}

std::vector<MemberView> ControlState::members() const
{
  std::vector<MemberView> views;
  for (const auto& [process, member] : state_->members) {
    views.push_back({ process, member.diskId, member.zone, member.voter });
  }
  return views;
}

} // namespace figchute::ledger
