#include "LogTally.h"

#include <fmt/format.h>

namespace figchute::simulation {

void LogTally::checkApplied(const ProcessId& process, const replication::Entry& entry)
{
  auto& lastIndex = lastApplied_[process];
  require(
    entry.index == lastIndex + 1,
    fmt::format(
      "committed_entry: {} applied entry {} after {}", process.value, entry.index, lastIndex));
  lastIndex = entry.index;
  const Fingerprint contentHash =
    fingerprintOf(entry.payload, static_cast<Fingerprint>(entry.kind));
  require(entry.index <= entries_.size() + 1, "committed_entry: an entry was skipped");
  if (entry.index <= entries_.size()) {
    const CommittedEntry& committed = entries_[entry.index - 1];
    require(committed.term == entry.term && committed.contentHash == contentHash,
            fmt::format("committed_entry: entry {} of {} differs from the one committed before",
                        entry.index,
                        process.value));
    return;
  }
  const Fingerprint chainHash = fingerprintOf(entry.payload, hashAt(entry.index - 1));
  entries_.push_back(CommittedEntry{ entry.term, contentHash, chainHash });
  if (entry.kind == replication::EntryKind::membership) {
    members_ = wire::decode<replication::Membership>(entry.payload).value();
  }
}

void LogTally::checkRestored(const ProcessId& process,
                             replication::LogIndex index,
                             Fingerprint hash)
{
  require(index <= entries_.size() && hashAt(index) == hash,
          fmt::format("committed_entry: the snapshot of {} at {} has other entries than the log",
                      process.value,
                      index));
  lastApplied_[process] = index;
}

void LogTally::checkLeader(const ProcessId& process, replication::Term term)
{
  const auto [leaderIt, added] = leaderByTerm_.emplace(term, process);
  require(added || leaderIt->second == process,
          fmt::format("one_leader: term {} has the leaders {} and {}",
                      term,
                      leaderIt->second.value,
                      process.value));
}

void LogTally::checkAcknowledged(const replication::Entry& entry)
{
  const Fingerprint contentHash =
    fingerprintOf(entry.payload, static_cast<Fingerprint>(entry.kind));
  require(
    entry.index <= entries_.size() && entries_[entry.index - 1].contentHash == contentHash,
    fmt::format("acknowledged_entry: entry {} was acknowledged but is not committed", entry.index));
  lastAcknowledged_ = std::max(lastAcknowledged_, entry.index);
  ++acknowledgedCount_;
}

void LogTally::checkComplete(const ProcessId& process, replication::LogIndex acknowledged) const
{
  const auto lastIt = lastApplied_.find(process);
  const replication::LogIndex lastIndex = lastIt == lastApplied_.end() ? 0 : lastIt->second;
  require(lastIndex >= acknowledged,
          fmt::format("acknowledged_entry: {} has entries up to {}, but {} was acknowledged",
                      process.value,
                      lastIndex,
                      acknowledged));
}

Fingerprint LogTally::hashAt(replication::LogIndex index) const
{
  return index == 0 ? 0 : entries_.at(index - 1).chainHash;
}

} // namespace figchute::simulation
