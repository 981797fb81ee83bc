#pragma once

#include "Network.h"
#include "replication/replication.h"

#include <map>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Checks the guarantees of the replicated log with an independent record: committed entries never
    differ or disappear, a term has a single leader, and no acknowledged entry is lost. */
class LogTally
{
public:
  /** Checks a committed entry that a process applied. */
  void checkApplied(const ProcessId& process, const replication::Entry& entry);

  /** Checks the snapshot with which a process replaced its state.
      @param hash  the hash of the entries that the snapshot claims to contain */
  void checkRestored(const ProcessId& process, replication::LogIndex index, Fingerprint hash);

  /** Records that a process restarts from its own snapshot at @p index. */
  void recordRestart(const ProcessId& process, replication::LogIndex index)
  {
    lastApplied_[process] = index;
  }

  /** Checks that a process is the only leader of a term. */
  void checkLeader(const ProcessId& process, replication::Term term);

  /** Checks that an entry whose proposer received an acknowledgement is committed. */
  void checkAcknowledged(const replication::Entry& entry);

  /** Returns the index of the last acknowledged entry. */
  [[nodiscard]] replication::LogIndex lastAcknowledged() const { return lastAcknowledged_; }

  /** Checks at the end that a process has applied every entry up to an acknowledged one. */
  void checkComplete(const ProcessId& process, replication::LogIndex acknowledged) const;

  /** Returns the hash of all entries up to and including @p index. */
  [[nodiscard]] Fingerprint hashAt(replication::LogIndex index) const;

  /** Returns the members from the last committed membership entry. */
  [[nodiscard]] const replication::Membership& members() const { return members_; }

  [[nodiscard]] replication::LogIndex entryCount() const { return entries_.size(); }
  [[nodiscard]] std::size_t leaderCount() const { return leaderByTerm_.size(); }
  [[nodiscard]] std::uint64_t acknowledgedCount() const { return acknowledgedCount_; }

private:
  struct CommittedEntry
  {
    replication::Term term = 0;
    Fingerprint contentHash = 0;
    /** The hash over this entry and all earlier ones. */
    Fingerprint chainHash = 0;
  };

  std::vector<CommittedEntry> entries_;
  std::map<ProcessId, replication::LogIndex> lastApplied_;
  std::map<replication::Term, ProcessId> leaderByTerm_;
  replication::Membership members_;
  replication::LogIndex lastAcknowledged_ = 0;
  std::uint64_t acknowledgedCount_ = 0;
};

} // namespace figchute::simulation
