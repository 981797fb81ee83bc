#pragma once

#include "ledger/Message.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace figchute::ledger {

/** Identity and constants of a wallet. */
struct WalletSettings
{
  HolderId self;
  ZoneId zone;
  /** True when the process writes takeJournal() to a disk and reports journalSynced(). */
  bool hasJournal = false;
  /** How long a request waits for a grant before it is refused. */
  Duration grantWait{ 400'000 };
  /** How much longer a request waits while no control VM answers. The loss of a leader is repaired
      within about 1 s; refusing earlier refuses requests that a budget covers. */
  Duration electionWait{ 1'600'000 };
  /** Interval of settle batches. */
  Duration settleInterval{ 1'000'000 };
  /** A waiting request asks again after this time when control had too little. */
  Duration grantRetry{ 30'000 };
  /** Demand is averaged over this time. */
  Duration demandWindow{ 2'000'000 };
  /** A grant is sized for the demand of this time. */
  Duration grantHorizon{ 3'000'000 };
  /** Unused tokens are returned when an account made no reservation for this time. */
  Duration idleReturn{ 30'000'000 };
  /** Control counts as out of reach when a proposal is unanswered for this time. */
  Duration controlTimeout{ 120'000 };
  /** Start of the range of proposal ids of this wallet. */
  std::uint64_t proposalIdBase = 0;
  /** False for processes without disk whose charges need no copy: a charge is final at once, and
     the witnesses record only what is opened of the reserves. */
  bool witnesses = true;
  /** A holder that created no Settle for this time and does not reach control may open its
     reserves. Longer than kDetachTime, by which control tells that a dead holder cannot have opened
     any. */
  Duration detachTime{ 3'200'000 };
  /** The wall clock when the process started, or 0. */
  Time startedAt;
  /** A waiting request is refused when control still has too little this long after its first
      insufficient answer, by which time recalled tokens have come back. */
  Duration recallWait{ 400'000 };
  /** Pause between two requests that only prepare for demand. */
  Duration demandPause{ 100'000 };
  /** The share of a budget that all holders together ask for when setBudgets() names or raises it.
      Control limits it by the known use. */
  double startShare = 0;
  /** So long after that, the start grant is not returned. */
  Duration startTime{ 15'000'000 };
  /** The share of a budget that all holders together keep without requests. */
  double idleShare = 0;
  /** A holder that passes tokens on, or that asks for some, plans for the demand of this time. */
  Duration transferHorizon{ 0 };
};

/** Returns the settings of an entry process of the router daemon: no records of charges, open
   tokens for the next seconds and reserves for the time that a fleet may be cut off from control.
 */
WalletSettings routerWalletSettings(HolderId self, ZoneId zone);

/** Another process as the membership knows it. */
struct Peer
{
  HolderId id;
  ZoneId zone;
  bool entry = false;
  bool control = false;
  bool live = false;
};

/** The idempotency key of a request within its caller. */
struct RequestKey
{
  CallerId caller;
  std::string key;
};

/** How a reservation stands. */
enum class ReserveStatus : std::uint8_t
{
  admitted,
  waiting,
  refused,
};

/** The answer to Wallet::reserve and, for a waiting request, one of Wallet::takeDecisions. */
struct Decision
{
  RequestId request;
  ReserveStatus status = ReserveStatus::refused;
  /** Set when refused; the request did not run. */
  std::optional<Error> error;
};

/** A journal record: a new incarnation. */
struct JournalStart
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** A journal record: the totals of one account, which replace earlier ones. */
struct JournalAccount
{
  AccountTotals totals;

  MSGPACK_DEFINE(totals)
};

/** A journal record: a keyed charge that is not settled yet. */
struct JournalKeyed
{
  KeyedCharge charge;

  MSGPACK_DEFINE(charge)
};

/** A journal record: keyed charges up to a sequence are settled. */
struct JournalSettled
{
  std::uint64_t keyedThrough = 0;

  MSGPACK_DEFINE(keyedThrough)
};

/** A journal record: an account is closed, its totals no longer count. */
struct JournalClosed
{
  BudgetId budget;

  MSGPACK_DEFINE(budget)
};

/** A journal record: an incarnation is completely retired, its records no longer count. */
struct JournalRetired
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** A record of the journal. Records other than JournalStart and JournalRetired belong to the
    incarnation of the last JournalStart before them. */
using JournalRecord = std::variant<JournalStart,
                                   JournalAccount,
                                   JournalKeyed,
                                   JournalSettled,
                                   JournalClosed,
                                   JournalRetired>;

/** One account of a wallet, for dumps. */
struct AccountView
{
  BudgetId budget;
  Tokens granted;
  Tokens transferredIn;
  Tokens transferredOut;
  Tokens spent;
  Tokens returned;
  Tokens reserved;
  Tokens available;
};

/** The grants of one process incarnation. Requests are admitted against them without a message as
    long as they suffice.
    Thread safety: use one instance from one thread only. */
class Wallet
{
public:
  explicit Wallet(WalletSettings settings);
  ~Wallet();
  Wallet(const Wallet&) = delete;
  Wallet& operator=(const Wallet&) = delete;

  /** Replays the journal of earlier incarnations; call it once, before anything else. Their records
      are reported to control, which retires them.
      @param records  everything in the journal, oldest first */
  void recover(Time now, std::span<const JournalRecord> records);

  /** Replaces the list of other processes. Witnesses, transfer partners and control VMs are taken
      from it. */
  void setPeers(Time now, std::span<const Peer> peers);

  /** Tells the wallet the wall clock of its VM, which goes into reports to control. A value that is
     some time old is safe. */
  void setWallTime(Time wall);

  /** Tells the wallet whether its process knows that control is out of reach. Requests that wait
     then are refused once the other entry processes had time to pass tokens on. */
  void setControlLost(bool lost);

  /** Tells the wallet the budgets of a configuration, without duplicates. It asks for a start grant
      of those that are new or raised, and returns what is not reserved of those that are lowered
      or not named any more. */
  void setBudgets(Time now, std::span<const PrepaidBudget> budgets);

  /** Returns everything of a budget that is not reserved, because its amount was lowered. */
  void budgetLowered(Time now, const BudgetId& budget);

  /** Reserves the upper bound of a request against all its budgets at once.
      @param request  unique to this wallet while the reservation lasts
      @param key      set for a request with an idempotency key
      @param budgets  the budgets, without duplicates; empty for a request that costs nothing
      @param bound    the upper bound of the bill, not negative
      @returns admitted; waiting, with the decision following in takeDecisions() within grantWait;
     or refused with shutting_down (draining), no_quorum (no live witness) or bad_request (repeated
      request id) */
  Decision reserve(Time now,
                   const RequestId& request,
                   const std::optional<RequestKey>& key,
                   std::span<const BudgetId> budgets,
                   Tokens bound);

  /** Returns the decisions on waiting requests and forgets them. */
  std::vector<Decision> takeDecisions();

  /** Lowers the reservation of an admitted request; a higher or unknown one changes nothing. */
  void reduceReservation(Time now, const RequestId& request, Tokens newBound);

  /** Bills an admitted request and frees the rest of its reservation. A bill above the reservation
     is a broken invariant.
      @returns not_found when the request has no reservation */
  Expected<void> charge(Time now, const RequestId& request, Tokens actual);

  /** Tells whether the charge of a request is recorded, so that the last byte of its answer may be
      sent. False for a request that was not charged.*/
  [[nodiscard]] bool chargeRecorded(const RequestId& request) const;

  /** Returns the requests whose charge became recorded and forgets them; chargeRecorded() is false
      for them from then on. */
  std::vector<RequestId> takeRecordedCharges();

  /** Frees the reservation of a request that did not run, or cancels its wait. */
  void release(Time now, const RequestId& request);

  /** Handles a message; those that are not for a wallet are ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Advances time: refusals after grantWait, settle batches, resends, returns of idle grants. Call
     it about every 10 ms. */
  void tick(Time now);

  /** Stops admission and returns everything that is not reserved, now and as reservations end. */
  void drain(Time now);

  /** Stops admission and passes everything that is not reserved to other entry processes, for a
     stop while control is out of reach. Call it again as reservations end. Precondition: a wallet
     without witnesses. */
  void handOver(Time now);

  /** Tells whether a wallet that hands over has no reservation and no tokens left, and its peers
     have acknowledged what they got. */
  [[nodiscard]] bool handedOver() const;

  /** Tells whether a draining wallet has returned everything and control has retired it, so that
     the process may end without leaving tokens behind. */
  [[nodiscard]] bool drained() const;

  /** Tells whether control has retired this incarnation. It can admit nothing any more; the process
      must restart. */
  [[nodiscard]] bool retired() const;

  /** Tells whether control has confirmed the registration and a witness is usable. Without
      witnesses, a wallet is ready until it is retired. */
  [[nodiscard]] bool ready() const;

  /** Tells whether control answered the recent proposals. */
  [[nodiscard]] bool controlReachable(Time now) const;

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the journal records to append, in order, and forgets them. Empty without a journal. */
  std::vector<JournalRecord> takeJournal();

  /** Reports that the first @p count records ever returned by takeJournal() are synced. */
  void journalSynced(Time now, std::uint64_t count);

  /** Returns records that replace the whole journal, to bound its length. */
  [[nodiscard]] std::vector<JournalRecord> compactJournal() const;

  /** Returns one account, or nothing when the wallet does not serve the budget. */
  [[nodiscard]] std::optional<AccountView> account(const BudgetId& budget) const;

  /** Returns all accounts by name. */
  [[nodiscard]] std::vector<AccountView> accounts() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::ledger
