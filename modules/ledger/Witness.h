#pragma once

#include "ledger/Message.h"

#include <map>
#include <vector>

namespace figchute::ledger {

/** Keeps records of the charges and transfers of other holders until control has confirmed them.
    Thread safety: use one instance from one thread only. */
class Witness
{
public:
  /** @param self  the process incarnation that sends the reports; records are kept in memory only
                   and do not outlive it */
  explicit Witness(HolderId self);

  /** Handles a WitnessRecord, a WitnessReportRequest or a WitnessForget; other messages are
     ignored.
      @param from  the sender, which the answer is sent to */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns the number of account totals and keyed charges kept. */
  [[nodiscard]] std::size_t size() const;

private:
  struct StoredRecord
  {
    std::uint64_t sequence = 0;
    /** Set by the first report. No later record is accepted. */
    bool reported = false;
    /** Set when control has completely retired this incarnation. */
    bool holderRetired = false;
    /** With holderRetired: all incarnations before this one are completely retired, too. */
    Incarnation oldestPending;
    std::map<BudgetId, AccountTotals> totals;
    std::map<std::uint64_t, KeyedCharge> keyedCharges;
  };

  void storeRecord(const ProcessId& from, const WitnessRecord& message);
  void dropRecords(const WitnessForget& message);
  [[nodiscard]] bool isReportedOrRetired(const HolderId& holder) const;
  /** Returns whether the records of a holder were dropped, so that nothing is known about it. */
  [[nodiscard]] bool isDropped(const HolderId& holder) const;
  void sendReport(const ProcessId& from, const WitnessReportRequest& message);

  HolderId self_;
  std::map<HolderId, StoredRecord> storedRecords_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger
