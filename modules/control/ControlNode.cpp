#include "control/ControlNode.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::control {
namespace {

using replication::MembershipChange;
using replication::MembershipChangeKind;

/** Number of entries kept in memory behind a snapshot; few, because configurations are large. */
constexpr replication::LogIndex kTrailingEntries = 8;
/** A snapshot is taken after this many bytes of entries, which limits the memory that they use. */
constexpr std::uint64_t kSnapshotIntervalBytes = 4UL * 1024 * 1024;
/** The interval at which the leader checks whether the members must change. */
constexpr Duration kMembershipCheckInterval = std::chrono::milliseconds(200);
/** A join request that is not repeated within this time is dropped. */
constexpr Duration kJoinRequestLifetime = std::chrono::milliseconds(1500);
/** The interval of Proposer::tick() while a local proposal is pending. */
constexpr Duration kProposerTickInterval = std::chrono::milliseconds(50);
/** The entries that are applied before messages are handled again: below 50 ms of a control VM's
    processor share, so that heartbeats are answered in time while thousands of entries wait. */
constexpr std::size_t kMaxEntriesPerAdvance = 64;
/** Limits the members that processes with a wrong configuration can add. */
constexpr std::size_t kMaxMembers = 9;

/** Returns the first proposal id of a node: a random number with the highest bit set, so that ids
    differ from those of earlier starts and of other proposers in the same process. */
std::uint64_t firstProposalId(Random& random)
{
  return (random.next() >> 1U << 20U) | 1ULL << 63U;
}

bool contains(const std::vector<ProcessId>& processes, const ProcessId& process)
{
  return std::find(processes.begin(), processes.end(), process) != processes.end();
}

OpenDataFolder openOnFileDisk(std::string folder)
{
  return [folder = std::move(folder)]() -> Expected<std::unique_ptr<DataFolder>> {
    auto disk = replication::FileDisk::open(folder);
    if (!disk) {
      return tl::unexpected(disk.error());
    }
    auto fileDisk = std::make_shared<replication::FileDisk>(std::move(*disk));
    return std::make_unique<DiskDataFolder<replication::FileDisk>>(std::move(fileDisk));
  };
}

RecoveredLog describe(const replication::RecoveredState& recovered)
{
  RecoveredLog log{ recovered.snapshot.data.size(), recovered.entries.size(), 0 };
  for (const auto& entry : recovered.entries) {
    log.entryBytes += entry.payload.size();
  }
  return log;
}

/** The state of another member at one point in time, as known to the leader. */
struct MemberContact
{
  replication::Member member;
  Duration silentFor{ 0 };
  bool caughtUp = false;
};

std::vector<MemberContact> memberContacts(const replication::LogState& log,
                                          Time now,
                                          Time leaderSince,
                                          Duration minElectionTimeout)
{
  std::vector<MemberContact> result;
  for (const auto& progress : log.progress) {
    const auto* member = log.members.find(progress.id.process);
    if (member == nullptr) {
      continue;
    }
    MemberContact contact;
    contact.member = *member;
    // A new leader has sent no messages before leaderSince, so the time counts from there.
    contact.silentFor = now - std::max(progress.lastContactAt, leaderSince);
    contact.caughtUp = !progress.id.diskId.empty() && progress.matchIndex >= log.commitIndex &&
                       now - progress.lastContactAt < minElectionTimeout;
    result.push_back(std::move(contact));
  }
  std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
    return a.silentFor > b.silentFor;
  });
  return result;
}

} // namespace

ControlNode::ControlNode(ControlNodeSettings settings, Time now)
  : settings_(std::move(settings))
  , random_(settings_.seed)
  , now_(now)
  , proposer_(firstProposalId(random_))
  , nextJoinAt_(now)
{
  if (!settings_.openDataFolder) {
    settings_.openDataFolder = openOnFileDisk(settings_.dataFolder);
  }
  open(now);
  reportedIndex_ = appliedIndex();
}

void ControlNode::open(Time now)
{
  if (auto openResult = tryOpen(now); !openResult) {
    handleStorageFailure(now, std::move(openResult.error()));
    return;
  }
  storageError_.reset();
}

