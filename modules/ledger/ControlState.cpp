#include "ledger/ControlState.h"

#include "ledger/ClaimBook.h"
#include "ledger/DocumentBook.h"
#include "ledger/EscrowBook.h"
#include "ledger/QuarantineBook.h"

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

BudgetView viewOf(const BudgetId& id, const detail::Budget& budget)
{
  BudgetView view{ id, budget.bought, budget.settled(), budget.held(), budget.free(), {} };
  for (const auto& account : budget.accounts) {
    view.holders.push_back({ account.holder,
                             account.granted,
                             account.settled(),
                             account.returned,
                             budget.held(account) });
  }
  return view;
}

} // namespace

struct ControlState::State
{
  std::uint64_t index = 0;
  Time time;
  detail::EscrowBook escrow;
  detail::DocumentBook documents;
  detail::ClaimBook claims;
  detail::QuarantineBook quarantine;
  std::map<ProcessId, Member> members;
  fleet::FleetState fleet;

  MSGPACK_DEFINE(index, time, escrow, documents, claims, quarantine, members, fleet)

  Result run(const ApplyDocument& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return documents.apply(time, command, escrow);
  }

  Result run(const Grant& command, std::vector<Outgoing>& outgoing)
  {
    return escrow.grant(time, command, outgoing);
  }

  Result run(const Settle& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return escrow.settle(time, command);
  }

  Result run(const Claim& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return claims.claim(index, time, command, escrow.checkHolder(command.holder));
  }

  Result run(const Outcome& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return claims.outcome(time, command);
  }

  Result run(const RegisterHolder& command, std::vector<Outgoing>& outgoing)
  {
    return escrow.registerHolder(time, command, outgoing);
  }

  Result run(const Retire& command, std::vector<Outgoing>& outgoing)
  {
    return escrow.retire(time, command, outgoing);
  }

  Result run(const CrashReport& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return quarantine.report(time, command);
  }

  Result run(const AddMember& command, std::vector<Outgoing>& /*outgoing*/)
  {
    const auto [at, added] = members.try_emplace(command.process);
    if (!added && at->second.diskId != command.diskId) {
      return memberError(ErrorKind::forbidden, command.process, "must be removed first");
    }
    if (added) {
      at->second = { command.diskId, command.zone, false };
    }
    return MemberResult{};
  }

  Result run(const PromoteMember& command, std::vector<Outgoing>& /*outgoing*/)
  {
    const auto found = members.find(command.process);
    if (found == members.end() || found->second.diskId != command.diskId) {
      return memberError(ErrorKind::notFound, command.process, "is not a learner with this disk");
    }
    found->second.voter = true;
    return MemberResult{};
  }

  Result run(const RemoveMember& command, std::vector<Outgoing>& /*outgoing*/)
  {
    const auto found = members.find(command.process);
    const bool match =
      found != members.end() && (command.diskId.empty() || found->second.diskId == command.diskId);
    if (match) {
      members.erase(found);
    }
    return MemberResult{};
  }

  Result run(const PutConfiguration& command, std::vector<Outgoing>& /*outgoing*/)
  {
    fleet.configuration.put(command.version, command.bytes);
    return ConfigurationResult{ Verdict{}, fleet.configuration.version() };
  }

  template<typename EndpointCommand>
  requires requires(fleet::EndpointBook& book, const EndpointCommand& command)
  {
    book.apply(std::uint64_t{}, Time{}, command);
  }
  Result run(const EndpointCommand& command, std::vector<Outgoing>& /*outgoing*/)
  {
    return EndpointResult{ Verdict{}, fleet.endpoints.apply(index, time, command) };
  }

  Result run(const ReadBarrier& /*command*/, std::vector<Outgoing>& /*outgoing*/)
  {
    return BarrierResult{ {}, index };
  }

