#pragma once

#include "ledger/ContactClocks.h"
#include "ledger/FleetPeers.h"
#include "ledger/Proposer.h"
#include "ledger/QuotaAccount.h"
#include "ledger/QuotaManager.h"

#include <deque>
#include <list>
#include <map>
#include <set>
#include <utility>

namespace figchute::ledger {

/** The implementation of QuotaManager, in five source files: QuotaManager.cpp contains admission
    and charges, QuotaManagerControl.cpp grants and settlement, QuotaManagerTransfer.cpp transfers,
    QuotaManagerRecords.cpp witnesses and the journal, and QuotaManagerReserve.cpp the reserves of
    processes that record no charges. */
class QuotaManager::Impl
{
public:
  explicit Impl(QuotaSettings settings);

  void recover(Time now, std::span<const JournalRecord> records);
  void setPeers(Time now, std::span<const Peer> peers);
  void setBudgets(Time now, std::span<const PrepaidBudget> budgets);
  void handleBudgetLowered(Time now, const BudgetId& budget);
  Decision reserve(Time now,
                   const RequestId& request,
                   const std::optional<RequestKey>& key,
                   std::span<const BudgetId> budgets,
                   Tokens bound);
  std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  void reduceReservation(Time now, const RequestId& request, Tokens newBound);
  Expected<void> charge(Time now, const RequestId& request, Tokens actual);
  [[nodiscard]] bool isChargeRecorded(const RequestId& id) const
  {
    return recordedCharges_.contains(id);
  }
  std::vector<RequestId> takeRecordedCharges();
  void release(Time now, const RequestId& request);
  void receive(Time now, const ProcessId& from, const Message& message);
  void tick(Time now);
  void handOver(Time now);
  void setControlLost(bool lost) { controlLost_ = lost; }
  [[nodiscard]] bool isHandedOver() const;
  void drain(Time now);
  [[nodiscard]] bool isDrained() const;
  [[nodiscard]] bool isRetired() const { return retired_; }
  [[nodiscard]] bool isReady() const;
  [[nodiscard]] bool isControlReachable(Time now) const;
  std::vector<OutgoingMessage> takeOutgoing();
  std::vector<JournalRecord> takeJournal() { return std::exchange(pendingJournal_, {}); }
  void journalSynced(Time now, std::uint64_t count);
  [[nodiscard]] std::vector<JournalRecord> compactJournal() const;
  [[nodiscard]] std::optional<AccountView> account(const BudgetId& id) const;
  [[nodiscard]] std::vector<AccountView> accounts() const;

private:
  using Account = detail::QuotaAccount;

  /** Why grants are requested. */
  enum class GrantReason : std::uint8_t
  {
    /** Requests wait for tokens, or the expected demand is not covered. */
    demand,
    /** The reserves may need to be adjusted, in addition to the demand. */
    reserveCheck,
  };

  struct Reservation
  {
    std::optional<RequestKey> key;
    std::vector<BudgetId> budgets;
    Tokens bound;
  };

  struct WaitingRequest
  {
    RequestId request;
    Reservation reservation;
    Time deadline;
    /** The time of the first grant that did not cover the request; unset before that. */
    std::optional<Time> insufficientSince;
  };

  /** A keyed charge that control has not settled. */
  struct UnsettledCharge
  {
    KeyedCharge charge;
    std::uint64_t clock = 0;
  };

  /** Identifies the transfers of one budget to one peer. */
  struct TransferKey
  {
    BudgetId budget;
    HolderId peer;

    auto operator<=>(const TransferKey&) const = default;
  };

  /** A transfer to a peer that has not acknowledged it. It is sent once it is recorded. */
  struct OutTransfer
  {
    std::uint64_t id = 0;
    bool recorded = false;
    Time sentAt;
  };

  /** A charge or a transfer that waits until it is recorded at a witness or in the journal. */
  struct UnrecordedItem
  {
    std::uint64_t clock = 0;
    std::uint64_t journalCount = 0;
    std::variant<RequestId, TransferKey> item;
  };

  /** A record that was sent to a witness and is not acknowledged yet. */
  struct SentRecord
  {
    std::uint64_t coveredClock = 0;
    std::vector<BudgetId> confirmed;
  };

