#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace figchute::replication {

/** The position of an entry in the log; the first entry has index 1. */
using LogIndex = std::uint64_t;

/** The number of an election period; a term has at most one leader. */
using Term = std::uint64_t;

/** Identifies a member by its process and its data folder. */
struct MemberId
{
  ProcessId process;
  /** The random id that was created with the data folder. It is empty for initial voters before the
      first election and for a learner that was added before its disk id was known. The log then
      records the id that the process reports. */
  std::string diskId;

  auto operator<=>(const MemberId&) const = default;
  MSGPACK_DEFINE(process, diskId)
};

/** A member of the replicated log. */
struct Member
{
  MemberId id;
  /** False for a learner, which receives the log but does not count for a majority. */
  bool voter = true;

  auto operator<=>(const Member&) const = default;
  MSGPACK_DEFINE(id, voter)
};

/** The members from one entry of the log on. A process occurs at most once. */
struct Membership
{
  std::vector<Member> members;

  bool operator==(const Membership&) const = default;
  MSGPACK_DEFINE(members)

  /** Returns the member of a process, or nullptr. The pointer is valid until members change. */
  [[nodiscard]] const Member* find(const ProcessId& process) const
  {
    const auto matchingMember =
      std::find_if(members.begin(), members.end(), [&](const Member& member) {
        return member.id.process == process;
      });
    return matchingMember == members.end() ? nullptr : &*matchingMember;
  }

  /** Returns the number of voters. */
  [[nodiscard]] std::size_t voterCount() const
  {
    return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const Member& member) { return member.voter; }));
  }

  /** Returns the number of voters needed for a decision: a majority. While the disk id of a voter
      is not recorded yet, this is all voters, because a process that lost its disk cannot be
      distinguished from a new one. */
  [[nodiscard]] std::size_t quorum() const
  {
    const bool hasUnknownDisk =
      std::any_of(members.begin(), members.end(), [](const Member& member) {
        return member.voter && member.id.diskId.empty();
      });
    return hasUnknownDisk ? voterCount() : voterCount() / 2 + 1;
  }
};

/** The kinds of membership change. */
enum class MembershipChangeKind : std::uint8_t
{
  /** Adds a process as a learner; it may have no data and its disk id may be empty. */
  addLearner = 0,
  /** Makes a learner a voter and records its disk id; the learner must have caught up. */
  promote = 1,
  /** Removes a learner or a voter, which may be the leader itself. */
  remove = 2,
};

/** A requested membership change. */
struct MembershipChange
{
  MembershipChangeKind kind = MembershipChangeKind::addLearner;
  /** The process to change. Only addLearner uses the disk id, which may be empty. */
  MemberId member;
};

} // namespace figchute::replication
