#pragma once

#include "ledger/Budget.h"
#include "ledger/ControlState.h"
#include "ledger/Message.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace figchute::ledger::detail {

/** One registered holder. */
struct Holder
{
  ZoneId zone;
  std::uint64_t registration = 0;
  std::vector<HolderId> witnesses;
  /** Charges need no record; the witnesses know what the holder opened of its reserves. */
  bool reserves = false;
  /** The wall clock of the holder's VM when it created its last Settle, or when it started. */
  Time contactAt;
  /** The wall clock of that VM when the next incarnation started; 0 until it is registered. */
  Time replacedAt;
  std::uint64_t settleSequence = 0;
  /** The result of the last Settle, for its resends. */
  SettleResult lastSettle;
  std::uint64_t keyedThrough = 0;
  /** The largest grant sequence of a closed account; a request up to it is a duplicate. */
  std::uint64_t closedGrant = 0;
  bool retiring = false;
  std::set<HolderId> reported;
  std::map<std::uint64_t, KeyedCharge> reportedKeyed;
  /** Budgets with a final transfer total that the holder does not know yet. */
  std::set<BudgetId> finals;

  MSGPACK_DEFINE(zone,
                 registration,
                 witnesses,
                 reserves,
                 contactAt,
                 replacedAt,
                 settleSequence,
                 lastSettle,
                 keyedThrough,
                 closedGrant,
                 retiring,
                 reported,
                 reportedKeyed,
                 finals)
};

/** A caller with an idempotency key. */
using KeyName = std::pair<CallerId, std::string>;

/** The bill of one key per budget. */
struct Bill
{
  std::vector<Purchase> amounts;

  MSGPACK_DEFINE(amounts)
};

/** The time of the first settlement of a key. */
struct BillAge
{
  Time first;
  KeyName key;

  MSGPACK_DEFINE(first, key)
};

/** Budgets, holders, grants, settlement and retirement.
    Thread safety: use one instance from one thread only. */
class EscrowBook
{
public:
  /** Returns why the purchases cannot be applied, or nothing when they can. */
  [[nodiscard]] std::optional<Error> checkPurchases(const TeamId& team,
                                                    const std::vector<Purchase>& purchases) const;
  void applyPurchases(const std::vector<Purchase>& purchases);

  /** Replaces the amounts of all prepaid budgets. Budgets that are not named any more grant
     nothing, and keep what was spent in case they are named again.
      @param budgets  every budget of the configuration, without duplicates
      @returns the recalls to the holders of lowered and closed budgets */
  std::vector<Outgoing> setPrepaid(std::span<const PrepaidBudget> budgets);

  GrantResult grant(Time time, const Grant& command, std::vector<Outgoing>& outgoing);
  SettleResult settle(Time time, const Settle& command);
  RegisterResult registerHolder(Time time,
                                const RegisterHolder& command,
                                std::vector<Outgoing>& outgoing);
  RetireResult retire(Time time, const Retire& command, std::vector<Outgoing>& outgoing);

  /** Returns the refusal for a holder that may not act, or an empty verdict. */
  [[nodiscard]] Verdict checkHolder(const HolderId& holder) const;
  /** Returns the incarnations that began to retire since the last call. */
  std::vector<HolderId> takeRetiring();
  /** Returns the holders with reserves that were retired since the last call. */
  std::vector<RetirementView> takeRetirements() { return std::exchange(retirements_, {}); }
  /** Forgets keyed bills whose first settlement is older than keyRetention. */
  void expire(Time time);
  /** Checks the invariants of the budgets touched since the last call. */
  void checkTouched();
  /** Rebuilds the index that is no part of a snapshot. */
  void rebuildIndex();

  [[nodiscard]] const std::map<BudgetId, Budget>& budgets() const { return budgets_; }
  [[nodiscard]] const std::map<HolderId, Holder>& holders() const { return holders_; }
  [[nodiscard]] const std::map<KeyName, Bill>& bills() const { return bills_; }
  [[nodiscard]] std::vector<StrandedView> stranded() const;
  [[nodiscard]] std::vector<HolderId> missingReports(const HolderId& id,
                                                     const Holder& holder) const;

  MSGPACK_DEFINE(budgets_, holders_, retiredThrough_, bills_, billAges_)

private:
  struct ByName
  {
    bool operator()(const BudgetId* a, const BudgetId* b) const { return *a < *b; }
  };
  using BudgetIndex = std::set<const BudgetId*, ByName>;

