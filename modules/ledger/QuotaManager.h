#pragma once

#include "ledger/BudgetRefusal.h"
#include "ledger/Message.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace figchute::ledger {

/** The identity and the parameters of a quota manager. */
struct QuotaSettings
{
  HolderId self;
  ZoneId zone;
  /** True when the process writes the records of takeJournal() to disk and calls journalSynced().
   */
  bool hasJournal = false;
  /** How long a request waits for a grant before it is refused. */
  Duration grantTimeout{ 400'000 };
  /** How much longer a request waits while no control VM answers. A new leader is elected within
      about 1 s; an earlier refusal would hit requests that their budget covers. */
  Duration electionGracePeriod{ 1'600'000 };
  /** The interval at which batches of totals and charges are settled. */
  Duration settleInterval{ 1'000'000 };
  /** The first pause before grants for waiting requests are requested again, after control granted
      too little. */
  Duration grantRetryInterval{ 30'000 };
  /** The time constant over which demand is averaged. */
  Duration demandWindow{ 2'000'000 };
  /** A grant covers the expected demand of this time. */
  Duration grantHorizon{ 3'000'000 };
  /** A holder without witnesses requests tokens ahead of need for the expected demand of this time.
      They have to last until it may unlock its reserves. */
  Duration stockHorizon{ 4'000'000 };
  /** Unused tokens are returned when there was no reservation for this time. */
  Duration idleTimeout{ 30'000'000 };
  /** Control counts as unreachable when a proposal stays unanswered for this time. */
  Duration controlTimeout{ 120'000 };
  /** The proposal ids of this quota manager start above this number. */
  std::uint64_t proposalIdBase = 0;
  /** False for processes without a disk that record no charges. A charge is final at once, and the
      witnesses record only how much of the reserves is unlocked. */
  bool usesWitnesses = true;
  /** A holder that has received no clock reading for this time and cannot reach control may unlock
      its reserves. Must be longer than kMinDetachTime, from which control concludes that a dead
      holder cannot have unlocked any. */
  Duration detachTimeout{ 3'200'000 };
  /** A waiting request is refused when the budget still does not cover it this long after the first
      insufficient grant. Recalled tokens are back by then. */
  Duration recallTimeout{ 400'000 };
  /** The minimum time between two grant requests for expected demand alone. */
  Duration demandRequestInterval{ 100'000 };
  /** The share of a budget that all holders together request when setBudgets() adds or raises it.
      Control limits it by the known usage. */
  double initialShare = 0;
  /** How long such an initial grant is kept even when it is unused. */
  Duration initialGrantHold{ 15'000'000 };
  /** The share of a budget that all holders together keep while there are no requests. */
  double idleShare = 0;
  /** In a transfer, the sender keeps and the receiver requests tokens for the expected demand of
      this time. */
  Duration transferHorizon{ 0 };
};

/** Returns the settings of an entry process of the router daemon. It records no charges and holds
    unlocked tokens for the next seconds and a reserve for times without contact to control. */
QuotaSettings routerQuotaSettings(HolderId self, ZoneId zone);

/** Another process of the fleet, as listed in the membership. */
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

/** The state of a reservation. */
enum class ReserveStatus : std::uint8_t
{
  admitted,
  waiting,
  refused,
};

/** The result of QuotaManager::reserve. For a waiting request, a further decision is returned by
    QuotaManager::takeDecisions. */
struct Decision
{
  RequestId request;
  ReserveStatus status = ReserveStatus::refused;
  /** Set when the request was refused. */
  std::optional<Error> error;
  /** Set when a request that waited for tokens was refused. */
  std::optional<BudgetRefusal> cause{};
};

/** A journal record: a new incarnation has started. */
struct JournalStart
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** A journal record: the totals of one account, which replace those of earlier records. */
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

/** A journal record: the keyed charges up to a sequence number are settled. */
struct JournalSettled
{
  std::uint64_t settledKeyedSequence = 0;

  MSGPACK_DEFINE(settledKeyedSequence)
};

/** A journal record: an account is closed and its earlier records are void. */
struct JournalClosed
{
  BudgetId budget;

  MSGPACK_DEFINE(budget)
};

/** A journal record: an incarnation is completely retired and its earlier records are void. */
struct JournalRetired
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** Any record of the journal. Records other than JournalStart and JournalRetired belong to the
    incarnation of the last JournalStart before them. */
using JournalRecord = std::variant<JournalStart,
                                   JournalAccount,
                                   JournalKeyed,
                                   JournalSettled,
                                   JournalClosed,
                                   JournalRetired>;

/** One account of a quota manager, for diagnostic output. */
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
  Tokens reserve;
  /** The part of `reserve` that may be unlocked without a confirmation from control. */
  Tokens unlockable;
  /** True when a grant was requested and its answer has not arrived. */
  bool grantInFlight = false;
  /** The tokens that were free after the last grant, and those of other holders without what their
      running requests have reserved; nothing before the first grant. */
  std::optional<Tokens> free{};
  std::optional<Tokens> heldByOthers{};
};

/** Manages the tokens granted to one process incarnation. As long as they suffice, requests are
    admitted without a message to control.
    Thread safety: use one instance from one thread only. */
class QuotaManager
{
public:
  explicit QuotaManager(QuotaSettings settings);
  ~QuotaManager();
  QuotaManager(const QuotaManager&) = delete;
  QuotaManager& operator=(const QuotaManager&) = delete;

  /** Replays the journal of earlier incarnations and reports their records to control, which
     retires them. Precondition: called at most once and before any other method.
      @param records  all records of the journal, oldest first */
  void recover(Time now, std::span<const JournalRecord> records);

  /** Replaces the list of other processes, from which the quota manager chooses its witnesses,
      control VMs and the peers for transfers. */
  void setPeers(Time now, std::span<const Peer> peers);

  /** Sets whether the process knows that control is unreachable. Waiting requests are then refused
      once the other entry processes have had time to transfer tokens. */
  void setControlLost(bool lost);

  /** Sets the budgets of a configuration, without duplicates. Requests initial grants from budgets
      that are new or raised, and returns the unreserved tokens of budgets that are lowered or
      removed. */
  void setBudgets(Time now, std::span<const PrepaidBudget> budgets);

  /** Returns the unreserved tokens of a budget to control because its amount was lowered. */
  void handleBudgetLowered(Time now, const BudgetId& budget);

  /** Reserves the upper bound of a request against all its budgets at once.
      @param request  the request id, unique within this quota manager while the reservation exists
      @param key      set for a request with an idempotency key
      @param budgets  the budgets, without duplicates; empty for a free request
      @param bound    the upper bound of the charge, not negative
      @returns admitted; waiting, in which case takeDecisions() returns the decision later; or
      refused, with shutting_down when the quota manager is draining or retired and bad_request when
      the request id is in use. A waiting request may also be refused with budget_exhausted, or with
      no_quorum when no witness or no control VM is reachable. */
  Decision reserve(Time now,
                   const RequestId& request,
                   const std::optional<RequestKey>& key,
                   std::span<const BudgetId> budgets,
                   Tokens bound);

  /** Returns and clears the decisions on waiting requests. */
  std::vector<Decision> takeDecisions();

  /** Lowers the reservation of an admitted request. Does nothing when the new bound is higher or
     the request is unknown. */
  void reduceReservation(Time now, const RequestId& request, Tokens newBound);

  /** Charges an admitted request and frees the rest of its reservation. Precondition: @p actual
     does not exceed the reservation.
      @returns not_found when the request has no reservation */
  Expected<void> charge(Time now, const RequestId& request, Tokens actual);

  /** Returns whether the charge of a request is recorded, so that the last byte of its answer may
     be sent. False for a request that was not charged. */
  [[nodiscard]] bool isChargeRecorded(const RequestId& request) const;

  /** Returns and clears the requests whose charge is recorded. isChargeRecorded() is false for them
      from then on. */
  std::vector<RequestId> takeRecordedCharges();

  /** Frees the reservation of a request that did not run, or stops its waiting. */
  void release(Time now, const RequestId& request);

  /** Handles a message. Messages that do not concern a quota manager are ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Performs the work that is due: refusals after grantTimeout, settle batches, resends and
     returns of idle grants. Call it about every 10 ms. */
  void tick(Time now);

  /** Stops admission and returns all unreserved tokens to control, now and as reservations end. */
  void drain(Time now);

  /** Stops admission and transfers all unreserved tokens to other entry processes, for a shutdown
      while control is unreachable. Call it again as reservations end. Precondition: the quota
      manager uses no witnesses. */
  void handOver(Time now);

  /** Returns whether handOver() is complete: no reservations and no tokens are left, and the peers
      have acknowledged all transfers. */
  [[nodiscard]] bool isHandedOver() const;

  /** Returns whether drain() is complete: all tokens are returned and control has retired the
     holder, so that the process may exit without leaving tokens behind. */
  [[nodiscard]] bool isDrained() const;

  /** Returns whether control has retired this incarnation. It admits no further requests, so the
      process must restart. */
  [[nodiscard]] bool isRetired() const;

  /** Returns whether control has confirmed the registration and a witness or the journal is usable.
     A quota manager without witnesses is ready until it is retired. */
  [[nodiscard]] bool isReady() const;

  /** Returns whether control has answered the recent proposals. */
  [[nodiscard]] bool isControlReachable(Time now) const;

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns and clears the journal records to append, in order. Empty without a journal. */
  std::vector<JournalRecord> takeJournal();

  /** Reports that the first @p count records returned by takeJournal() since the start are synced
     to disk. */
  void journalSynced(Time now, std::uint64_t count);

  /** Returns the records that may replace the whole journal, so that its length stays bounded. */
  [[nodiscard]] std::vector<JournalRecord> compactJournal() const;

  /** Returns one account, or nothing when the quota manager has no account of the budget. */
  [[nodiscard]] std::optional<AccountView> account(const BudgetId& budget) const;

  /** Returns all accounts, sorted by budget id. */
  [[nodiscard]] std::vector<AccountView> accounts() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::ledger
