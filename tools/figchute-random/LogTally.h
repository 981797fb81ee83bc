#pragma once

#include "Network.h"
#include "replication/replication.h"

#include <map>
#include <string>
#include <vector>

namespace figchute::simulation {

/** An independent record of what the replicated log promised: committed entries never differ or
    vanish, a term has one leader, no acknowledged entry is lost. */
class LogTally
{
public:
  /** Records that a process applied a committed entry. */
  void applied(const ProcessId& process, const replication::Entry& entry);

  /** Records that a process replaced its state by a snapshot.
      @param hash  the hash of the entries that the state says it contains */
  void restored(const ProcessId& process, replication::LogIndex index, Fingerprint hash);

  /** Records that a process starts again from its own snapshot at @p index. */
  void restarted(const ProcessId& process, replication::LogIndex index) { last_[process] = index; }

  /** Records that a process acts as leader of a term. */
  void leads(const ProcessId& process, replication::Term term);

  /** Records that a proposer was told that its command is committed. */
  void acknowledged(const replication::Entry& entry);

  /** Returns the index of the last acknowledged entry. */
  [[nodiscard]] replication::LogIndex lastAcknowledged() const { return lastAcknowledged_; }

  /** Checks at the end that a process has applied every entry up to one that was acknowledged. */
  void checkComplete(const ProcessId& process, replication::LogIndex acknowledged) const;

  /** Returns the hash of all entries up to the last that @p process applied. */
  [[nodiscard]] Fingerprint hashAt(replication::LogIndex index) const;

  /** Returns the members that the last committed membership entry put in force. */
  [[nodiscard]] const replication::Membership& members() const { return members_; }

  [[nodiscard]] replication::LogIndex size() const { return entries_.size(); }
  [[nodiscard]] std::size_t leaderCount() const { return leaders_.size(); }
  [[nodiscard]] std::uint64_t acknowledgedCount() const { return acknowledgedCount_; }

private:
  struct Committed
  {
    replication::Term term = 0;
    Fingerprint content = 0;
    /** Hash over this and all earlier entries. */
    Fingerprint chain = 0;
  };

  std::vector<Committed> entries_;
  std::map<ProcessId, replication::LogIndex> last_;
  std::map<replication::Term, ProcessId> leaders_;
  replication::Membership members_;
  replication::LogIndex lastAcknowledged_ = 0;
  std::uint64_t acknowledgedCount_ = 0;
};

} // namespace figchute::simulation