Expected<void> ControlNode::tryOpen(Time now)
{
  auto openedFolder = settings_.openDataFolder();
  if (!openedFolder) {
    return tl::unexpected(openedFolder.error());
  }
  folder_ = std::move(*openedFolder);
  auto recoveredState =
    folder_->recover(fmt::format("{:016x}{:016x}", random_.next(), random_.next()));
  if (!recoveredState) {
    return tl::unexpected(recoveredState.error());
  }
  const auto origin = readOrCreateOrigin(*folder_, *recoveredState);
  if (!origin) {
    return tl::unexpected(origin.error());
  }
  recoveredLog_ = describe(*recoveredState);
  replication::LogConfig logConfig;
  logConfig.self = settings_.self;
  logConfig.seed = random_.next();
  logConfig.heartbeatInterval = timings().heartbeatInterval;
  logConfig.minElectionTimeout = timings().minElectionTimeout;
  logConfig.maxElectionTimeout = timings().maxElectionTimeout;
  logConfig.trailingEntries = kTrailingEntries;
  if (origin->mayBootstrap) {
    for (const auto& process : origin->bootstrapMembers) {
      logConfig.initialMembers.push_back({ process, "" });
    }
  }
  CoreConfig coreConfig;
  coreConfig.snapshotIntervalBytes = kSnapshotIntervalBytes;
  coreConfig.promoteLearners = false;
  coreConfig.maxEntriesPerAdvance = kMaxEntriesPerAdvance;
  coreConfig.bootClock = settings_.bootClock;
  coreConfig.clock = settings_.clock;
  auto core = ControlCore::create(
    [folder = folder_.get()](const replication::Ready& ready) { return folder->save(ready); },
    std::move(logConfig),
    std::move(*recoveredState),
    now,
    coreConfig);
  if (!core) {
    return tl::unexpected(core.error());
  }
  core_.emplace(std::move(*core));
  return {};
}

Expected<Origin> ControlNode::readOrCreateOrigin(DataFolder& folder,
                                                 const replication::RecoveredState& recovered) const
{
  auto existingOrigin = folder.readOrigin();
  if (existingOrigin || existingOrigin.error().kind != ErrorKind::notFound) {
    return existingOrigin;
  }
  const bool isNewFolder = recovered.snapshot.meta.index == 0 && recovered.entries.empty() &&
                           recovered.hardState.term == 0;
  Origin origin;
  // An empty folder after a storage failure was lost while the process ran. The process is then a
  // member of an existing group and must not bootstrap another one.
  origin.mayBootstrap = settings_.bootstrap && !storageHasFailed_ && isNewFolder &&
                        contains(settings_.seeds, settings_.self);
  if (origin.mayBootstrap) {
    origin.bootstrapMembers = settings_.seeds;
  }
  if (auto writeResult = folder.writeOrigin(origin); !writeResult) {
    return tl::unexpected(writeResult.error());
  }
  return origin;
}

void ControlNode::handleStorageFailure(Time now, Error error)
{
  if (core_) {
    if (!usesStateBeforeFailure()) {
      indexBeforeFailure_ = core_->appliedIndex();
      membersBeforeFailure_ = core_->members();
      stateBeforeFailure_ = core_->takeState();
    }
    core_.reset();
  }
  folder_.reset();
  pendingJoins_.clear();
  leaderSince_.reset();
  storageHasFailed_ = true;
  const bool isCorrupt = error.kind == ErrorKind::storageCorrupt;
  reopenAt_ = now + (isCorrupt ? timings().corruptReopenInterval : timings().reopenInterval);
  storageError_ = std::move(error);
}

bool ControlNode::usesStateBeforeFailure() const
{
  return stateBeforeFailure_ && (!core_ || core_->appliedIndex() < indexBeforeFailure_);
}

const ledger::ControlState& ControlNode::state() const
{
  static const ledger::ControlState kEmpty;
  if (usesStateBeforeFailure()) {
    return *stateBeforeFailure_;
  }
  return core_ ? core_->state() : kEmpty;
}

std::vector<ledger::RetirementView> ControlNode::takeRetirements()
{
  return core_ ? core_->takeRetirements() : std::vector<ledger::RetirementView>();
}

