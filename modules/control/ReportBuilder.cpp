#include "control/ReportBuilder.h"

namespace figchute::control {
namespace {

using json::Value;

Value secondsSince(Time now, Time then)
{
  return Value(static_cast<double>((now - then).count()) / 1e6);
}

Value spendReport(const ledger::ControlState& state)
{
  Value budgets = Value::array();
  const auto stranded = state.unreclaimedTokens();
  for (const auto& budget : state.budgets()) {
    std::int64_t strandedAmount = 0;
    for (const auto& entry : stranded) {
      strandedAmount += entry.budget == budget.budget ? entry.amount.count : 0;
    }
    budgets.push(Value::object({ { "budget", budget.budget.value },
                                 { "bought", budget.bought.count },
                                 { "settled", budget.settled.count },
                                 { "held", budget.held.count },
                                 { "free", budget.free.count },
                                 { "stranded", strandedAmount } }));
  }
  Value strandedEntries = Value::array();
  for (const auto& entry : stranded) {
    std::string missing;
    for (const auto& witness : entry.missingWitnesses) {
      missing += (missing.empty() ? "" : " ") + witness.process.value;
    }
    strandedEntries.push(Value::object({ { "holder", entry.holder.process.value },
                                         { "incarnation", entry.holder.incarnation.number },
                                         { "budget", entry.budget.value },
                                         { "amount", entry.amount.count },
                                         { "missing_witnesses", missing } }));
  }
  return Value::object({ { "budgets", budgets }, { "stranded", strandedEntries } });
}

std::optional<Value> documentReport(const ledger::ControlState& state, const std::string& team)
{
  const auto view = state.document(TeamId(team));
  if (!view || view->history.empty()) {
    return std::nullopt;
  }
  const auto& latest = view->history.back();
  return Value::object({ { "team", team },
                         { "version", view->version },
                         { "change", latest.change.value },
                         { "text", latest.text } });
}

std::optional<Value> historyReport(const ledger::ControlState& state, const std::string& team)
{
  const auto view = state.document(TeamId(team));
  if (!view) {
    return std::nullopt;
  }
  Value rows = Value::array();
  for (const auto& version : view->history) {
    rows.push(Value::object({ { "version", version.version },
                              { "change", version.change.value },
                              { "time", version.time.micros / 1'000'000 },
                              { "bytes", version.text.size() } }));
  }
  return Value::object({ { "history", rows } });
}

Value versionsReport(Time now, const ControlCore& core)
{
  Value rows = Value::array();
  for (const auto& [process, poll] : core.polls()) {
    rows.push(Value::object({ { "process", process.value },
                              { "revision", poll.revision },
                              { "seconds_ago", secondsSince(now, poll.time) } }));
  }
  return Value::object({ { "revision", core.state().revision() }, { "versions", rows } });
}

Value membersReport(Time now, const ControlCore& core)
{
  Value rows = Value::array();
  const auto state = core.dump().log;
  for (const auto& member : state.members.members) {
    std::uint64_t matchIndex = member.id.process == state.self ? state.lastIndex : 0;
    Value lastContact;
    for (const auto& progress : state.progress) {
      if (progress.id.process == member.id.process) {
        matchIndex = progress.matchIndex;
        lastContact = secondsSince(now, progress.lastContactAt);
      }
    }
    rows.push(Value::object({ { "process", member.id.process.value },
                              { "disk", member.id.diskId },
                              { "voter", member.voter },
                              { "leader", member.id.process == state.self },
                              { "matched", matchIndex },
                              { "heard_seconds_ago", lastContact } }));
  }
  return Value::object(
    { { "term", state.term }, { "commit", state.commitIndex }, { "members", rows } });
}

} // namespace

std::optional<Value> makeReport(Time now,
                                const ControlCore& core,
                                ReportKind kind,
                                const std::string& argument)
{
  switch (kind) {
    case ReportKind::document:
      return documentReport(core.state(), argument);
    case ReportKind::history:
      return historyReport(core.state(), argument);
    case ReportKind::spend:
      return spendReport(core.state());
    case ReportKind::versions:
      return versionsReport(now, core);
    case ReportKind::members:
      return membersReport(now, core);
  }
  return std::nullopt;
}

Value describeLog(const ControlDump& dump)
{
  return Value::object({ { "role", std::string(replication::toString(dump.log.role)) },
                         { "term", dump.log.term },
                         { "leader", dump.log.leader.value_or(ProcessId()).value },
                         { "disk", dump.log.diskId },
                         { "last_index", dump.log.lastIndex },
                         { "commit_index", dump.log.commitIndex },
                         { "applied_index", dump.log.appliedIndex },
                         { "snapshot_index", dump.log.snapshotIndex },
                         { "revision", dump.revision },
                         { "waiting_proposals", dump.pendingProposals },
                         { "claims", dump.claims },
                         { "keyed_bills", dump.keyedBillCount } });
}

} // namespace figchute::control
