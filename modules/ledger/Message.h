#pragma once

#include "ledger/Command.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** The messages between processes that belong to the ledger. Loss, duplication and reordering of
   any of them is tolerated. */
namespace figchute::ledger {

/** Asks a control VM to commit a command. */
struct Propose
{
  /** Chosen by the proposer and the same at every resend. */
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
  /** The leader as far as the sender knows it; may be empty. */
  ProcessId leaderHint;
  /** An encoded Result. */
  std::string result;

  MSGPACK_DEFINE(proposalId, accepted, leaderHint, result)
};

/** Control asks a holder to return the unused part of its grant. */
struct Recall
{
  /** The incarnation that is asked; another one ignores the message. */
  HolderId holder;
  BudgetId budget;

  MSGPACK_DEFINE(holder, budget)
};

/** A holder asks another one of its zone for tokens while control is out of reach. */
struct TransferRequest
{
  /** The incarnation that asks. */
  HolderId holder;
  BudgetId budget;
  Tokens want;

  MSGPACK_DEFINE(holder, budget, want)
};

/** Passes tokens from one holder to another. Repeated until it is acknowledged. */
struct Transfer
{
  /** Unique to the sender; 0 when nothing is given. */
  std::uint64_t transferId = 0;
  HolderId from;
  HolderId to;
  BudgetId budget;
  /** The cumulative total of the transfers of this budget between the two holders, so that a
      repeated or reordered message changes nothing. */
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
  /** The total that the receiver has. */
  Tokens total;

  MSGPACK_DEFINE(transferId, from, to, budget, total)
};

/** Carries everything that changed since the last record that this witness acknowledged. */
struct WitnessRecord
{
  std::uint64_t sequence = 0;
  HolderRecord record;
  /** Keyed charges up to this sequence are settled and may be dropped. */
  std::uint64_t keyedSettledThrough = 0;
  /** Accounts whose totals control has confirmed; their lines may be dropped. */
  std::vector<BudgetId> confirmed;

  MSGPACK_DEFINE(sequence, record, keyedSettledThrough, confirmed)
};

/** Acknowledges a WitnessRecord. */
struct WitnessAck
{
  HolderId holder;
  HolderId witness;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(holder, witness, sequence)
};

/** Control asks a witness what it recorded of a holder that is being retired. */
struct WitnessReportRequest
{
  HolderId holder;

  MSGPACK_DEFINE(holder)
};

/** Answers a WitnessReportRequest. From then on the witness acknowledges no record of the holder,
   so a holder that was retired by mistake cannot complete another answer. */
struct WitnessReport
{
  HolderId witness;
  HolderRecord record;

  MSGPACK_DEFINE(witness, record)
};

/** A fingerprint that is refused everywhere until a time. */
struct QuarantineEntry
{
  Fingerprint fingerprint = 0;
  Time until;
  std::uint64_t crashes = 0;

  MSGPACK_DEFINE(fingerprint, until, crashes)
};

/** The latest document of a team. */
struct TeamDocument
{
  TeamId team;
  std::uint64_t version = 0;
  std::string text;

  MSGPACK_DEFINE(team, version, text)
};

/** An entry VM asks for the documents it does not have. */
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
  /** The whole quarantine; empty and to be ignored when the polled quarantine revision is current.
   */
  std::vector<QuarantineEntry> quarantine;

  MSGPACK_DEFINE(revision, documents, quarantineRevision, quarantine)
};

/** Control tells a witness that a holder is completely retired, so that its records may be dropped.
   A lost message only keeps the records longer. */
struct WitnessForget
{
  /** This incarnation and all older ones of the process are retired. */
  HolderId through;

  MSGPACK_DEFINE(through)
};

/** A message of the ledger. */
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
                             WitnessForget>;

/** A message to send. */
struct Outgoing
{
  ProcessId to;
  Message message;
};

} // namespace figchute::ledger