ProposalCounts ControlNode::takeProposalCounts()
{
  return core_ ? core_->takeProposalCounts() : ProposalCounts();
}

LogWork ControlNode::takeLogWork()
{
  return core_ ? core_->takeLogWork() : LogWork();
}

void ControlNode::addLedgerTime(Time now, Duration time)
{
  if (core_) {
    core_->addLedgerTime(now, time);
  }
}

replication::LogIndex ControlNode::appliedIndex() const
{
  return std::max(indexBeforeFailure_, core_ ? core_->appliedIndex() : 0);
}

std::optional<ProcessId> ControlNode::leaderHint() const
{
  return core_ ? core_->log().leaderHint() : std::nullopt;
}

const replication::Membership& ControlNode::members() const
{
  return core_ ? core_->members() : membersBeforeFailure_;
}

bool ControlNode::hasContactWithin(Time now, Duration window) const
{
  return core_ && (core_->log().hasMajorityContactWithin(now, window) ||
                   core_->log().hasLeaderContactWithin(now, window));
}

bool ControlNode::hasLeaderContact(Time now) const
{
  const auto window = timings().contactTimeout;
  return core_ && (core_->log().hasMajorityContactWithin(now, window) ||
                   core_->log().hasCaughtUpWithin(now, window));
}

void ControlNode::setSeeds(std::vector<ProcessId> seeds)
{
  settings_.seeds = std::move(seeds);
}

std::vector<ProcessId> ControlNode::knownProcesses() const
{
  std::vector<ProcessId> processes;
  for (const auto& member : members().members) {
    processes.push_back(member.id.process);
  }
  for (const auto& seed : settings_.seeds) {
    if (!contains(processes, seed)) {
      processes.push_back(seed);
    }
  }
  std::erase(processes, settings_.self);
  return processes;
}

void ControlNode::receive(Time now,
                          const ProcessId& from,
                          Incarnation incarnation,
                          wire::Channel channel,
                          std::string_view body)
{
  now_ = std::max(now_, now);
  if (channel == wire::Channel::join) {
    if (auto request = wire::decode<JoinRequest>(body)) {
      handleJoinRequest(now_, from, incarnation, std::move(*request));
    }
    return;
  }
  if (channel == wire::Channel::ledger && !localProposals_.empty()) {
    const auto message = wire::decode<ledger::Message>(body);
    if (!message || handleProposeReply(now_, from, *message)) {
      return;
    }
  }
  if (core_ && (channel == wire::Channel::replication || channel == wire::Channel::ledger)) {
    core_->receive(now_, from, incarnation, channel, body);
  }
}

bool ControlNode::handleProposeReply(Time now,
                                     const ProcessId& from,
                                     const ledger::Message& message)
{
  const auto* reply = std::get_if<ledger::ProposeReply>(&message);
  if (reply == nullptr || localProposals_.count(reply->proposalId) == 0) {
    return false;
  }
  if (auto completedProposal = proposer_.receive(now, from, *reply)) {
    auto proposal = localProposals_.extract(completedProposal->proposalId);
    completedProposals_.push_back(
      { std::move(proposal.mapped().callback), std::move(completedProposal->result) });
  }
  return true;
}

void ControlNode::handleJoinRequest(Time now,
                                    const ProcessId& from,
                                    Incarnation incarnation,
                                    JoinRequest request)
{
  if (!core_ || request.process == settings_.self || request.diskId.empty()) {
    return;
  }
  if (!request.forwarded) {
    if (from != request.process) {
      return;
    }
    request.incarnation = incarnation;
  }
  if (core_->isLeader(now)) {
    auto& latestIncarnation = latestJoinIncarnations_[request.process];
    if (request.incarnation >= latestIncarnation) {
      latestIncarnation = request.incarnation;
      pendingJoins_[request.process] = { request.diskId, request.incarnation, now };
      nextMembershipCheckAt_ = std::min(nextMembershipCheckAt_, now);
    }
    return;
  }
  const auto leader = leaderHint();
  if (!request.forwarded && leader && *leader != settings_.self && *leader != request.process) {
    request.forwarded = true;
    outgoing_.push_back({ *leader, wire::Channel::join, wire::encode(request) });
  }
}

