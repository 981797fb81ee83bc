#include "LogTally.h"

#include <fmt/format.h>

namespace figchute::simulation {

void LogTally::applied(const ProcessId& process, const replication::Entry& entry)
{
  auto& last = last_[process];
  require(
    entry.index == last + 1,
    fmt::format("committed_entry: {} applied entry {} after {}", process.value, entry.index, last));
  last = entry.index;
  const Fingerprint content = fingerprintOf(entry.payload, static_cast<Fingerprint>(entry.kind));
  require(entry.index <= entries_.size() + 1, "committed_entry: an entry was skipped");
  if (entry.index <= entries_.size()) {
    const Committed& known = entries_[entry.index - 1];
    require(known.term == entry.term && known.content == content,
            fmt::format("committed_entry: entry {} of {} differs from the one committed before",
                        entry.index,
                        process.value));
    return;
  }
  const Fingerprint chain = fingerprintOf(entry.payload, hashAt(entry.index - 1));
  entries_.push_back(Committed{ entry.term, content, chain });
  if (entry.kind == replication::EntryKind::membership) {
    members_ = wire::decode<replication::Membership>(entry.payload).value();
  }
}

void LogTally::restored(const ProcessId& process, replication::LogIndex index, Fingerprint hash)
{
  require(index <= entries_.size() && hashAt(index) == hash,
          fmt::format("committed_entry: the snapshot of {} at {} has other entries than the log",
                      process.value,
                      index));
  last_[process] = index;
}

void LogTally::leads(const ProcessId& process, replication::Term term)
{
  const auto [place, added] = leaders_.emplace(term, process);
  require(
    added || place->second == process,
    fmt::format(
      "one_leader: term {} has the leaders {} and {}", term, place->second.value, process.value));
}

void LogTally::acknowledged(const replication::Entry& entry)
{
  const Fingerprint content = fingerprintOf(entry.payload, static_cast<Fingerprint>(entry.kind));
  require(
    entry.index <= entries_.size() && entries_[entry.index - 1].content == content,
    fmt::format("acknowledged_entry: entry {} was acknowledged but is not committed", entry.index));
  lastAcknowledged_ = std::max(lastAcknowledged_, entry.index);
  ++acknowledgedCount_;
}

void LogTally::checkComplete(const ProcessId& process, replication::LogIndex acknowledged) const
{
  const auto found = last_.find(process);
  const replication::LogIndex last = found == last_.end() ? 0 : found->second;
  require(last >= acknowledged,
          fmt::format("acknowledged_entry: {} has entries up to {}, but {} was acknowledged",
                      process.value,
                      last,
                      acknowledged));
}

Fingerprint LogTally::hashAt(replication::LogIndex index) const
{
  return index == 0 ? 0 : entries_.at(index - 1).chain;
}

} // namespace figchute::simulation