  void expire()
  {
    escrow.expire(time);
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
  const auto revision = state_->documents.revision();
  const auto configuration = state_->fleet.configuration.version();
  state_->index = index;
  state_->time = std::max(state_->time, time);
  state_->expire();
  auto result =
    std::visit([this](const auto& typed) { return state_->run(typed, outgoing_); }, command);
  if (state_->fleet.configuration.version() > configuration) {
    setPrepaid(std::get<PutConfiguration>(command).budgets);
  }
  for (const auto& holder : state_->escrow.takeNewlyRetiring()) {
    state_->claims.markHolderClaimsUnknown(holder);
  }
  state_->escrow.checkTouched();
  invariant(state_->documents.revision() >= revision, "the document revision never decreases");
  return result;
}

Expected<std::string> ControlState::applyEncoded(std::uint64_t index,
                                                 Time time,
                                                 std::string_view command)
{
  const auto decoded = wire::decode<Command>(command);
  if (!decoded) {
    invariant(index > state_->index, "log entries are applied in order");
    state_->index = index;
    return tl::unexpected(decoded.error());
  }
  return wire::encode(apply(index, time, *decoded));
}

void ControlState::setPrepaid(std::span<const PrepaidBudget> budgets)
{
  auto recalls = state_->escrow.setPrepaid(budgets);
  std::move(recalls.begin(), recalls.end(), std::back_inserter(outgoing_));
  state_->escrow.checkTouched();
}

std::string ControlState::snapshot() const
{
  return wire::encode(*state_);
}

Expected<void> ControlState::restore(std::string_view bytes)
{
  auto state = std::make_unique<State>();
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    handle.get().convert(*state);
  } catch (const std::exception& error) {
    return fail(ErrorKind::codecError, error.what());
  }
  state->escrow.rebuildIndex();
  state->claims.rebuildIndex();
  state->fleet.endpoints.rebuildIndex();
  // Assigned in place, because the reference returned by fleet() has to stay valid.
  *state_ = std::move(*state);
  outgoing_.clear();
  return {};
}

std::vector<Outgoing> ControlState::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::vector<Outgoing> ControlState::reportRequests() const
{
  std::vector<Outgoing> requests;
  for (const auto& [id, holder] : state_->escrow.holders()) {
    if (!holder.retiring) {
      for (const auto& budgetId : holder.pendingFinals) {
        requests.push_back({ id.process, Recall{ id, budgetId } });
      }
      continue;
    }
    for (const auto& witness : state_->escrow.missingReports(id, holder)) {
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
  const auto& budgets = state_->escrow.budgets();
  const auto found = budgets.find(id);
  return found == budgets.end() ? std::nullopt : std::optional(viewOf(id, found->second));
}

std::vector<BudgetView> ControlState::budgets() const
{
  std::vector<BudgetView> views;
  for (const auto& [id, budget] : state_->escrow.budgets()) {
    views.push_back(viewOf(id, budget));
  }
  return views;
}

std::vector<StrandedView> ControlState::stranded() const
{
  return state_->escrow.stranded();
}

std::optional<DocumentView> ControlState::document(const TeamId& team) const
{
  const auto& documents = state_->documents.documents();
  const auto found = documents.find(team);
  if (found == documents.end()) {
    return std::nullopt;
  }
  DocumentView view{ team, found->second.version, found->second.revision, {} };
  for (const auto& version : found->second.history) {
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

std::size_t ControlState::keyedBillCount() const
{
  return state_->escrow.bills().size();
}

Tokens ControlState::keyedBill(const CallerId& caller,
                               std::string_view key,
                               const BudgetId& budget) const
{
  const auto& bills = state_->escrow.bills();
  const auto found = bills.find({ caller, std::string(key) });
  if (found != bills.end()) {
    for (const auto& [id, amount] : found->second.amounts) {
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
  for (const auto& [id, holder] : state_->escrow.holders()) {
    views.push_back({ id, holder.zone, holder.witnesses, holder.retiring });
  }
  return views;
}

std::vector<RetirementView> ControlState::takeRetirements()
{
  return state_->escrow.takeRetirements();
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
