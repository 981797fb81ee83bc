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

/** Numbers the elections; at most one leader is elected in a term. */
using Term = std::uint64_t;

/** Identifies a member by its process and by the id of its data folder. */
struct MemberId
{
  ProcessId process;
  /** The id that was created with the data folder. Empty for an initial voter before the first
      election and for a learner that was added before its disk id was known; the log then records
      the id that the process reports. */
  std::string diskId;

  auto operator<=>(const MemberId&) const = default;
  MSGPACK_DEFINE(process, diskId)
};

/** One member of the log's group. */
struct Member
{
  MemberId id;
  /** False for a learner: it gets the log but is counted in no majority. */
  bool voter = true;

  auto operator<=>(const Member&) const = default;
  MSGPACK_DEFINE(id, voter)
};

/** The members in force from one place of the log on. At most one member has a given process. */
struct Membership
{
  std::vector<Member> members;

  bool operator==(const Membership&) const = default;
  MSGPACK_DEFINE(members)

  /** Returns the member with that process, or nullptr. The pointer is valid until a change. */
  [[nodiscard]] const Member* find(const ProcessId& process) const
  {
    const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) {
      return member.id.process == process;
    });
    return found == members.end() ? nullptr : &*found;
  }

  /** Returns the number of members that vote. */
  [[nodiscard]] std::size_t voterCount() const
  {
    return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [](const Member& member) { return member.voter; }));
  }

  /** Returns how many voters decide: a majority. While the disk id of a voter is not recorded yet,
      all voters are needed, because a process that lost its disk cannot be told from a new one. */
  [[nodiscard]] std::size_t quorum() const
  {
    const bool unbound = std::any_of(members.begin(), members.end(), [](const Member& member) {
      return member.voter && member.id.diskId.empty();
    });
    return unbound ? voterCount() : voterCount() / 2 + 1;
  }
};

/** The kinds of membership change. */
enum class MembershipChangeKind : std::uint8_t
{
  /** Adds a process as a learner; it may have no data and its disk id may be empty. */
  addLearner = 0,
  /** Makes a learner that has caught up a voter and records its disk id. */
  promote = 1,
  /** Removes a learner or a voter, also the leader itself. */
  remove = 2,
};

/** One membership change, as an operator asks for it. */
struct MembershipChange
{
  MembershipChangeKind kind = MembershipChangeKind::addLearner;
  /** The process to change. The disk id is used only by addLearner and may be empty. */
  MemberId member;
};

} // namespace figchute::replication
