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

  /** Handles a WitnessRecord or a WitnessReportRequest; other messages are ignored.
      @param from  the process that the answer goes to */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Drops the records of holders that control has retired.
      @param process  a process
      @param through  this incarnation and older ones are retired */
  void forget(const ProcessId& process, Incarnation through);

  /** Returns the number of account lines and keyed charges kept. */
  [[nodiscard]] std::size_t size() const;

private:
  struct Copy
  {
    std::uint64_t sequence = 0;
    /** Set by the first report; no record is acknowledged after it. */
    bool reported = false;
    std::map<BudgetId, AccountTotals> totals;
    std::map<std::uint64_t, KeyedCharge> keyed;
  };

  void record(const ProcessId& from, const WitnessRecord& message);
  void report(const ProcessId& from, const WitnessReportRequest& message);

  HolderId self_;
  std::map<HolderId, Copy> copies_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::ledger