void ControlNode::sendJoinRequests(Time now)
{
  if (!core_ || now < nextJoinAt_ || hasContactWithin(now, timings().joinDelay)) {
    return;
  }
  nextJoinAt_ = now + timings().joinInterval;
  const JoinRequest request{ settings_.self, core_->log().diskId(), {}, false };
  const std::string body = wire::encode(request);
  for (const auto& process : knownProcesses()) {
    outgoing_.push_back({ process, wire::Channel::join, body });
  }
}

void ControlNode::proposeLocal(Time now,
                               const ledger::Command& command,
                               Duration timeout,
                               Callback callback)
{
  now_ = std::max(now_, now);
  updateProposer();
  const auto id = proposer_.propose(now_, command);
  localProposals_[id] = { now_ + timeout, std::move(callback) };
}

void ControlNode::updateProposer()
{
  auto targets = knownProcesses();
  if (core_) {
    // The log of this process comes first: its leader hint is usually current, and a proposal to
    // it needs no network message.
    targets.insert(targets.begin(), settings_.self);
  }
  proposer_.setControls(std::move(targets));
  const auto leader = leaderHint();
  if (leader && leader != lastLeaderHint_) {
    proposer_.setLeader(*leader);
  }
  lastLeaderHint_ = leader;
}

void ControlNode::expireProposals(Time now)
{
  for (auto proposal = localProposals_.begin(); proposal != localProposals_.end();) {
    if (now < proposal->second.deadline) {
      ++proposal;
      continue;
    }
    proposer_.abandon(proposal->first);
    completedProposals_.push_back(
      { std::move(proposal->second.callback),
        fail(ErrorKind::noQuorum, "no result from the replicated log in time") });
    proposal = localProposals_.erase(proposal);
  }
}

void ControlNode::tick(Time now)
{
  now_ = std::max(now_, now);
  if (!core_ && now_ >= reopenAt_) {
    open(now_);
  }
  advanceCore(now_);
  proposeNextMembershipChange(now_);
  sendJoinRequests(now_);
  if (!localProposals_.empty()) {
    // First, so that a process that was suspended does not send a proposal again that its operator
    // has given up.
    expireProposals(now_);
    updateProposer();
    proposer_.tick(now_);
  }
  advanceCore(now_);
  runCallbacks();
}

void ControlNode::runCallbacks()
{
  if (appliedIndex() > reportedIndex_) {
    reportedIndex_ = appliedIndex();
    if (!usesStateBeforeFailure()) {
      stateBeforeFailure_.reset();
      indexBeforeFailure_ = 0;
    }
    if (onApplied_) {
      onApplied_();
    }
  }
  // Exchanged first, because a callback may propose another command.
  for (auto& [callback, result] : std::exchange(completedProposals_, {})) {
    callback(std::move(result));
  }
}

void ControlNode::advanceCore(Time now)
{
  for (bool madeProgress = true; madeProgress;) {
    madeProgress = false;
    std::vector<OutgoingMessage> messages;
    if (core_) {
      if (auto advanceResult = core_->advance(now); !advanceResult) {
        handleStorageFailure(now, std::move(advanceResult.error()));
      } else {
        messages = core_->takeOutgoing();
      }
    }
    for (auto& [to, message] : proposer_.takeOutgoing()) {
      messages.push_back({ to, wire::Channel::ledger, wire::encode(message) });
    }
    for (auto& message : messages) {
      if (message.to == settings_.self) {
        madeProgress = deliverToSelf(now, std::move(message)) || madeProgress;
      } else {
        outgoing_.push_back(std::move(message));
      }
    }
  }
}

bool ControlNode::deliverToSelf(Time now, OutgoingMessage message)
{
  const auto decodedMessage = wire::decode<ledger::Message>(message.body);
  if (!decodedMessage || message.channel != wire::Channel::ledger) {
    return false;
  }
  if (std::holds_alternative<ledger::Propose>(*decodedMessage)) {
    if (core_) {
      core_->receive(now, settings_.self, Incarnation{}, message.channel, message.body);
    }
    return core_.has_value();
  }
  if (handleProposeReply(now, settings_.self, *decodedMessage)) {
    return true;
  }
  outgoing_.push_back(std::move(message));
  return false;
}

