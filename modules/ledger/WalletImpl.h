#pragma once

#include "ledger/Proposer.h"
#include "ledger/Wallet.h"
#include "ledger/WalletAccount.h"

#include <deque>
#include <list>
#include <map>
#include <set>
#include <utility>

namespace figchute::ledger {

/** The state of a wallet. The methods are spread over four sources: Wallet.cpp has admission and
    bills, WalletControl.cpp grants, settlement and transfers, WalletRecords.cpp witnesses and the
    journal, WalletReserve.cpp the reserves of processes whose charges need no record. */
class Wallet::Impl
{
public:
  explicit Impl(WalletSettings settings);

  void recover(Time now, std::span<const JournalRecord> records);
  void setPeers(Time now, std::span<const Peer> peers);
  void setBudgets(Time now, std::span<const PrepaidBudget> budgets);
  void budgetLowered(Time now, const BudgetId& budget);
  Decision reserve(Time now,
                   const RequestId& request,
                   const std::optional<RequestKey>& key,
                   std::span<const BudgetId> budgets,
                   Tokens bound);
  std::vector<Decision> takeDecisions() { return std::exchange(decisions_, {}); }
  void reduceReservation(Time now, const RequestId& request, Tokens newBound);
  Expected<void> charge(Time now, const RequestId& request, Tokens actual);
  [[nodiscard]] bool chargeRecorded(const RequestId& id) const { return recorded_.contains(id); }
  std::vector<RequestId> takeRecordedCharges();
  void release(Time now, const RequestId& request);
  void receive(Time now, const ProcessId& from, const Message& message);
  void tick(Time now);
  void handOver(Time now);
  void setControlLost(bool lost) { controlLost_ = lost; }
  void setWallTime(Time wall) { wall_ = wall; }
  [[nodiscard]] bool handedOver() const;
  void drain(Time now);
  [[nodiscard]] bool drained() const;
  [[nodiscard]] bool retired() const { return retired_; }
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool controlReachable(Time now) const;
  std::vector<Outgoing> takeOutgoing();
  std::vector<JournalRecord> takeJournal() { return std::exchange(journalOut_, {}); }
  void journalSynced(Time now, std::uint64_t count);
  [[nodiscard]] std::vector<JournalRecord> compactJournal() const;
  [[nodiscard]] std::optional<AccountView> account(const BudgetId& id) const;
  [[nodiscard]] std::vector<AccountView> accounts() const;

private:
  using Account = detail::WalletAccount;

  struct Reservation
  {
    std::optional<RequestKey> key;
    std::vector<BudgetId> budgets;
    Tokens bound;
  };

  struct Waiting
  {
    RequestId request;
    Reservation wanted;
    Time deadline;
    /** The time of the first grant that did not cover the request. */
    std::optional<Time> shortSince;
  };

  struct PendingKeyed
  {
    KeyedCharge charge;
    std::uint64_t clock = 0;
  };

  /** Names the transfers of one budget to one peer. */
  struct TransferName
  {
    BudgetId budget;
    HolderId peer;

    auto operator<=>(const TransferName&) const = default;
  };

  struct OutTransfer
  {
    std::uint64_t id = 0;
    bool recorded = false;
    Time sentAt;
  };

  /** A charge or a transfer that waits for its record. */
  struct Unrecorded
  {
    std::uint64_t clock = 0;
    std::uint64_t journal = 0;
    std::variant<RequestId, TransferName> what;
  };

  /** A record that a witness has not acknowledged. */
  struct SentRecord
  {
    std::uint64_t covers = 0;
    std::vector<BudgetId> confirmed;
  };

  /** What one witness has. */
  struct Link
  {
    /** Every change up to this record clock is at the witness or settled. */
    std::uint64_t acked = 0;
    std::map<std::uint64_t, SentRecord> sent;
    Time firstSentAt;
    Time lastSentAt;
    Time suspectUntil;
    /** Lines at the witness that control has confirmed. */
    std::set<BudgetId> confirmed;
  };

  struct SettleInFlight
  {
    std::uint64_t proposal = 0;
    std::uint64_t sequence = 0;
    /** The record clock of each line when it was sent. */
    std::map<BudgetId, std::uint64_t> lines;
    std::vector<BudgetId> closing;
    /** What each line says is open. */
    std::map<BudgetId, Tokens> opened;
  };

