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
  /** True when the holder records no charges; its witnesses record only the unlocked part of its
      reserves. */
  bool hasReserves = false;
  /** The last clock reading that the holder has reported to have received. */
  ClockReading contact;
  /** True when the next incarnation has proved with a later reading of the same clock that the
     holder ended within kMinDetachTime of its last contact. */
  bool endedInContact = false;
  std::uint64_t settleSequence = 0;
  /** The result of the last Settle, returned again when the command is resent. */
  SettleResult lastSettle;
  std::uint64_t settledKeyedSequence = 0;
  /** The largest grant sequence of a closed account. A grant request up to it is a duplicate. */
  std::uint64_t closedGrantSequence = 0;
  bool retiring = false;
  std::set<HolderId> reported;
  std::map<std::uint64_t, KeyedCharge> reportedKeyedCharges;
  /** Budgets with a final transfer total that has not been reported to the holder yet. */
  std::set<BudgetId> pendingFinalTransfers;

  MSGPACK_DEFINE(zone,
                 registration,
                 witnesses,
                 hasReserves,
                 contact,
                 endedInContact,
                 settleSequence,
                 lastSettle,
                 settledKeyedSequence,
                 closedGrantSequence,
                 retiring,
                 reported,
                 reportedKeyedCharges,
                 pendingFinalTransfers)
};

/** An idempotency key, which is unique within its caller. */
using CallerKey = std::pair<CallerId, std::string>;

/** The amounts billed for one key, per budget. */
struct Bill
{
  std::vector<Purchase> amounts;

  MSGPACK_DEFINE(amounts)
};

/** The time at which a charge of a key was first settled. */
struct BillStart
{
  Time firstSettledAt;
  CallerKey key;

  MSGPACK_DEFINE(firstSettledAt, key)
};

/** Manages budgets, holders, grants, settlement and retirement.
    Thread safety: use one instance from one thread only. */
class BudgetLedger
{
public:
  /** Returns the reason why the purchases cannot be applied, or nothing when they can. */
  [[nodiscard]] std::optional<Error> checkPurchases(const TeamId& team,
                                                    const std::vector<Purchase>& purchases) const;
  void applyPurchases(const std::vector<Purchase>& purchases);

  /** Replaces the amounts of all prepaid budgets. A budget that is missing is closed: it grants
      nothing, but keeps its settled amount in case a later configuration names it again.
      @param budgets  all budgets of the configuration, without duplicates
      @returns the recalls to the holders of lowered and closed budgets */
  std::vector<OutgoingMessage> setPrepaid(std::span<const PrepaidBudget> budgets);

  GrantResult grant(Time time, const Grant& command, std::vector<OutgoingMessage>& outgoing);
  SettleResult settle(Time time, const Settle& command);
  RegisterResult registerHolder(Time time,
                                const RegisterHolder& command,
                                std::vector<OutgoingMessage>& outgoing);
  RetireResult retire(Time time, const Retire& command, std::vector<OutgoingMessage>& outgoing);

  /** Returns an error for a holder that is not registered or is retired, else an empty verdict. */
  [[nodiscard]] Verdict checkHolder(const HolderId& holder) const;
  /** Returns the incarnations that started to retire since the last call. */
  std::vector<HolderId> takeNewlyRetiringHolders();
  /** Returns the holders with reserves whose retirement was completed since the last call. */
  std::vector<RetirementView> takeRetirements() { return std::exchange(retirements_, {}); }
  /** Removes keyed bills whose first settlement is older than kKeyRetention. */
  void expire(Time time);
  /** Checks the invariants of the budgets touched since the last call. */
  void checkChangedBudgets();
  /** Checks that the sums of each budget are those of its accounts. */
  void checkSums() const;
  /** Rebuilds the index by holder, which is not part of a snapshot. */
  void rebuildIndex();

  [[nodiscard]] const std::map<BudgetId, Budget>& budgets() const { return budgets_; }
  [[nodiscard]] const std::map<HolderId, Holder>& holders() const { return holders_; }
  [[nodiscard]] const std::map<CallerKey, Bill>& bills() const { return bills_; }
  [[nodiscard]] std::vector<UnreclaimedTokensView> unreclaimedTokens() const;
  [[nodiscard]] std::vector<HolderId> missingReports(const HolderId& id,
                                                     const Holder& holder) const;

  MSGPACK_DEFINE(budgets_, holders_, newestRetired_, bills_, billsByAge_)

private:
  struct ById
  {
    bool operator()(const BudgetId* a, const BudgetId* b) const { return *a < *b; }
  };
  using BudgetIdSet = std::set<const BudgetId*, ById>;