  /** What is known about the records at one witness. */
  struct WitnessState
  {
    /** All changes up to this record clock are recorded at the witness or settled. */
    std::uint64_t acknowledgedClock = 0;
    std::map<std::uint64_t, SentRecord> sent;
    Time firstSentAt;
    Time lastSentAt;
    Time suspectUntil;
    /** Accounts recorded at the witness whose totals control has confirmed. */
    std::set<BudgetId> confirmed;
  };

  struct SettleInFlight
  {
    std::uint64_t proposal = 0;
    std::uint64_t sequence = 0;
    /** The record clock of each reported account at the time of sending. */
    std::map<BudgetId, std::uint64_t> clocks;
    std::vector<BudgetId> closingBudgets;
    /** The totals reported for each account. */
    std::map<BudgetId, AccountTotals> totals;
  };

  /** A part of the reserves that is unlocked once all witnesses have acknowledged the record. */
  struct UnlockAttempt
  {
    WitnessRecord record;
    std::set<HolderId> acknowledged;
    Time sentAt;
  };

  // Admission and charges.
  Decision refuse(const RequestId& request, ErrorKind kind, std::string detail) const;
  /** Refuses a request that waited for tokens, with the reason. */
  Decision refuseForBudget(const WaitingRequest& waitingRequest,
                           ErrorKind kind,
                           std::string detail,
                           bool grantIsAnswered) const;
  bool admit(Time now, const RequestId& request, const Reservation& reservation);
  void admitWaiting(Time now);
  void refuseWaiting(ErrorKind kind, const std::string& detail);
  void refuseExpiredWaiting(Time now);
  /** Returns whether a request uses a budget whose available tokens do not cover it. */
  [[nodiscard]] bool isUncovered(const WaitingRequest& request, const BudgetId& id) const;
  /** Records for the requests that a grant did not cover that control has answered. */
  void markUncoveredRequests(Time now, const BudgetId& id);
  /** Returns whether a recent grant has stated that a budget cannot cover a reservation. */
  [[nodiscard]] bool isKnownSpent(Time now, const Reservation& reservation) const;
  /** Refuses the requests that are not covered for too long, or of which a grant has stated that
      nobody has the tokens. Call it after
      markUncoveredRequests(). */
  void refuseUncoveredRequests(Time now, const BudgetId& id);
  void freeReservation(Time now, const Reservation& reservation);
  void markRetired();
  /** Returns whether a draining quota manager holds nothing and control has confirmed all
      reports. */
  [[nodiscard]] bool hasNothingPending() const;
  void proposeOwnRetirement(Time now);
  /** Charges the accounts of a request, or adds a keyed charge for a request with a key. */
  void chargeAccounts(const RequestId& request, const Reservation& reservation, Tokens actual);
  Account& findOrOpenAccount(const BudgetId& id);

