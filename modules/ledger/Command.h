#pragma once

#include "core/core.h"
#include "fleet/Commands.h"
#include "wire/wire.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** The commands of the replicated log and their results. Every command is idempotent by its own id,
    so a proposer may send it again after a lost answer. */
namespace figchute::ledger {

/** The outcome part that all results share. */
struct Verdict
{
  /** Why the command was refused; empty when it was carried out. */
  std::optional<ErrorKind> error;
  /** A message for people; empty when there is no error. */
  std::string detail;

  /** Tells whether the command was carried out. */
  [[nodiscard]] bool ok() const { return !error.has_value(); }
};

} // namespace figchute::ledger

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  /** A verdict is sent as nil when there is no error and as [kind, detail] otherwise. */
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

/** A holder opens its reserves only when it has created no Settle for longer than this time, so one
    that is replaced sooner cannot have opened any. */
constexpr Duration kDetachTime{ 3'000'000 };

/** The cumulative amount bought for one budget, as a document gives it. */
struct Purchase
{
  BudgetId budget;
  Tokens bought;

  MSGPACK_DEFINE(budget, bought)
};

/** The amount of one router budget, as a configuration gives it. Unlike a purchase it may be lower
    than an earlier one. */
struct PrepaidBudget
{
  BudgetId budget;
  Tokens prepaid;

  MSGPACK_DEFINE(budget, prepaid)
};

/** Replaces the document of a team. The proposer has validated the text and extracted the budgets.
    Idempotent by (team, change). */
struct ApplyDocument
{
  TeamId team;
  /** The version that the operator changed; 0 for the first document. */
  std::uint64_t baseVersion = 0;
  ChangeId change;
  std::string text;
  std::vector<Purchase> purchases;
  /** Fingerprints of the callers' keys. A key belongs to one team, or a request could be billed to
      another team than its caller's. */
  std::vector<Fingerprint> callerKeys{};

  MSGPACK_DEFINE(team, baseVersion, change, text, purchases, callerKeys)
};

/** The outcome of ApplyDocument: version_conflict carries the winning version, document_invalid
    names the budget whose amount was lowered. */
struct DocumentResult
{
  Verdict verdict;
  /** The version of the team's document after the command. */
  std::uint64_t version = 0;
  /** The count of accepted documents after the command. */
  std::uint64_t revision = 0;

  MSGPACK_DEFINE(verdict, version, revision)
};

/** A request for tokens of one budget. */
struct GrantItem
{
  BudgetId budget;
  /** Larger than in every earlier request of this holder. Control answers a repeated sequence
      without granting again. */
  std::uint64_t sequence = 0;
  /** The shortfall of all waiting requests. */
  Tokens want;
  /** The smallest shortfall of a waiting request; granted alone when `want` does not fit. */
  Tokens minimum;
  /** What the holder expects to reserve soon; granted when the budget has plenty. */
  Tokens demand;

  MSGPACK_DEFINE(budget, sequence, want, minimum, demand)
};

/** Asks for grants. Idempotent by (holder, budget, sequence). */
struct Grant
{
  HolderId holder;
  std::vector<GrantItem> items;

  MSGPACK_DEFINE(holder, items)
};

/** The answer for one budget. */
struct GrantedItem
{
  BudgetId budget;
  std::uint64_t sequence = 0;
  /** The cumulative total granted to the holder since its account was opened, with its reserve. */
  Tokens granted;
  /** The amount that is still free after the grant. */
  Tokens free;
  /** True when the budget runs low: the holder returns what it does not need at once. */
  bool scarce = false;
  /** The part of `granted` that may be spent; the rest is the reserve. */
  Tokens opened;
  /** What the holder returns of its reserve, because others need it more. */
  Tokens excess;

  MSGPACK_DEFINE(budget, sequence, granted, free, scarce, opened, excess)
};

/** The outcome of Grant. */
struct GrantResult
{
  Verdict verdict;
  std::vector<GrantedItem> items;

  MSGPACK_DEFINE(verdict, items)
};

/** The cumulative amount passed to or from one other holder. */
struct PeerTotal
{
  HolderId peer;
  Tokens total;

  MSGPACK_DEFINE(peer, total)
};

/** The cumulative totals of one account, as its holder reports them to control, to its witness and
    to its journal. */
struct AccountTotals
{
  BudgetId budget;
  /** Bills of requests without a key. Keyed bills are reported as KeyedCharge. */
  Tokens charged;
  Tokens returned;
  std::vector<PeerTotal> transferredIn;
  std::vector<PeerTotal> transferredOut;
  /** The part of the granted total that the holder may spend. */
  Tokens opened{};

  MSGPACK_DEFINE(budget, charged, returned, transferredIn, transferredOut, opened)
};

/** The bill of one attempt of a keyed request. */
struct KeyedCharge
{
  /** Increases with each keyed charge of a holder; a holder settles them in this order. */
  std::uint64_t sequence = 0;
  CallerId caller;
  std::string key;
  RequestId request;
  std::vector<BudgetId> budgets;
  Tokens amount;

  MSGPACK_DEFINE(sequence, caller, key, request, budgets, amount)
};

/** Reports totals and keyed charges of a holder. Idempotent by (holder, sequence); a holder has one
    Settle in flight at a time. */
struct Settle
{
  HolderId holder;
  std::uint64_t sequence = 0;
  std::vector<AccountTotals> totals;
  std::vector<KeyedCharge> keyed;
  /** Accounts that hold nothing and that the holder wants to forget. A later grant opens a new
      account whose totals start at 0. */
  std::vector<BudgetId> closing;
  /** The wall clock of the holder's VM when the command was created, or 0. */
  Time createdAt{};

