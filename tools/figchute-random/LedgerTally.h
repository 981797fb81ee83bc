#pragma once

#include "ledger/ledger.h"
#include "Network.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::simulation {

/** An idempotency key within its caller. */
using KeyName = std::pair<CallerId, std::string>;

/** One attempt of a caller's request at one entry VM. */
struct Attempt
{
  RequestId request;
  CallerId caller;
  /** Empty for a request without a key. */
  std::string key;
  std::vector<BudgetId> budgets;
  Tokens bound;
  Tokens actual;
  /** A non-idempotent call that claims its key and costs nothing. */
  bool booking = false;
};

/** An independent record of what the ledger promised: spend never exceeds what was bought, a key is
    billed once with the maximum of its attempts, a claimed key runs at most once, versions and
    revisions never go down, and every budget is conserved. */
class LedgerTally
{
public:
  /** Records an applied command. The checks on the state run once per entry.
      @param result  the encoded result, which must be the same at every control VM */
  void applied(std::uint64_t index,
               const ledger::Command& command,
               const std::string& result,
               const ledger::ControlState& state);

  /** Records that an entry VM billed an attempt, whose answer may not be complete. */
  void charged(const Attempt& attempt);

  /** Records that a caller got the whole answer of an attempt. */
  void answered(const Attempt& attempt);

  /** Records that a claimed request ran. */
  void ran(const Attempt& attempt);

  /** Records the answer of a booking as its caller got it. */
  void booked(const Attempt& attempt, const std::string& body);

  /** Records the revision that one start of an entry VM has in force. */
  void inForce(const HolderId& entry, std::uint64_t revision);

  /** Compares what wallets can still spend with what control counts as held.
      @param spendable  the sum over all wallets */
  void checkHeld(const BudgetId& budget, Tokens spendable) const;

  /** Checks settled totals after everything was reported and drained. */
  void checkSettled() const;

  [[nodiscard]] const std::map<BudgetId, ledger::BudgetView>& budgets() const { return budgets_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint64_t answers() const { return answers_; }
  [[nodiscard]] std::size_t bookings() const { return runs_.size(); }

private:
  /** What the requests of one budget were billed, counted per request and per key. */
  struct Spend
  {
    Tokens unkeyed;
    std::map<KeyName, Tokens> keyedCharges;

    void add(const Attempt& attempt);
    [[nodiscard]] Tokens total() const;
    Tokens keyedTotal;
  };

  void check(const ledger::ApplyDocument& command, const ledger::Result& result);
  void checkBills(const ledger::Command& command, const ledger::ControlState& state);
  void checkBudgets(const ledger::ControlState& state);

  std::map<std::uint64_t, Fingerprint> results_;
  std::uint64_t lastIndex_ = 0;
  std::map<BudgetId, ledger::BudgetView> budgets_;
  std::map<BudgetId, Spend> charged_;
  std::map<BudgetId, Spend> answered_;
  std::map<std::pair<KeyName, BudgetId>, Tokens> bills_;
  std::map<KeyName, RequestId> runs_;
  std::map<KeyName, std::string> bodies_;
  std::map<HolderId, std::uint64_t> inForce_;
  std::map<TeamId, std::uint64_t> versions_;
  std::map<std::pair<TeamId, ChangeId>, std::string> changes_;
  std::uint64_t revision_ = 0;
  std::uint64_t answers_ = 0;
};

} // namespace figchute::simulation