  GrantedItem grantItem(Time time,
                        const HolderId& id,
                        Holder& holder,
                        const GrantItem& item,
                        std::vector<OutgoingMessage>& outgoing);
  /** Grants tokens of a prepaid budget. Unlocked tokens are taken from the free amount first and
      then from the holder's own reserve, which is then adjusted to its target. */
  GrantedItem grantPrepaid(Time time,
                           const HolderId& id,
                           const GrantItem& item,
                           Budget& budget,
                           std::vector<OutgoingMessage>& outgoing);
  /** Returns the reserve that a holder should have. One half of the total is divided equally, the
      other half by recent usage. */
  [[nodiscard]] Tokens reserveTarget(Time time,
                                     const Holder& holder,
                                     const Budget& budget,
                                     const HolderAccount& account) const;
  /** Returns whether a witness that still runs may report what a holder had unlocked, which is not
      known otherwise. */
  [[nodiscard]] bool isReportAwaited(const Holder& holder) const;
  [[nodiscard]] static RetirementProof retirementProof(const Holder& holder);
  [[nodiscard]] bool isRetired(const HolderId& id) const;
  /** Returns whether a holder is registered and not retiring. */
  [[nodiscard]] bool isLive(const HolderId& holder) const;
  /** Requests the idle tokens of other holders unless some were requested shortly before. */
  void recall(Time time,
              const HolderId& requester,
              const BudgetId& id,
              Budget& budget,
              std::vector<OutgoingMessage>& outgoing);
  /** Returns the limit of a grant for expected demand. Waiting requests are not subject to it. */
  static Tokens demandGrantLimit(Time time, Budget& budget, const HolderAccount& account);
  /** Limits the expected demand that a holder requests by its recent usage, once that is known. */
  static Tokens limitedDemand(Time time,
                              Budget& budget,
                              const HolderAccount& account,
                              Tokens requested);
  void recallAll(const BudgetId& id,
                 const Budget& budget,
                 std::vector<OutgoingMessage>& outgoing) const;
  /** Merges the totals of a holder. Returns false and changes nothing when they are not covered by
      its grants and transfers. */
  bool mergeTotals(Time time, const HolderId& id, const AccountTotals& totals);
  /** Merges the totals of a holder that records no charges. They describe what has happened, so
      they are always accepted. An account may be negative until control receives the transfer that
      covers it; the sum over all accounts and free() do not depend on transfers. */
  void mergeUnwitnessedTotals(Time time, const HolderId& id, const AccountTotals& totals);
  /** Adds a holder if it is missing. Returns false when it is retired. */
  bool addHolderIfNotRetired(const HolderId& peer);
  std::optional<KeyedBill> settleKeyedCharge(Time time,
                                             const HolderId& id,
                                             const KeyedCharge& charge);
  bool closeAccount(const HolderId& id, Holder& holder, const BudgetId& budgetId);
  std::vector<FinalTransfer> takeFinalTransfers(const HolderId& id, Holder& holder);
  [[nodiscard]] std::optional<Incarnation> newestIncarnation(const ProcessId& process) const;
  [[nodiscard]] std::vector<HolderId> retiringIncarnations(const ProcessId& process) const;
  void notifyReceivers(const HolderId& sender,
                       const BudgetId& budgetId,
                       std::vector<OutgoingMessage>& outgoing);
  void addReport(Time time,
                 const HolderId& reporter,
                 const HolderRecord& record,
                 Holder& holder,
                 std::vector<OutgoingMessage>& outgoing);
  /** @param clockReadings  readings made after the next incarnation started; may be empty */
  void startRetiring(const ProcessId& process,
                     Incarnation lastIncarnation,
                     std::span<const ClockReading> clockReadings);
  /** Completes retirements that waited for a witness that no longer runs. */
  void completeRetirementsWithout(Time time,
                                  const ProcessId& witness,
                                  std::vector<OutgoingMessage>& outgoing);
  void completeRetirementIfPossible(Time time,
                                    const HolderId& id,
                                    bool requestReports,
                                    std::vector<OutgoingMessage>& outgoing);
  void completeRetirement(Time time, const HolderId& id, std::vector<OutgoingMessage>& outgoing);
  void closeTransfers(const HolderId& id,
                      const BudgetId& budgetId,
                      Budget& budget,
                      std::vector<OutgoingMessage>& outgoing);
  static void closeUnwitnessedAccount(const HolderId& id,
                                      Budget& budget,
                                      RetirementView& retirement);
  void notifyFinalTotal(const HolderId& recipient,
                        const BudgetId& budgetId,
                        std::vector<OutgoingMessage>& outgoing);
  [[nodiscard]] Tokens totalHeldBy(const HolderId& id) const;
  HolderAccount& openAccount(const HolderId& id, std::map<BudgetId, Budget>::iterator budget);
  /** Returns the number of holders that have reserves and are not retiring. */
  [[nodiscard]] std::int64_t countLiveReserveHolders() const;

  std::map<BudgetId, Budget> budgets_;
  std::map<HolderId, Holder> holders_;
  /** All incarnations of a process up to this one are retired or retiring and may not register. */
  std::map<ProcessId, Incarnation> newestRetired_;
  std::map<CallerKey, Bill> bills_;
  std::deque<BillStart> billsByAge_;
  /** The budgets in which a holder has an account or a transfer. */
  std::map<HolderId, BudgetIdSet> budgetsByHolder_;
  std::vector<const BudgetId*> changedBudgetIds_;
  std::vector<HolderId> newlyRetiringHolders_;
  /** The result of countLiveReserveHolders(), until a holder is added or starts to retire. */
  mutable std::optional<std::int64_t> liveReserveHolders_;
  /** Kept for logging only, at most kMaxRetirementViews entries. */
  std::vector<RetirementView> retirements_;
};

} // namespace figchute::ledger::detail