  MSGPACK_DEFINE(holder, sequence, totals, keyed, closing, createdAt)
};

/** What one keyed charge added to the bill of its key, per budget of the charge. */
struct KeyedBill
{
  std::uint64_t sequence = 0;
  std::vector<Tokens> charged;

  MSGPACK_DEFINE(sequence, charged)
};

/** The final total of the transfers between two holders, one of which is retired. */
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
  std::vector<FinalTransfer> finals;
  std::vector<BudgetId> closed;

  MSGPACK_DEFINE(verdict, sequence, bills, finals, closed)
};

/** Claims the key of a non-idempotent request before a byte goes to an endpoint. Idempotent by
    (caller, key, request). */
struct Claim
{
  HolderId holder;
  CallerId caller;
  /** `<unix seconds>-<anything>`. */
  std::string key;
  RequestId request;
  /** Hash of the request's content; another content under the same key is a key_conflict. */
  Fingerprint content = 0;

  MSGPACK_DEFINE(holder, caller, key, request, content)
};

/** The outcome of Claim. Without an error, `replay` tells whether the request is to be run or the
    recorded answer is to be sent. */
struct ClaimResult
{
  Verdict verdict;
  /** True when status and body are the recorded answer; false when the caller of Claim must run the
      request. */
  bool replay = false;
  /** The log index of the claim, larger for each later claim; sent to endpoints that check it. */
  std::uint64_t fencing = 0;
  int status = 0;
  std::string body;

  MSGPACK_DEFINE(verdict, replay, fencing, status, body)
};

/** How a claimed request ended. */
enum class OutcomeKind : std::uint8_t
{
  /** The answer is known and recorded. */
  done = 0,
  /** The request may have run; it never runs again. */
  unknown = 1,
  /** No byte went to an endpoint; the key may be claimed again. */
  notRun = 2,
};

/** The largest recorded body in bytes; a longer one is cut by the proposer. */
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

/** The outcome of Outcome. */
struct OutcomeResult
{
  Verdict verdict;

  MSGPACK_DEFINE(verdict)
};

/** Announces a new incarnation of a process and the witnesses that may hold its records. Older
    incarnations of the process start to retire. Idempotent by (holder, sequence). */
struct RegisterHolder
{
  HolderId holder;
  ZoneId zone;
  /** A larger sequence replaces the witness set. */
  std::uint64_t sequence = 0;
  /** Contains the holder itself when it has a journal. */
  std::vector<HolderId> witnesses;
  /** True for a holder whose charges need no record: its witnesses know only what it opened of its
      reserves. When it is retired, all it had opened and not settled counts as spent. */
  bool reserves = false;
  /** The wall clock of the holder's VM when its process started, or 0. */
  Time startedAt{};

  MSGPACK_DEFINE(holder, zone, sequence, witnesses, reserves, startedAt)
};

/** The outcome of RegisterHolder. */
struct RegisterResult
{
  Verdict verdict;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(verdict, sequence)
};

/** What a witness or a journal holds of one holder. */
struct HolderRecord
{
  HolderId holder;
  std::vector<AccountTotals> totals;
  std::vector<KeyedCharge> keyed;

  MSGPACK_DEFINE(holder, totals, keyed)
};

/** Retires the incarnations of a process up to one, or adds a report to a retirement. Idempotent by
    (holder, reporter). */
struct Retire
{
  /** This incarnation and all older ones of the process are dead. */
  HolderId through;
  /** The witness, or the holder itself for a report from its journal; unset without a report. */
  std::optional<HolderId> reporter;
  /** What the reporter recorded; record.holder may be any incarnation up to `through`. */
  HolderRecord record;

  MSGPACK_DEFINE(through, reporter, record)
};

/** The outcome of Retire. */
struct RetireResult
{
  Verdict verdict;
  /** The witnesses whose report is missing; empty when the retirement is complete. */
  std::vector<HolderId> missing;
  /** What stays held until they report. */
  Tokens stranded;

  MSGPACK_DEFINE(verdict, missing, stranded)
};

/** Reports a request that was running when its endpoint crashed. Idempotent by
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

/** Gives a learner its vote. Idempotent by (process, diskId). */
struct PromoteMember
{
  ProcessId process;
  std::string diskId;

  MSGPACK_DEFINE(process, diskId)
};

/** Removes a control VM from the log. Idempotent by (process, diskId). */
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

/** Puts a configuration in force unless its version is not above the one in force. The proposer has
    validated it. Idempotent by its version. */
struct PutConfiguration
{
  std::uint64_t version = 0;
  /** The configuration as the operator sent it. */
  std::string bytes;
  /** The budgets of all workspaces that have one. */
  std::vector<PrepaidBudget> budgets;

  MSGPACK_DEFINE(version, bytes, budgets)
};

/** The outcome of PutConfiguration. */
struct ConfigurationResult
{
  Verdict verdict;
  /** The version in force after the command. */
  std::uint64_t version = 0;

  MSGPACK_DEFINE(verdict, version)
};

using fleet::ExpireEndpoint;
using fleet::PutEndpoint;
using fleet::RemoveEndpoint;

/** The outcome of the three endpoint commands. */
struct EndpointResult
{
  Verdict verdict;
  /** Whether the registry changed; a late or repeated command changes nothing. */
  bool changed = false;

  MSGPACK_DEFINE(verdict, changed)
};

/** Changes nothing. A reader that has applied its index sees every command that was acknowledged
    before the barrier was proposed. */
struct ReadBarrier
{
  /** Ignored; msgpack needs one member. */
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

/** A command of the log. */
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
                             ReadBarrier>;

/** The result of a command. */
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
                            BarrierResult>;

} // namespace figchute::ledger