  // Grants, settlement and transfers.
  void requestGrants(Time now,
                     std::span<const BudgetId> budgets,
                     GrantReason reason = GrantReason::demand);
  /** Returns the tokens that an idle holder keeps, so that it can admit first requests while
     control is unreachable. */
  [[nodiscard]] Tokens idleAmount(Time now, const Account& account) const;
  [[nodiscard]] Tokens expectedDemand(Time now, const Account& account) const;
  /** Returns the tokens to request ahead of need, beside those of waiting requests. */
  [[nodiscard]] Tokens stockAmount(Time now, const Account& account, Tokens waitingAmount) const;
  void requestInitialGrants(Time now);
  /** Requests the needs that waited for the reply to an earlier grant request. */
  void requestDeferredGrants(Time now);
  std::optional<GrantItem> makeGrantItem(Time now,
                                         const BudgetId& id,
                                         const Account& account,
                                         GrantReason reason);
  [[nodiscard]] std::vector<BudgetId> waitingBudgets() const;
  [[nodiscard]] bool hasWaitingRequests(const BudgetId& id) const;
  /** Returns the sum of the bounds of all requests that wait for a budget. */
  [[nodiscard]] Tokens waitingTokens(const BudgetId& id) const;
  /** Returns the available tokens to control when the budget is low or the quota manager is
      draining. */
  void returnTokensIfBudgetLow(Time now, const BudgetId& id, Account& account);
  void returnTokens(const BudgetId& id, Account& account, Tokens amount);
  void sendSettle(Time now);
  void addClosableAccounts(Settle& settle);
  void maintainAccounts(Time now);
  /** Requests an adjustment of the reserves of all budgets when it is due. */
  void checkReserves(Time now);
  /** Returns whether control allows the next grant request, or the next settlement. */
  [[nodiscard]] bool mayRequestGrants(Time now) const;
  [[nodiscard]] bool maySettle(Time now) const;
  /** Returns an interval of periodic commands that is long enough for the number of holders. */
  [[nodiscard]] Duration scaledToFleet(Duration interval) const;
  void maintainAccountBalance(Time now, const BudgetId& id, Account& account);
  [[nodiscard]] bool canCloseAccount(Time now, const BudgetId& id, const Account& account) const;
  void handleReply(Time now, const Proposer::Reply& reply);
  void handleGrant(Time now, std::uint64_t proposal, const GrantResult& result);
  void handleSettle(Time now, const SettleResult& result);
  void handleBills(Time now, const std::vector<KeyedBill>& bills);
  void handleFinalTransfer(const FinalTransfer& finalTransfer);
  /** Returns whether a command was carried out. Otherwise registers again or retires the quota
      manager, as the error requires. */
  bool handleVerdict(Time now, const Verdict& verdict);
  void requestTransfers(Time now);
  void requestTransfer(Time now, const BudgetId& id, Account& account);
  void handle(Time now, const ProcessId& from, const Recall& message);
  void handle(Time now, const ProcessId& from, const TransferRequest& message);
  void handle(Time now, const ProcessId& from, const Transfer& message);
  void handle(Time now, const ProcessId& from, const TransferAck& message);
  void handle(Time now, const ProcessId& from, const WitnessAck& message);
  void handle(Time now, const ProcessId& from, const ProposeReply& message);
  void handle(Time now, const ProcessId& from, const ClockReply& message);
  template<typename Other>
  void handle(Time /*now*/, const ProcessId& /*from*/, const Other& /*message*/)
  {
  }
  void handleTransferRefusal(Time now, const Transfer& message);
  /** Returns the peer to ask next for tokens: the richest ones at the last grant, then the transfer
      partners in turn. */
  std::optional<HolderId> nextTransferPeer(Time now, Account& account);
  void noteTransferRefusal(Time now, Account& account);
  void endTransferRound(Time now, Account& account);
  void sendTransfer(Time now, const TransferKey& transferKey, OutTransfer& transfer);
  void resendTransfers(Time now);
  /** Drops the transfers to incarnations that were replaced. They receive nothing more, and the
      tokens sent to them count as spent. */
  void dropTransfersToReplaced();
  void returnUnreserved(Time now, const BudgetId& id);
  void returnReserve(const BudgetId& id, Account& account, Tokens amount);
  /** Returns the part of the reserve that the holder does not need, if little is free. */
  void returnExcessReserve(Time now, const BudgetId& id, Account& account);

  // Reserves.
  /** Returns whether control has been unreachable for long enough that reserves may be unlocked. */
  [[nodiscard]] bool isDetached(Time now) const;
  /** Returns whether control has confirmed all unlocked tokens except those that @p reported
      contains. */
  [[nodiscard]] bool isAllUnlockedConfirmed(
    const std::map<BudgetId, AccountTotals>& reported) const;
  /** Returns the reading that a command may report as the last contact.
      @param reported  the totals that the same command reports */
  [[nodiscard]] ClockReading reportableContact(
    const std::map<BudgetId, AccountTotals>& reported) const;
  /** Returns whether a grant request is due only to let control adjust the reserve. */
  [[nodiscard]] Tokens amountToUnlock(Time now, const BudgetId& id, const Account& account) const;
  void unlockReserves(Time now);
  void sendUnlock(Time now);
  void handleUnlockAck(Time now, const WitnessAck& message);
  [[nodiscard]] Tokens transferAmount(Time now,
                                      const TransferRequest& message,
                                      const Account& account) const;
  [[nodiscard]] bool isRegistered() const
  {
    return !registeredWitnesses_.empty() || registeredWithoutWitnesses_;
  }