void ControlNode::proposeNextMembershipChange(Time now)
{
  if (!isLeader(now)) {
    leaderSince_.reset();
    pendingJoins_.clear();
    nextMembershipCheckAt_ = now;
    return;
  }
  if (!leaderSince_) {
    leaderSince_ = now;
  }
  if (now < nextMembershipCheckAt_) {
    return;
  }
  nextMembershipCheckAt_ = now + kMembershipCheckInterval;
  std::erase_if(pendingJoins_, [&](const auto& join) {
    const auto* member = members().find(join.first);
    const bool alreadyMember = member != nullptr && member->id.diskId == join.second.diskId;
    return alreadyMember || now - join.second.receivedAt >= kJoinRequestLifetime;
  });
  if (const auto change = nextMembershipChange(now)) {
    // Rejected while an earlier change is not committed; the next check decides again.
    static_cast<void>(core_->proposeMembershipChange(now, *change));
  }
}

std::optional<MembershipChange> ControlNode::nextMembershipChange(Time now) const
{
  const auto log = core_->log().state();
  const auto contacts = memberContacts(log, now, *leaderSince_, timings().minElectionTimeout);
  const std::size_t voterCount = log.members.voterCount();
  const auto isReadyLearner = [](const MemberContact& contact) {
    return !contact.member.voter && contact.caughtUp;
  };
  const auto readyLearner = std::find_if(contacts.begin(), contacts.end(), isReadyLearner);
  const bool hasReadyLearner = readyLearner != contacts.end();
  bool anyVoterSilent = false;
  for (const auto& contact : contacts) {
    const bool isVoter = contact.member.voter;
    anyVoterSilent =
      anyVoterSilent || (isVoter && contact.silentFor >= timings().minElectionTimeout);
    const auto join = pendingJoins_.find(contact.member.id.process);
    // The process requests to join with a new disk id, so the old disk of the member is lost.
    const bool diskLost = join != pendingJoins_.end() &&
                          join->second.diskId != contact.member.id.diskId &&
                          contact.silentFor >= timings().minElectionTimeout;
    const bool removalImprovesTolerance = voterCount % 2 == 0 || hasReadyLearner;
    const bool isSilentVoter =
      contact.silentFor >= timings().silentVoterTimeout && removalImprovesTolerance;
    const bool isLongSilentVoter =
      contact.silentFor >= timings().silentMemberTimeout && voterCount > 3;
    const bool isRemovable = !isVoter || voterCount > 2;
    const bool shouldRemove =
      diskLost || (isVoter ? isSilentVoter || isLongSilentVoter
                           : contact.silentFor >= timings().silentMemberTimeout);
    if (shouldRemove && isRemovable) {
      return MembershipChange{ MembershipChangeKind::remove, contact.member.id };
    }
  }
  // A learner is not promoted while a voter is silent: the larger majority would need a reply from
  // one more of the reachable voters. With four voters, one of them down, the loss of another one
  // would stop the group.
  if (hasReadyLearner && !anyVoterSilent) {
    return MembershipChange{ MembershipChangeKind::promote, readyLearner->member.id };
  }
  for (const auto& [process, join] : pendingJoins_) {
    if (log.members.find(process) == nullptr && log.members.members.size() < kMaxMembers) {
      return MembershipChange{ MembershipChangeKind::addLearner, { process, join.diskId } };
    }
  }
  return std::nullopt;
}

Time ControlNode::nextTick() const
{
  if (hasBacklog()) {
    return now_;
  }
  Time nextTickAt = reopenAt_;
  if (core_) {
    nextTickAt = core_->log().nextDeadline();
    if (const auto appendDueAt = core_->appendDueAt()) {
      nextTickAt = std::min(nextTickAt, *appendDueAt);
    }
    if (leaderSince_) {
      nextTickAt = std::min(nextTickAt, nextMembershipCheckAt_);
    } else if (!hasContactWithin(now_, timings().joinDelay)) {
      nextTickAt = std::min(nextTickAt, nextJoinAt_);
    }
  }
  if (!localProposals_.empty()) {
    nextTickAt = std::min(nextTickAt, now_ + kProposerTickInterval);
  }
  return nextTickAt;
}

} // namespace figchute::control
