#include "ledger/Witness.h"

#include <utility>

namespace figchute::ledger {

Witness::Witness(HolderId self)
  : self_(std::move(self))
{
}

void Witness::receive(Time /*now*/, const ProcessId& from, const Message& message)
{
  if (const auto* recordMessage = std::get_if<WitnessRecord>(&message)) {
    record(from, *recordMessage);
  }
  if (const auto* request = std::get_if<WitnessReportRequest>(&message)) {
    report(from, *request);
  }
  if (const auto* forgetMessage = std::get_if<WitnessForget>(&message)) {
    forget(forgetMessage->through);
  }
}

bool Witness::isClosed(const HolderId& holder) const
{
  for (auto at = copies_.lower_bound(holder);
       at != copies_.end() && at->first.process == holder.process;
       ++at) {
    const bool older = holder < at->first;
    if (at->second.forgotten || (at->second.reported && !older)) {
      return true;
    }
  }
  return false;
}

void Witness::record(const ProcessId& from, const WitnessRecord& message)
{
  const auto& holder = message.record.holder;
  if (isClosed(holder)) {
    return;
  }
  auto& copy = copies_[holder];
  // A record that arrives after a later one is ignored and not acknowledged. The later one may
  // contain confirmations only.
  if (message.sequence < copy.sequence) {
    return;
  }
  copy.sequence = message.sequence;
  for (const auto& budgetId : message.confirmed) {
    copy.totals.erase(budgetId);
  }
  for (const auto& totals : message.record.totals) {
    copy.totals[totals.budget] = totals;
  }
  for (const auto& charge : message.record.keyed) {
    copy.keyed[charge.sequence] = charge;
  }
  copy.keyed.erase(copy.keyed.begin(), copy.keyed.upper_bound(message.keyedSettledThrough));
  outgoing_.push_back({ from, WitnessAck{ holder, self_, message.sequence } });
}

void Witness::report(const ProcessId& from, const WitnessReportRequest& message)
{
  auto& copy = copies_[message.holder];
  copy.reported = true;
  HolderRecord record{ message.holder, {}, {} };
  for (const auto& [budgetId, totals] : copy.totals) {
    record.totals.push_back(totals);
  }
  for (const auto& [sequence, charge] : copy.keyed) {
    record.keyed.push_back(charge);
  }
  outgoing_.push_back({ from, WitnessReport{ self_, std::move(record) } });
}

std::vector<Outgoing> Witness::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

void Witness::forget(const HolderId& through)
{
  const auto first = copies_.lower_bound(HolderId{ through.process, Incarnation{ 0 } });
  const auto last = copies_.lower_bound(through);
  copies_.erase(first, last);
  auto& copy = copies_[through];
  copy.totals.clear();
  copy.keyed.clear();
  copy.forgotten = true;
}

std::size_t Witness::size() const
{
  std::size_t size = 0;
  for (const auto& [holder, copy] : copies_) {
    size += copy.totals.size() + copy.keyed.size();
  }
  return size;
}

} // namespace figchute::ledger