  // Witnesses and the journal.
  void markChanged(const BudgetId& id, Account& account);
  void queueUntilRecorded(std::variant<RequestId, TransferKey> item);
  void writeJournal(JournalRecord record);
  void markTotalsConfirmed(const BudgetId& id, Account& account, std::uint64_t clock);
  [[nodiscard]] bool canRecord() const;
  /** Returns whether a witness is registered and stays registered when the registration in flight
      is committed. */
  [[nodiscard]] bool isEffectiveWitness(const HolderId& witness) const;
  [[nodiscard]] std::vector<HolderId> selectWitnesses() const;
  /** Returns whether a witness may be replaced: it holds no records that are still needed, or one
     of the kept witnesses holds them too. */
  [[nodiscard]] bool canReplaceWitness(const HolderId& witness,
                                       std::span<const HolderId> keptWitnesses) const;
  void chooseActiveWitness(Time now);
  void registerIfNeeded(Time now);
  void handleRegister(Time now, const RegisterResult& result);
  void flushRecords(Time now);
  void sendRecord(Time now, const HolderId& witness, WitnessState& state);
  [[nodiscard]] bool hasUnsentChanges(const WitnessState& state) const;
  void tickWitnesses(Time now);
  void processRecordedItems(Time now);

  QuotaSettings settings_;
  Proposer proposer_;
  /** The minimum time between two grant requests, as control stated it last. */
  Duration grantInterval_{ 0 };
  Time lastGrantRequestAt_;
  Time lastSettleAt_;
  /** True when control requested a settlement after the last one. */
  bool isSettleRequested_ = false;
  detail::FleetPeers peers_;
  /** The number of entry processes that tokens can be exchanged with, including this one. */
  std::int64_t entryCount_ = 1;
  bool draining_ = false;
  bool handingOver_ = false;
  bool controlLost_ = false;
  /** The last clock reading received from control, and the time at which it was received. */
  ClockReading contact_;
  Time lastContactAt_;
  /** Readings of the control VMs' clocks for the registration. */
  detail::ContactClocks contactClocks_;
  std::optional<UnlockAttempt> pendingUnlock_;
  bool retired_ = false;
  Time lastMaintenanceAt_;
  /** The next time at which control is requested to adjust the reserves. */
  Time nextReserveCheckAt_;

  std::map<BudgetId, Account> accounts_;
  std::map<RequestId, Reservation> reservations_;
  std::list<WaitingRequest> waiting_;
  std::vector<Decision> decisions_;

  std::uint64_t grantSequence_ = 0;
  /** The budgets of each grant request in flight, by proposal id. */
  std::map<std::uint64_t, std::vector<BudgetId>> grantProposals_;
  /** Budgets whose needs were not requested because too many grant requests were in flight. */
  std::set<BudgetId> deferredGrantBudgets_;
  std::uint64_t settleSequence_ = 0;
  std::optional<SettleInFlight> settleInFlight_;
  std::set<BudgetId> unsettledBudgets_;
  /** Changed accounts that are settled without waiting for the next batch. */
  std::set<BudgetId> immediateSettleBudgets_;
  bool settleImmediately_ = false;
  Time nextSettleAt_;
  std::uint64_t transferId_ = 0;
  std::map<TransferKey, OutTransfer> outTransfers_;
  /** Peers that have not answered a transfer request, and the time until which they are not asked.
   */
  std::map<HolderId, Time> unresponsivePeers_;

  /** Counts the changes that have to be recorded at a witness. */
  std::uint64_t recordClock_ = 0;
  /** The accounts with changes that control has not confirmed, by record clock. */
  std::map<std::uint64_t, BudgetId> changedBudgets_;
  std::map<std::uint64_t, UnsettledCharge> unsettledCharges_;
  std::uint64_t keyedSequence_ = 0;
  std::uint64_t settledKeyedSequence_ = 0;
  std::deque<UnrecordedItem> unrecorded_;
  std::set<RequestId> recordedCharges_;
  std::uint64_t recordSequence_ = 0;
  std::map<HolderId, WitnessState> witnessStates_;
  std::optional<HolderId> activeWitness_;
  /** The witness set confirmed by control. */
  std::vector<HolderId> registeredWitnesses_;
  /** True when control has confirmed the registration of a quota manager that uses no witnesses. */
  bool registeredWithoutWitnesses_ = false;
  /** The witness set of the registration in flight. */
  std::vector<HolderId> proposedWitnesses_;
  std::uint64_t registrationSequence_ = 0;
  std::uint64_t registerProposal_ = 0;
  Time nextRegisterAt_;

  std::vector<JournalRecord> pendingJournal_;
  std::uint64_t journalCount_ = 0;
  std::uint64_t journalSyncedCount_ = 0;
  /** Records of earlier incarnations whose retirement is not complete, from the journal. */
  std::map<HolderId, HolderRecord> earlierRecords_;
  std::map<std::uint64_t, HolderId> retireProposals_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger
