#pragma once

#include "ledger/Message.h"

#include <map>
#include <vector>

namespace figchute::ledger {

/** Keeps copies of other holders' charges and transfers until control has confirmed them.
    Thread safety: use one instance from one thread only. */
class Witness
{
public:
  /** @param self  the process and incarnation that reports are made under; records do not outlive
                   the incarnation */
  explicit Witness(HolderId self);

  /** Handles a WitnessRecord, a WitnessReportRequest or a WitnessForget; other messages are
     ignored.
      @param from  the process that the answer goes to */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the number of account lines and keyed charges kept. */
  [[nodiscard]] std::size_t size() const;

private:
  struct Copy
  {
    std::uint64_t sequence = 0;
    /** Set by the first report; no record is acknowledged after it. */
    bool reported = false;
    /** Set when control has retired this and all older incarnations. */
    bool forgotten = false;
    std::map<BudgetId, AccountTotals> totals;
    std::map<std::uint64_t, KeyedCharge> keyed;
  };

  void record(const ProcessId& from, const WitnessRecord& message);
  void forget(const HolderId& through);
  [[nodiscard]] bool isClosed(const HolderId& holder) const;
  void report(const ProcessId& from, const WitnessReportRequest& message);

  HolderId self_;
  std::map<HolderId, Copy> copies_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::ledger
