#include "ledger/Witness.h"

#include <algorithm>
#include <utility>

namespace figchute::ledger {

Witness::Witness(HolderId self)
  : self_(std::move(self))
{
}

void Witness::receive(Time /*now*/, const ProcessId& from, const Message& message)
{
  if (const auto* recordMessage = std::get_if<WitnessRecord>(&message)) {
    storeRecord(from, *recordMessage);
  }
  if (const auto* request = std::get_if<WitnessReportRequest>(&message)) {
    sendReport(from, *request);
  }
  if (const auto* forgetMessage = std::get_if<WitnessForget>(&message)) {
    dropRecords(*forgetMessage);
  }
}

bool Witness::isReportedOrRetired(const HolderId& holder) const
{
  for (auto recordEntry = storedRecords_.lower_bound(holder);
       recordEntry != storedRecords_.end() && recordEntry->first.process == holder.process;
       ++recordEntry) {
    const bool isOlder = holder < recordEntry->first;
    if (recordEntry->second.holderRetired || (recordEntry->second.reported && !isOlder)) {
      return true;
    }
  }
  return false;
}

bool Witness::isDropped(const HolderId& holder) const
{
  for (auto recordEntry = storedRecords_.lower_bound(holder);
       recordEntry != storedRecords_.end() && recordEntry->first.process == holder.process;
       ++recordEntry) {
    const auto& [recordHolder, stored] = *recordEntry;
    const bool isOlder = holder.incarnation < stored.oldestPending;
    if (stored.holderRetired && (recordHolder == holder || isOlder)) {
      return true;
    }
  }
  return false;
}

void Witness::storeRecord(const ProcessId& from, const WitnessRecord& message)
{
  const auto& holder = message.record.holder;
  if (isReportedOrRetired(holder)) {
    return;
  }
  auto& stored = storedRecords_[holder];
  // A record that arrives after a later one is ignored and not acknowledged. The later one may
  // contain confirmations only.
  if (message.sequence < stored.sequence) {
    return;
  }
  stored.sequence = message.sequence;
  for (const auto& budgetId : message.confirmed) {
    stored.totals.erase(budgetId);
  }
  for (const auto& totals : message.record.totals) {
    stored.totals[totals.budget] = totals;
  }
  for (const auto& charge : message.record.keyedCharges) {
    stored.keyedCharges[charge.sequence] = charge;
  }
  stored.keyedCharges.erase(stored.keyedCharges.begin(),
                            stored.keyedCharges.upper_bound(message.settledKeyedSequence));
  outgoing_.push_back({ from, WitnessAck{ holder, self_, message.sequence } });
}

void Witness::sendReport(const ProcessId& from, const WitnessReportRequest& message)
{
  if (isDropped(message.holder)) {
    return;
  }
  auto& stored = storedRecords_[message.holder];
  stored.reported = true;
  HolderRecord record{ message.holder, {}, {} };
  for (const auto& [budgetId, totals] : stored.totals) {
    record.totals.push_back(totals);
  }
  for (const auto& [sequence, charge] : stored.keyedCharges) {
    record.keyedCharges.push_back(charge);
  }
  outgoing_.push_back({ from, WitnessReport{ self_, std::move(record) } });
}

std::vector<OutgoingMessage> Witness::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

void Witness::dropRecords(const WitnessForget& message)
{
  const auto& retired = message.retired;
  const auto end = std::min(message.oldestPending, retired.incarnation);
  const auto first = storedRecords_.lower_bound(HolderId{ retired.process, Incarnation{ 0 } });
  const auto last = storedRecords_.lower_bound(HolderId{ retired.process, end });
  storedRecords_.erase(first, last);
  auto& stored = storedRecords_[retired];
  stored.totals.clear();
  stored.keyedCharges.clear();
  stored.holderRetired = true;
  stored.oldestPending = std::max(stored.oldestPending, end);
}

std::size_t Witness::size() const
{
  std::size_t size = 0;
  for (const auto& [holder, stored] : storedRecords_) {
    size += stored.totals.size() + stored.keyedCharges.size();
  }
  return size;
}

} // namespace figchute::ledger