  GrantedItem grantItem(Time time,
                        const HolderId& id,
                        Holder& holder,
                        const GrantItem& item,
                        std::vector<Outgoing>& outgoing);
  /** Grants tokens of a prepaid budget: open ones from what is free, else from the holder's own
      reserve, and a new share of the reserve. */
  GrantedItem grantPrepaid(Time time,
                           const HolderId& id,
                           const GrantItem& item,
                           Budget& budget,
                           std::vector<Outgoing>& outgoing);
  /** Returns the reserve that a holder should have, half of it by its part of the recent use. */
  [[nodiscard]] Tokens reserveTarget(Time time,
                                     const Holder& holder,
                                     const Budget& budget,
                                     const HolderAccount& account) const;
  [[nodiscard]] UnlockedAmountStatus openedProof(const Holder& holder) const;
  [[nodiscard]] bool isRetired(const HolderId& id) const;
  static void recall(Time time,
                     const HolderId& asker,
                     const BudgetId& id,
                     Budget& budget,
                     const std::map<HolderId, Holder>& holders,
                     std::vector<Outgoing>& outgoing);
  /** Returns how much a holder may get for its demand, beyond what its requests need now. */
  static Tokens demandShare(Time time, const Budget& budget, const HolderAccount& account);
  /** Returns what a holder gets for its demand: what it asked for, within the use of the whole
     fleet as far as that is known. */
  static Tokens demandOf(Time time,
                         const Budget& budget,
                         const HolderAccount& account,
                         Tokens asked);
  void recallAll(const BudgetId& id, const Budget& budget, std::vector<Outgoing>& outgoing) const;
  bool mergeTotals(Time time, const HolderId& id, const AccountTotals& totals);
  /** Merges totals of a holder without witnesses. They are facts, so each is accepted; an account
     may look negative until control hears of the transfer that covers it. The sum over all accounts
      and free() do not depend on transfers. */
  void mergeUnwitnessed(Time time, const HolderId& id, const AccountTotals& totals);
  bool addHolder(const HolderId& peer);
  std::optional<KeyedBill> settleKeyed(Time time, const HolderId& id, const KeyedCharge& charge);
  bool closeAccount(const HolderId& id, Holder& holder, const BudgetId& name);
  std::vector<FinalTransfer> finalsFor(const HolderId& id, Holder& holder);
  [[nodiscard]] std::optional<Incarnation> newestIncarnation(const ProcessId& process) const;
  [[nodiscard]] std::vector<HolderId> retiringOf(const ProcessId& process) const;
  void tellReceivers(const HolderId& sender, const BudgetId& name, std::vector<Outgoing>& outgoing);
  void addReport(Time time,
                 const HolderId& reporter,
                 const HolderRecord& record,
                 Holder& holder,
                 std::vector<Outgoing>& outgoing);
  /** @param startedAt  the wall clock at the start of the incarnation that follows, or 0 */
  void startRetiring(const ProcessId& process, Incarnation through, Time startedAt);
  /** Completes retirements that waited for a witness that is gone. */
  void completeWithout(Time time, const ProcessId& witness, std::vector<Outgoing>& outgoing);
  void completeIfPossible(Time time, const HolderId& id, bool ask, std::vector<Outgoing>& outgoing);
  void complete(Time time, const HolderId& id, std::vector<Outgoing>& outgoing);
  void closeFlows(const HolderId& id,
                  const BudgetId& name,
                  Budget& budget,
                  std::vector<Outgoing>& outgoing);
  static void closeUnwitnessed(const HolderId& id, Budget& budget, RetirementView& retirement);
  void tellFinal(const HolderId& live, const BudgetId& name, std::vector<Outgoing>& outgoing);
  [[nodiscard]] Tokens heldBy(const HolderId& id) const;
  HolderAccount& openAccount(const HolderId& id, std::map<BudgetId, Budget>::iterator budget);

  std::map<BudgetId, Budget> budgets_;
  std::map<HolderId, Holder> holders_;
  /** Incarnations up to the number are retired or retiring and may not register. */
  std::map<ProcessId, Incarnation> retiredThrough_;
  std::map<KeyName, Bill> bills_;
  std::deque<BillAge> billAges_;
  /** The budgets in which a holder has an account or a transfer. */
  std::map<HolderId, BudgetIndex> index_;
  std::vector<const BudgetId*> touched_;
  std::vector<HolderId> newlyRetiring_;
  /** For logs only, at most kMostRetirements. */
  std::vector<RetirementView> retirements_;
};

} // namespace figchute::ledger::detail
