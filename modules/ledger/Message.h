#pragma once

#include "ledger/Command.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** The messages that processes exchange for the ledger. The protocol tolerates loss, duplication
    and reordering of any of them. */
namespace figchute::ledger {

/** The ratio of the minimum time between two settlements to that between two grant requests.
    @see ProposeReply::grantIntervalMicros */
constexpr int kSettlePauseFactor = 8;
/** The longest time between two grant requests that control can state. Holders obey no longer one,
    so a value that is measured during a pause of the leader's process stops nobody. */
constexpr Duration kMaxGrantInterval = std::chrono::seconds(1);

/** Requests a control VM to commit a command to the log. */
struct Propose
{
  /** Chosen by the proposer. Resends use the same id. */
  std::uint64_t proposalId = 0;
  /** An encoded Command. */
  std::string command;

  MSGPACK_DEFINE(proposalId, command)
};

/** Answers a Propose. */
struct ProposeReply
{
  std::uint64_t proposalId = 0;
  /** True when the command was committed and applied; the result is valid only then. */
  bool accepted = false;
  /** The leader as known to the sender; may be empty. */
  ProcessId leaderHint;
  /** An encoded Result. */
  std::string result;
  /** The clock of the sender when it created the answer; not valid if it has no clock that
     continues across restarts of the process. */
  ClockReading clockReading{};
  /** The minimum time in microseconds between two grant requests of the proposer, by which control
      limits its work, at most kMaxGrantInterval. Settlements that control did not request by a
      Recall are kSettlePauseFactor times as rare. 0: no limit, and in releases that do not state
      it. */
  std::int64_t grantIntervalMicros = 0;

  MSGPACK_DEFINE(proposalId, accepted, leaderHint, result, clockReading, grantIntervalMicros)
};

/** Sent by control to request that a holder return the unused part of its grant. */
struct Recall
{
  /** The incarnation that is addressed. Other incarnations ignore the message. */
  HolderId holder;
  BudgetId budget;

  MSGPACK_DEFINE(holder, budget)
};

/** Sent by a holder to request tokens from another one while control is unreachable. */
struct TransferRequest
{
  /** The requesting incarnation. */
  HolderId holder;
  BudgetId budget;
  Tokens requested;

  MSGPACK_DEFINE(holder, budget, requested)
};

/** Transfers tokens from one holder to another. Resent until it is acknowledged. */
struct Transfer
{
  /** Unique within the sender; 0 when the sender has no tokens to transfer. */
  std::uint64_t transferId = 0;
  HolderId from;
  HolderId to;
  BudgetId budget;
  /** The cumulative total of the transfers of this budget between the two holders, so that repeated
      and reordered messages have no effect. */
  Tokens total;

  MSGPACK_DEFINE(transferId, from, to, budget, total)
};

/** Acknowledges a Transfer. */
struct TransferAck
{
  std::uint64_t transferId = 0;
  HolderId from;
  HolderId to;
  BudgetId budget;
  /** The cumulative total known to the receiver. */
  Tokens total;

  MSGPACK_DEFINE(transferId, from, to, budget, total)
};

/** Carries all changes since the last record that this witness acknowledged. */
struct WitnessRecord
{
  std::uint64_t sequence = 0;
  HolderRecord record;
  /** Keyed charges up to this sequence are settled and may be dropped. */
  std::uint64_t settledKeyedSequence = 0;
  /** Accounts whose totals control has confirmed. Their records may be dropped. */
  std::vector<BudgetId> confirmed;

  MSGPACK_DEFINE(sequence, record, settledKeyedSequence, confirmed)
};

/** Acknowledges a WitnessRecord. */
struct WitnessAck
{
  HolderId holder;
  HolderId witness;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(holder, witness, sequence)
};

/** Sent by control to request the records of a witness of a holder that is being retired. */
struct WitnessReportRequest
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** Answers a WitnessReportRequest. From then on the witness acknowledges no further record of the
    holder, so that a holder that was retired by mistake cannot complete another answer. */
struct WitnessReport
{
  HolderId witness;
  HolderRecord record;

  MSGPACK_DEFINE(witness, record)
};

/** A fingerprint that all entry processes refuse until the given time. */
struct QuarantineEntry
{
  Fingerprint fingerprint = 0;
  Time until;
  std::uint64_t crashes = 0;

  MSGPACK_DEFINE(fingerprint, until, crashes)
};

/** The latest version of a team's document. */
struct TeamDocument
{
  TeamId team;
  std::uint64_t version = 0;
  std::string text;

  MSGPACK_DEFINE(team, version, text)
};

/** Sent by an entry VM to request the documents that it does not have yet. */
struct DocumentPoll
{
  std::uint64_t revision = 0;
  std::uint64_t quarantineRevision = 0;

  MSGPACK_DEFINE(revision, quarantineRevision)
};

/** Answers a DocumentPoll with the documents accepted after the polled revision. */
struct DocumentPush
{
  std::uint64_t revision = 0;
  std::vector<TeamDocument> documents;
  std::uint64_t quarantineRevision = 0;
  /** The complete quarantine. Empty and to be ignored when the polled quarantine revision is
      current. */
  std::vector<QuarantineEntry> quarantine;

  MSGPACK_DEFINE(revision, documents, quarantineRevision, quarantine)
};

/** Sent by control to inform a witness that a holder is completely retired and that its records may
   be dropped. If the message is lost, the witness only keeps the records longer. */
struct WitnessForget
{
  HolderId retired;
  /** All incarnations of the process before this one are completely retired as well. An older one
      may still wait for reports when a newer one is retired. */
  Incarnation oldestPending;

  MSGPACK_DEFINE(retired, oldestPending)
};

/** Requests a reading of the boot clock of a control VM. Sent by a process that has just started;
   the answer shows how long ago its former incarnation was in contact with that VM at most. */
struct ClockRequest
{
  /** The new incarnation. */
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** Answers a ClockRequest. */
struct ClockReply
{
  /** The incarnation that asked. */
  HolderId holder;
  ClockReading clockReading{};

  MSGPACK_DEFINE(holder, clockReading)
};

/** Any message of the ledger. */
using Message = std::variant<Propose,
                             ProposeReply,
                             Recall,
                             TransferRequest,
                             Transfer,
                             TransferAck,
                             WitnessRecord,
                             WitnessAck,
                             WitnessReportRequest,
                             WitnessReport,
                             DocumentPoll,
                             DocumentPush,
                             WitnessForget,
                             ClockRequest,
                             ClockReply>;

/** A message with the process that it is sent to. */
struct OutgoingMessage
{
  ProcessId to;
  Message message;
};

} // namespace figchute::ledger
