#include "replication/Message.h"

#include <fmt/format.h>

namespace figchute::replication {
namespace {

std::string text(const VoteRequest& m)
{
  return fmt::format("{} term={} last={}/{}",
                     m.preVote ? "PreVoteRequest" : "VoteRequest",
                     m.term,
                     m.lastIndex,
                     m.lastTerm);
}

std::string text(const VoteReply& m)
{
  return fmt::format(
    "{} term={} granted={}", m.preVote ? "PreVoteReply" : "VoteReply", m.term, m.granted);
}

std::string text(const AppendRequest& m)
{
  return fmt::format("AppendRequest term={} prev={}/{} entries={} commit={}",
                     m.term,
                     m.prevIndex,
                     m.prevTerm,
                     m.entries.size(),
                     m.commit);
}

std::string text(const AppendReply& m)
{
  return fmt::format("AppendReply term={} accepted={} matched={} conflict={}/{}",
                     m.term,
                     m.accepted,
                     m.matched,
                     m.conflictIndex,
                     m.conflictTerm);
}

std::string text(const SnapshotChunk& m)
{
  return fmt::format("SnapshotChunk term={} index={} offset={} bytes={} last={}",
                     m.term,
                     m.meta.index,
                     m.offset,
                     m.data.size(),
                     m.last);
}

std::string text(const SnapshotReply& m)
{
  return fmt::format("SnapshotReply term={} index={} next={}", m.term, m.index, m.nextOffset);
}

} // namespace

std::string describe(const Message& message)
{
  return std::visit([](const auto& body) { return text(body); }, message);
}

} // namespace figchute::replication
