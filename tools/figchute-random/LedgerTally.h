#pragma once

#include "ledger/ledger.h"
#include "Network.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::simulation {

/** An idempotency key together with its caller, within which it is unique. */
using CallerKey = std::pair<CallerId, std::string>;

/** One attempt of a caller's request at one entry VM. */
struct Attempt
{
  RequestId requestId;
  CallerId caller;
  /** Empty for a request without a key. */
  std::string key;
  std::vector<BudgetId> budgets;
  Tokens maxTokens;
  Tokens actualTokens;
  /** A non-idempotent call that claims its key and costs nothing. */
  bool isBooking = false;
};

/** Checks the guarantees of the ledger with an independent record: spend never exceeds the bought
    tokens, a key is billed once with the maximum of its attempts, a claimed key runs at most once,
    versions and revisions never decrease, and every budget is conserved. */
class LedgerTally
{
public:
  /** Checks an applied command. The checks on the state run once per entry.
      @param result  the encoded result, which must be the same at every control VM */
  void checkApplied(std::uint64_t index,
                    const ledger::Command& command,
                    const std::string& result,
                    const ledger::ControlState& state);

  /** Records that an entry VM charged an attempt, whose answer may be incomplete. */
  void recordCharge(const Attempt& attempt);

  /** Records that a caller received the complete answer of an attempt, and checks for overspend. */
  void checkAnswer(const Attempt& attempt);

  /** Checks that a claimed request runs at most once. */
  void checkRun(const Attempt& attempt);

  /** Checks that all callers of a booking receive the same answer. */
  void checkBookingResult(const Attempt& attempt, const std::string& body);

  /** Checks that the active revision of one start of an entry VM never decreases. */
  void checkActiveRevision(const HolderId& entry, std::uint64_t revision);

  /** Checks that quota managers cannot spend more than control counts as held.
      @param spendable  the sum over all quota managers */
  void checkHeld(const BudgetId& budget, Tokens spendable) const;

  /** Checks the settled totals after all quota managers have reported and drained. */
  void checkSettled() const;

  [[nodiscard]] const std::map<BudgetId, ledger::BudgetView>& budgets() const { return budgets_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::uint64_t answerCount() const { return answerCount_; }
  [[nodiscard]] std::size_t bookingCount() const { return runByKey_.size(); }

private:
  /** The tokens charged to one budget: per request without a key, and per key otherwise. */
  struct Spend
  {
    Tokens unkeyedTotal;
    std::map<CallerKey, Tokens> keyedCharges;

    void add(const Attempt& attempt);
    [[nodiscard]] Tokens total() const;
    Tokens keyedTotal;
  };

  void checkDocument(const ledger::ApplyDocument& command, const ledger::Result& result);
  void checkKeyedCharges(const ledger::Command& command, const ledger::ControlState& state);
  void checkBudgets(const ledger::ControlState& state);

  std::map<std::uint64_t, Fingerprint> resultHashes_;
  std::uint64_t lastIndex_ = 0;
  std::map<BudgetId, ledger::BudgetView> budgets_;
  std::map<BudgetId, Spend> chargedSpend_;
  std::map<BudgetId, Spend> answeredSpend_;
  std::map<std::pair<CallerKey, BudgetId>, Tokens> billedTokens_;
  std::map<CallerKey, RequestId> runByKey_;
  std::map<CallerKey, std::string> bodyByKey_;
  std::map<HolderId, std::uint64_t> activeRevisions_;
  std::map<TeamId, std::uint64_t> teamVersions_;
  std::map<std::pair<TeamId, ChangeId>, std::string> changeResults_;
  std::uint64_t revision_ = 0;
  std::uint64_t answerCount_ = 0;
};

} // namespace figchute::simulation
