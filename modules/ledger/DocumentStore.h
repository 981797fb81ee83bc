#pragma once

#include "ledger/BudgetLedger.h"
#include "ledger/ControlState.h"

#include <deque>
#include <map>

namespace figchute::ledger::detail {

/** One accepted version of a document. */
struct Version
{
  std::uint64_t number = 0;
  ChangeId change;
  Time time;
  std::string text;

  MSGPACK_DEFINE(number, change, time, text)
};

/** The outcome of the first command with a change id, returned again for repeated commands. */
struct ChangeOutcome
{
  Time time;
  DocumentResult result;

  MSGPACK_DEFINE(time, result)
};

/** A team's document with its history, oldest version first. */
struct Document
{
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
  std::deque<Version> history;

  MSGPACK_DEFINE(version, revision, history)
};

/** Identifies a change. */
using ChangeKey = std::pair<TeamId, ChangeId>;

/** Stores documents, their history and the outcomes of changes.
    Thread safety: use one instance from one thread only. */
class DocumentStore
{
public:
  DocumentResult apply(Time time, const ApplyDocument& command, BudgetLedger& budgetLedger);

  /** Removes outcomes of changes that are older than kKeyRetention. */
  void expire(Time time);

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] const std::map<TeamId, Document>& documents() const { return documents_; }

  MSGPACK_DEFINE(revision_, documents_, outcomes_, changesByAge_, keyOwners_)

private:
  [[nodiscard]] bool usesKeyOfOtherTeam(const ApplyDocument& command) const;
  void replaceKeys(const ApplyDocument& command);
  DocumentResult applyNewChange(Time time,
                                const ApplyDocument& command,
                                BudgetLedger& budgetLedger);

  std::uint64_t revision_ = 0;
  std::map<TeamId, Document> documents_;
  std::map<ChangeKey, ChangeOutcome> outcomes_;
  std::deque<ChangeKey> changesByAge_;
  std::map<Fingerprint, TeamId> keyOwners_;
};

} // namespace figchute::ledger::detail