  /** A part of the reserves that waits for the acknowledgements of all witnesses. */
  struct Opening
  {
    WitnessRecord record;
    std::set<HolderId> acknowledged;
    Time sentAt;
  };

  // Admission and bills.
  Decision refuse(const RequestId& request, ErrorKind kind, std::string detail) const;
  bool admit(Time now, const RequestId& request, const Reservation& wanted);
  void admitWaiting(Time now);
  void refuseWaiting(ErrorKind kind, const std::string& detail);
  void expireWaiting(Time now);
  void refuseUncovered(Time now, const BudgetId& id);
  void freeReservation(Time now, const Reservation& reservation);
  void becomeRetired();
  [[nodiscard]] bool quiet() const;
  void retireSelf(Time now);
  void chargeAccounts(const RequestId& request, const Reservation& reservation, Tokens actual);
  Account& open(const BudgetId& id);

  // Grants, settlement and transfers.
  void askGrants(Time now, std::span<const BudgetId> budgets);
  /** Returns what an idle holder keeps, so that requests can start while control is away. */
  [[nodiscard]] Tokens startOf(Time now, const Account& account) const;
  [[nodiscard]] Tokens expectedDemand(Time now, const Account& account) const;
  void askStartGrants(Time now);
  std::optional<GrantItem> grantItemFor(Time now, const BudgetId& id, const Account& account);
  [[nodiscard]] std::vector<BudgetId> waitingBudgets() const;
  [[nodiscard]] bool hasWaiting(const BudgetId& id) const;
  /** Returns the sum of the bounds of the requests that wait for a budget. */
  [[nodiscard]] Tokens waitingFor(const BudgetId& id) const;
  void giveBack(Time now, const BudgetId& id, Account& account);
  void returnTokens(const BudgetId& id, Account& account, Tokens amount);
  void sendSettle(Time now);
  void addClosing(Settle& settle);
  void maintain(Time now);
  void maintainAccount(Time now, const BudgetId& id, Account& account);
  [[nodiscard]] bool closable(Time now, const BudgetId& id, const Account& account) const;
  void handleReply(Time now, const Proposer::Reply& reply);
  void handleGrant(Time now, std::uint64_t proposal, const GrantResult& result);
  void handleSettle(Time now, const SettleResult& result);
  void handleBills(Time now, const std::vector<KeyedBill>& bills);
  void handleFinal(const FinalTransfer& final);
  bool handleVerdict(Time now, const Verdict& verdict);
  void askTransfers(Time now);
  void askTransfer(Time now, const BudgetId& id, Account& account);
  void handle(Time now, const ProcessId& from, const Recall& message);
  void handle(Time now, const ProcessId& from, const TransferRequest& message);
  void handle(Time now, const ProcessId& from, const Transfer& message);
  void handle(Time now, const ProcessId& from, const TransferAck& message);
  void handle(Time now, const ProcessId& from, const WitnessAck& message);
  void handle(Time now, const ProcessId& from, const ProposeReply& message);
  template<typename Other>
  void handle(Time /*now*/, const ProcessId& /*from*/, const Other& /*message*/)
  {
  }
  void handleNoTransfer(Time now, const Transfer& message);
  void sendTransfer(Time now, const TransferName& name, OutTransfer& transfer);
  void resendTransfers(Time now);
  void returnUnreserved(Time now, const BudgetId& id);
  void returnReserve(const BudgetId& id, Account& account, Tokens amount);

  // Reserves.
  [[nodiscard]] bool detached(Time now) const;
  /** Lets a list start after this process in the order of names, so that the fleet spreads its
      records. */
  [[nodiscard]] std::vector<HolderId> fromOwnName(std::vector<HolderId> peers) const;
  [[nodiscard]] std::vector<HolderId> reserveWitnesses() const;
  [[nodiscard]] bool openedConfirmed() const;
  /** Tells whether control is asked for the reserve although nothing else is needed. */
  [[nodiscard]] bool reserveDue(Time now, const Account& account) const;
  [[nodiscard]] Tokens amountToOpen(Time now, const BudgetId& id, const Account& account) const;
  void openReserves(Time now);
  void sendOpening(Time now);
  void acknowledgeOpening(Time now, const WitnessAck& message);
  [[nodiscard]] std::vector<HolderId> zonePeers() const;
  [[nodiscard]] std::vector<HolderId> transferPeers() const;
  [[nodiscard]] Tokens transferAmount(Time now,
                                      const TransferRequest& message,
                                      const Account& account) const;
  [[nodiscard]] bool registered() const { return !registered_.empty() || registeredAlone_; }

