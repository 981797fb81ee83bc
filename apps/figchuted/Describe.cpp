#include "Describe.h"

namespace figchuted {
namespace {

using namespace figchute;
using json::Value;

double milliseconds(Duration duration)
{
  return static_cast<double>(duration.count()) / 1e3;
}

Value describeRank(Rank rank, const routing::RankCounters& counters, std::uint32_t queued)
{
  return Value::object({ { "rank", std::string(toString(rank)) },
                         { "submitted", counters.submitted },
                         { "refused", counters.refused },
                         { "on_time", counters.onTime },
                         { "late", counters.late },
                         { "completed", counters.completed },
                         { "failed", counters.failed },
                         { "abandoned", counters.abandoned },
                         { "retries", counters.retries },
                         { "preempted", counters.preempted },
                         { "tokens", counters.tokens },
                         { "queued", queued } });
}

std::string_view stateName(membership::MemberState state)
{
  switch (state) {
    case membership::MemberState::alive:
      return "alive";
    case membership::MemberState::suspect:
      return "suspect";
    case membership::MemberState::dead:
      break;
  }
  return "dead";
}

Value describeAccounts(const std::vector<ledger::AccountView>& accounts)
{
  Value rows = Value::array();
  for (const auto& account : accounts) {
    rows.push(Value::object({ { "budget", account.budget.value },
                              { "granted", account.granted.count },
                              { "transferred_in", account.transferredIn.count },
                              { "transferred_out", account.transferredOut.count },
                              { "spent", account.spent.count },
                              { "returned", account.returned.count },
                              { "reserved", account.reserved.count },
                              { "available", account.available.count } }));
  }
  return rows;
}

} // namespace

Value describeService(const routing::RouterDump& dump)
{
  Value ranks = Value::array();
  for (std::size_t i = 0; i < kRankCount; ++i) {
    ranks.push(describeRank(static_cast<Rank>(i), dump.ranks[i], dump.queued[i]));
  }
  Value workspaces = Value::array();
  for (const auto& workspace : dump.workspaces) {
    workspaces.push(Value::object({ { "workspace", workspace.id.value },
                                    { "queued", workspace.queued },
                                    { "running", workspace.running },
                                    { "served_tokens", workspace.servedTokens } }));
  }
  return Value::object({ { "ranks", ranks },
                         { "workspaces", workspaces },
                         { "plain_submitted", dump.plainSubmitted },
                         { "plain_refused", dump.plainRefused } });
}

Value describeEndpoints(const routing::RouterDump& dump)
{
  Value rows = Value::array();
  for (const auto& endpoint : dump.endpoints) {
    std::string serves = endpoint.service.value;
    for (const auto& model : endpoint.models) {
      serves += (serves.empty() ? "" : " ") + model.value;
    }
    rows.push(Value::object({ { "endpoint", endpoint.id.value },
                              { "address", endpoint.address },
                              { "zone", endpoint.zone.value },
                              { "serves", serves },
                              { "slots", endpoint.slots },
                              { "running", endpoint.running },
                              { "waiting", endpoint.waiting },
                              { "own_in_flight", endpoint.ownInFlight },
                              { "limit", endpoint.limit },
                              { "age_ms", milliseconds(endpoint.age) },
                              { "leaving", endpoint.leaving },
                              { "ejected", endpoint.ejected },
                              { "checks_fencing", endpoint.checksFencing } }));
  }
  return Value::object({ { "endpoints", rows } });
}

Value describeEntry(const entry::EntryDump& dump)
{
  Value members = Value::array();
  for (const auto& member : dump.members) {
    members.push(Value::object({ { "process", member.id.value },
                                 { "zone", member.zone.value },
                                 { "state", std::string(stateName(member.state)) } }));
  }
  Value quarantine = Value::array();
  for (const auto& entry : dump.quarantine) {
    quarantine.push(Value::object({ { "fingerprint", std::to_string(entry.fingerprint) },
                                    { "crashes", entry.crashes },
                                    { "until", entry.until.micros / 1'000'000 } }));
  }
  return Value::object({ { "revision", dump.revision },
                         { "requests_in_progress", dump.requests },
                         { "wallet_ready", dump.quotaManagerReady },
                         { "control_reachable", dump.isControlReachable },
                         { "witness_lines", dump.witnessLines },
                         { "accounts", describeAccounts(dump.accounts) },
                         { "members", members },
                         { "quarantine", quarantine },
                         { "service", describeService(dump.router) },
                         { "routing", describeEndpoints(dump.router) } });
}

Value describePeers(std::span<const transport::PeerStatus> peers)
{
  Value rows = Value::array();
  for (const auto& status : peers) {
    rows.push(Value::object({ { "process", status.peer.id.value },
                              { "address", status.peer.address },
                              { "zone", status.peer.zone.value },
                              { "alive", status.alive } }));
  }
  return rows;
}

Value describeMetrics(const Metrics& metrics)
{
  Value counters = Value::array();
  for (const auto& [name, count] : metrics.counters()) {
    counters.push(Value::object({ { "counter", name }, { "value", count } }));
  }
  Value latencies = Value::array();
  for (const auto& [name, summary] : metrics.latencies()) {
    latencies.push(Value::object({ { "latency", name },
                                   { "count", summary.count },
                                   { "median_ms", milliseconds(summary.median) },
                                   { "p95_ms", milliseconds(summary.p95) },
                                   { "p99_ms", milliseconds(summary.p99) } }));
  }
  return Value::object({ { "counters", counters }, { "latencies", latencies } });
}

} // namespace figchuted
