#pragma once

#include "core/core.h"
#include "fleet/Commands.h"
#include "ledger/ClockReading.h"
#include "wire/wire.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The commands of the replicated log and their results. Every command is idempotent under the id
    stated at its type, so a proposer may resend it when the answer is lost. */
namespace figchute::ledger {

/** States whether a command was carried out. Part of every result. */
struct Verdict
{
  /** Why the command was refused; empty when it was carried out. */
  std::optional<ErrorKind> error;
  /** A human-readable message; empty when there is no error. */
  std::string detail;

  /** Returns whether the command was carried out. */
  [[nodiscard]] bool ok() const { return !error.has_value(); }
};

} // namespace figchute::ledger

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  /** Encodes a verdict as nil when there is no error and as [kind, detail] otherwise. */
  template<>
  struct convert<figchute::ledger::Verdict>
  {
    const msgpack::object& operator()(const msgpack::object& o, figchute::ledger::Verdict& v) const
    {
      if (o.is_nil()) {
        v = {};
        return o;
      }
      if (o.type != msgpack::type::ARRAY || o.via.array.size != 2) {
        throw msgpack::type_error();
      }
      v.error = o.via.array.ptr[0].as<figchute::ErrorKind>();
      o.via.array.ptr[1].convert(v.detail);
      return o;
    }
  };

  template<>
  struct pack<figchute::ledger::Verdict>
  {
    template<typename Stream>
    packer<Stream>& operator()(msgpack::packer<Stream>& o, const figchute::ledger::Verdict& v) const
    {
      if (!v.error) {
        o.pack_nil();
        return o;
      }
      o.pack_array(2);
      o.pack(*v.error);
      o.pack(v.detail);
      return o;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack

namespace figchute::ledger {

/** A holder unlocks its reserves only when it has received no clock reading from control for longer
    than this time. A holder that was replaced sooner after such a reading has therefore unlocked
    nothing since. */
constexpr Duration kMinDetachTime{ 3'000'000 };

/** The cumulative amount bought for one budget, as stated in a document. */
struct Purchase
{
  BudgetId budget;
  Tokens bought;

  MSGPACK_DEFINE(budget, bought)
};

/** The amount of one router budget, as stated in a configuration. Unlike a purchase, it may be
   lower than an earlier amount. */
struct PrepaidBudget
{
  BudgetId budget;
  Tokens prepaid;

  MSGPACK_DEFINE(budget, prepaid)
};

/** Replaces the document of a team. The proposer has validated the text and extracted the purchases
    from it. Idempotent by (team, change). */
struct ApplyDocument
{
  TeamId team;
  /** The version that the change is based on; 0 for the first document. */
  std::uint64_t baseVersion = 0;
  ChangeId change;
  std::string text;
  std::vector<Purchase> purchases;
  /** Fingerprints of the callers' API keys. A key may belong to one team only; otherwise a request
      could be billed to a team other than that of its caller. */
  std::vector<Fingerprint> callerKeys{};

  MSGPACK_DEFINE(team, baseVersion, change, text, purchases, callerKeys)
};

/** The outcome of ApplyDocument. With version_conflict, `version` is the current version; with
    document_invalid, the detail names the rejected budget or key conflict. */
struct DocumentResult
{
  Verdict verdict;
  /** The version of the team's document after the command. */
  std::uint64_t version = 0;
  /** The number of documents accepted so far, over all teams. */
  std::uint64_t revision = 0;

  MSGPACK_DEFINE(verdict, version, revision)
};

/** A request for a grant of tokens from one budget. */
struct GrantItem
{
  BudgetId budget;
  /** Larger than in every earlier request of this holder. Control answers a repeated sequence
      number without granting again. */
  std::uint64_t sequence = 0;
  /** The tokens that the waiting requests lack in total. */
  Tokens requested;
  /** The smallest shortfall of any waiting request. Granted instead of `requested` when the budget
      does not cover that. */
  Tokens minimum;
  /** The amount that the holder expects to reserve soon. Granted only as far as the budget allows.
   */
  Tokens demand;
  /** The tokens that running requests of the holder have reserved. */
  Tokens reserved{};

  MSGPACK_DEFINE(budget, sequence, requested, minimum, demand, reserved)
};

/** Requests grants. Idempotent by (holder, budget, sequence). */
struct Grant
{
  HolderId holder;
  std::vector<GrantItem> items;
  /** The last clock reading that the holder has received, as in Settle. */
  ClockReading contact{};

  MSGPACK_DEFINE(holder, items, contact)
};

/** The answer for one budget. */
struct GrantedItem
{
  BudgetId budget;
  std::uint64_t sequence = 0;
  /** The cumulative total granted to the holder since its account was opened, including its
      reserve. */
  Tokens granted;
  /** The amount that is still free after the grant. */
  Tokens free;
  /** True when the budget runs low. The holder then returns unreserved tokens at once. */
  bool budgetLow = false;
  /** The part of `granted` that the holder may spend. The rest is its reserve. */
  Tokens unlocked;
  /** The part of its reserve that the holder has to return, because it exceeds its target. */
  Tokens excessReserve;
  /** The tokens that other holders hold, including their reserves, without those that their running
      requests have reserved as far as they reported it. Not set by releases that do not state it.
   */
  std::optional<Tokens> heldByOthers{};
  /** Other holders with the most unlocked tokens that no request has reserved, the largest amount
      first. */
  std::vector<HolderId> richestHolders{};

  MSGPACK_DEFINE(budget,
                 sequence,
                 granted,
                 free,
                 budgetLow,
                 unlocked,
                 excessReserve,
                 heldByOthers,
                 richestHolders)
};

/** The outcome of Grant. */
struct GrantResult
{
  Verdict verdict;
  std::vector<GrantedItem> items;

  MSGPACK_DEFINE(verdict, items)
};

/** The cumulative amount transferred to or from one other holder. */
struct PeerTotal
{
  HolderId peer;
  Tokens total;

  MSGPACK_DEFINE(peer, total)
};

/** The cumulative totals of one account, as its holder reports them to control and records them at
    its witness and in its journal. */
struct AccountTotals
{
  BudgetId budget;
  /** Charges of requests without an idempotency key. Charges with a key are reported as
      KeyedCharge. */
  Tokens charged;
  Tokens returned;
  std::vector<PeerTotal> transferredIn;
  std::vector<PeerTotal> transferredOut;
  /** The part of the granted total that the holder may spend. */
  Tokens unlocked{};
  /** The tokens that running requests have reserved. Stated to control only. */
  Tokens reserved{};

  MSGPACK_DEFINE(budget, charged, returned, transferredIn, transferredOut, unlocked, reserved)
};

/** The charge for one attempt of a request with an idempotency key. */
struct KeyedCharge
{
  /** Increases with each keyed charge of a holder. Charges are settled in this order. */
  std::uint64_t sequence = 0;
  CallerId caller;
  std::string key;
  RequestId request;
  std::vector<BudgetId> budgets;
  Tokens amount;

  MSGPACK_DEFINE(sequence, caller, key, request, budgets, amount)
};

/** Reports account totals and keyed charges of a holder to control. Idempotent by (holder,
    sequence). A holder has at most one Settle in flight. */
struct Settle
{
  HolderId holder;
  std::uint64_t sequence = 0;
  std::vector<AccountTotals> totals;
  std::vector<KeyedCharge> keyedCharges;
  /** Empty accounts to close. A later grant opens a new account whose totals start at 0. */
  std::vector<BudgetId> closingBudgets;
  /** The last clock reading that the holder has received. Not valid when the holder has unlocked
      reserves that neither this command nor an earlier, confirmed one reports. */
  ClockReading contact{};

  MSGPACK_DEFINE(holder, sequence, totals, keyedCharges, closingBudgets, contact)
};

/** The amounts that one keyed charge added to the bill of its key, one per budget of the charge. */
struct KeyedBill
{
  std::uint64_t sequence = 0;
  std::vector<Tokens> charged;

  MSGPACK_DEFINE(sequence, charged)
};

/** The final total of the transfers of one budget between two holders, one of which is retired. */
struct FinalTransfer
{
  BudgetId budget;
  HolderId from;
  HolderId to;
  Tokens total;

  MSGPACK_DEFINE(budget, from, to, total)
};

/** The outcome of Settle. */
struct SettleResult
{
  Verdict verdict;
  std::uint64_t sequence = 0;
  std::vector<KeyedBill> bills;
  std::vector<FinalTransfer> finalTransfers;
  std::vector<BudgetId> closed;

  MSGPACK_DEFINE(verdict, sequence, bills, finalTransfers, closed)
};

/** Claims the key of a non-idempotent request before any byte is sent to an endpoint. Idempotent by
    (caller, key, request). */
struct Claim
{
  HolderId holder;
  CallerId caller;
  /** Has the form `<unix seconds>-<any text>`. */
  std::string key;
  RequestId request;
  /** Hash of the request's content. Different content under the same key is refused as
      key_conflict. */
  Fingerprint content = 0;

  MSGPACK_DEFINE(holder, caller, key, request, content)
};

/** The outcome of Claim. Without an error, `replay` states whether to send the recorded answer or
   to run the request. */
struct ClaimResult
{
  Verdict verdict;
  /** True when status and body are the recorded answer; false when the proposer has to run the
      request. */
  bool replay = false;
  /** The fencing token: the log index of the claim, which increases with each claim. Sent to
      endpoints that check it. */
  std::uint64_t fencingToken = 0;
  int status = 0;
  std::string body;

  MSGPACK_DEFINE(verdict, replay, fencingToken, status, body)
};

/** The outcome of a claimed request. */
enum class OutcomeKind : std::uint8_t
{
  /** The answer is known and is recorded. */
  done = 0,
  /** The request may have run and must never run again. */
  unknown = 1,
  /** No byte was sent to an endpoint. The key may be claimed again. */
  notRun = 2,
};

/** The largest recorded response body in bytes. The proposer truncates longer ones. */
constexpr std::size_t kMaxOutcomeBody = 64UL * 1024;

} // namespace figchute::ledger

MSGPACK_ADD_ENUM(figchute::ledger::OutcomeKind)

namespace figchute::ledger {

/** Records the outcome of a claimed request. Idempotent by (caller, key, request). */
struct Outcome
{
  HolderId holder;
  CallerId caller;
  std::string key;
  RequestId request;
  OutcomeKind kind = OutcomeKind::done;
  int status = 0;
  std::string body;

  MSGPACK_DEFINE(holder, caller, key, request, kind, status, body)
};

/** The result of Outcome. */
struct OutcomeResult
{
  Verdict verdict;

  MSGPACK_DEFINE(verdict)
};

/** Registers a process incarnation as a holder, with the witnesses that may hold its records. Older
    incarnations of the process start to retire. Idempotent by (holder, sequence). */
struct RegisterHolder
{
  HolderId holder;
  ZoneId zone;
  /** A registration with a larger sequence number replaces the witness set. */
  std::uint64_t sequence = 0;
  /** Includes the holder itself when it has a journal. */
  std::vector<HolderId> witnesses;
  /** True for a holder that records no charges. Its witnesses record only how much of its reserves
      it unlocked. When it is retired, all unlocked tokens that it has not settled count as spent.
   */
  bool hasReserves = false;
  /** Clock readings that the control VMs made after the process had started. */
  std::vector<ClockReading> clockReadings{};

  MSGPACK_DEFINE(holder, zone, sequence, witnesses, hasReserves, clockReadings)
};

/** The outcome of RegisterHolder. */
struct RegisterResult
{
  Verdict verdict;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(verdict, sequence)
};

/** The charges and totals of one holder that a witness or a journal has recorded. */
struct HolderRecord
{
  HolderId holder;
  std::vector<AccountTotals> totals;
  std::vector<KeyedCharge> keyedCharges;

  MSGPACK_DEFINE(holder, totals, keyedCharges)
};

/** Retires all incarnations of a process up to a given one, or adds a report to such a retirement.
    Idempotent by (holder, reporter). */
struct Retire
{
  /** This incarnation and all older ones of the process no longer run. */
  HolderId newestRetired;
  /** The witness that reports, or the holder itself for a report from its journal. Unset when the
      command carries no report. */
  std::optional<HolderId> reporter;
  /** The records of the reporter; record.holder may be any incarnation up to `newestRetired`. */
  HolderRecord record;

  MSGPACK_DEFINE(newestRetired, reporter, record)
};

/** The outcome of Retire. */
struct RetireResult
{
  Verdict verdict;
  /** The witnesses that have not reported yet; empty when the retirement is complete. */
  std::vector<HolderId> missingWitnesses;
  /** The tokens that stay held until these witnesses report. */
  Tokens unreclaimedTokens;

  MSGPACK_DEFINE(verdict, missingWitnesses, unreclaimedTokens)
};

/** Reports a request that was running at an endpoint when it crashed. Idempotent by
    (fingerprint, request, endpoint). */
struct CrashReport
{
  HolderId reporter;
  RequestId request;
  EndpointId endpoint;
  Fingerprint fingerprint = 0;

  MSGPACK_DEFINE(reporter, request, endpoint, fingerprint)
};

/** The outcome of CrashReport. */
struct CrashResult
{
  Verdict verdict;
  bool quarantined = false;
  Time until;

  MSGPACK_DEFINE(verdict, quarantined, until)
};

/** Adds a control VM to the log as a learner. Idempotent by (process, diskId). */
struct AddMember
{
  ProcessId process;
  std::string diskId;
  ZoneId zone;

  MSGPACK_DEFINE(process, diskId, zone)
};

/** Makes a learner a voter. Idempotent by (process, diskId). */
struct PromoteMember
{
  ProcessId process;
  std::string diskId;

  MSGPACK_DEFINE(process, diskId)
};

/** Removes a control VM from the log's membership. Idempotent by (process, diskId). */
struct RemoveMember
{
  ProcessId process;
  std::string diskId;

  MSGPACK_DEFINE(process, diskId)
};

/** The outcome of the three member commands. */
struct MemberResult
{
  Verdict verdict;

  MSGPACK_DEFINE(verdict)
};

/** Activates a configuration if its version is higher than the active one. The proposer has
    validated it. Idempotent by its version. */
struct PutConfiguration
{
  std::uint64_t version = 0;
  /** The configuration exactly as the operator sent it. */
  std::string bytes;
  /** The budgets of all workspaces that have a budget. */
  std::vector<PrepaidBudget> budgets;

  MSGPACK_DEFINE(version, bytes, budgets)
};

/** The outcome of PutConfiguration. */
struct ConfigurationResult
{
  Verdict verdict;
  /** The active version after the command. */
  std::uint64_t version = 0;

  MSGPACK_DEFINE(verdict, version)
};

using fleet::ExpireEndpoint;
using fleet::PutEndpoint;
using fleet::RemoveEndpoint;
using fleet::SetEvacuation;

/** The outcome of the three endpoint commands. */
struct EndpointResult
{
  Verdict verdict;
  /** Whether the registry changed. Outdated and repeated commands change nothing. */
  bool changed = false;

  MSGPACK_DEFINE(verdict, changed)
};

/** Changes nothing. A reader that has applied the log up to the index of the barrier sees every
    command that was acknowledged before the barrier was proposed. */
struct ReadBarrier
{
  /** Ignored; MSGPACK_DEFINE requires at least one member. */
  std::uint64_t unused = 0;

  MSGPACK_DEFINE(unused)
};

/** The outcome of ReadBarrier. */
struct BarrierResult
{
  Verdict verdict;
  /** The log index of the barrier. */
  std::uint64_t index = 0;

  MSGPACK_DEFINE(verdict, index)
};

/** The outcome of SetEvacuation. */
struct EvacuationResult
{
  Verdict verdict;
  /** Whether the set of evacuated zones changed. */
  bool changed = false;

  MSGPACK_DEFINE(verdict, changed)
};

/** Any command of the replicated log. New commands are added at the end, because a command is
    encoded with its position. */
using Command = std::variant<ApplyDocument,
                             Grant,
                             Settle,
                             Claim,
                             Outcome,
                             RegisterHolder,
                             Retire,
                             CrashReport,
                             AddMember,
                             PromoteMember,
                             RemoveMember,
                             PutConfiguration,
                             PutEndpoint,
                             RemoveEndpoint,
                             ExpireEndpoint,
                             ReadBarrier,
                             SetEvacuation>;

/** The result of any command. */
using Result = std::variant<DocumentResult,
                            GrantResult,
                            SettleResult,
                            ClaimResult,
                            OutcomeResult,
                            RegisterResult,
                            RetireResult,
                            CrashResult,
                            MemberResult,
                            ConfigurationResult,
                            EndpointResult,
                            BarrierResult,
                            EvacuationResult>;

} // namespace figchute::ledger
