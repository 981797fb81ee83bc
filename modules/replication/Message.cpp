#include "replication/Message.h"

#include <fmt/format.h>

namespace figchute::replication {
namespace {

std::string describeBody(const VoteRequest& message)
{
  return fmt::format("{} term={} last={}/{}",
                     message.preVote ? "PreVoteRequest" : "VoteRequest",
                     message.term,
                     message.lastIndex,
                     message.lastTerm);
}

std::string describeBody(const VoteReply& message)
{
  return fmt::format("{} term={} granted={}",
                     message.preVote ? "PreVoteReply" : "VoteReply",
                     message.term,
                     message.granted);
}

std::string describeBody(const AppendRequest& message)
{
  return fmt::format("AppendRequest term={} prev={}/{} entries={} commit={}",
                     message.term,
                     message.prevIndex,
                     message.prevTerm,
                     message.entries.size(),
                     message.commit);
}

std::string describeBody(const AppendReply& message)
{
  return fmt::format("AppendReply term={} accepted={} matched={} conflict={}/{}",
                     message.term,
                     message.accepted,
                     message.matchIndex,
                     message.conflictIndex,
                     message.conflictTerm);
}

std::string describeBody(const SnapshotChunk& message)
{
  return fmt::format("SnapshotChunk term={} index={} offset={} bytes={} last={}",
                     message.term,
                     message.meta.index,
                     message.offset,
                     message.data.size(),
                     message.last);
}

std::string describeBody(const SnapshotReply& message)
{
  return fmt::format(
    "SnapshotReply term={} index={} next={}", message.term, message.index, message.nextOffset);
}

} // namespace

std::string describe(const Message& message)
{
  return std::visit([](const auto& body) { return describeBody(body); }, message);
}

} // namespace figchute::replication