  // Witnesses and the journal.
  void touch(const BudgetId& id, Account& account);
  void await(std::variant<RequestId, TransferName> what);
  void writeJournal(JournalRecord record);
  void confirmLine(const BudgetId& id, Account& account, std::uint64_t clock);
  [[nodiscard]] bool canRecord() const;
  [[nodiscard]] bool counts(const HolderId& witness) const;
  [[nodiscard]] bool isLive(const HolderId& id) const;
  [[nodiscard]] std::vector<HolderId> witnessCandidates() const;
  [[nodiscard]] std::vector<HolderId> desiredWitnesses() const;
  [[nodiscard]] bool removable(const HolderId& witness, std::span<const HolderId> kept) const;
  void chooseWitness(Time now);
  void registerIfNeeded(Time now);
  void handleRegister(Time now, const RegisterResult& result);
  void flushRecords(Time now);
  void sendRecord(Time now, const HolderId& witness, Link& link);
  [[nodiscard]] bool hasNewsFor(const Link& link) const;
  void tickWitnesses(Time now);
  void popRecorded(Time now);

  WalletSettings settings_;
  Proposer proposer_;
  std::vector<Peer> peers_;
  /** The number of entry processes, including this one. */
  std::int64_t entries_ = 1;
  bool draining_ = false;
  bool handingOver_ = false;
  bool controlLost_ = false;
  Time wall_;
  /** When this process last created a command that tells control its wall clock. */
  Time contactAt_;
  std::optional<Opening> opening_;
  bool retired_ = false;
  Time lastMaintenance_;

  std::map<BudgetId, Account> accounts_;
  std::map<RequestId, Reservation> reservations_;
  std::list<Waiting> waiting_;
  std::vector<Decision> decisions_;

  std::uint64_t grantSequence_ = 0;
  /** The budgets of each grant request in flight. */
  std::map<std::uint64_t, std::vector<BudgetId>> grants_;
  std::uint64_t settleSequence_ = 0;
  std::optional<SettleInFlight> settle_;
  std::set<BudgetId> dirty_;
  /** Dirty accounts that do not wait for the next batch. */
  std::set<BudgetId> urgent_;
  bool settleSoon_ = false;
  Time nextSettle_;
  std::uint64_t transferId_ = 0;
  std::map<TransferName, OutTransfer> transfers_;

  /** Counts the changes that a witness must know. */
  std::uint64_t clock_ = 0;
  /** The accounts with changes that control has not confirmed, by their record clock. */
  std::map<std::uint64_t, BudgetId> changes_;
  std::map<std::uint64_t, PendingKeyed> keyed_;
  std::uint64_t keyedSequence_ = 0;
  std::uint64_t keyedThrough_ = 0;
  std::deque<Unrecorded> unrecorded_;
  std::set<RequestId> recorded_;
  std::uint64_t recordSequence_ = 0;
  std::map<HolderId, Link> links_;
  std::optional<HolderId> active_;
  /** The witness set that control has confirmed. */
  std::vector<HolderId> registered_;
  /** Control has confirmed a holder without witnesses. */
  bool registeredAlone_ = false;
  /** The witness set of the registration in flight. */
  std::vector<HolderId> proposed_;
  std::uint64_t registration_ = 0;
  std::uint64_t registerProposal_ = 0;
  Time registerAt_;

  std::vector<JournalRecord> journalOut_;
  std::uint64_t journalCount_ = 0;
  std::uint64_t journalSynced_ = 0;
  /** Records of earlier incarnations that are not retired yet. */
  std::map<HolderId, HolderRecord> earlier_;
  std::map<std::uint64_t, HolderId> retirements_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::ledger
