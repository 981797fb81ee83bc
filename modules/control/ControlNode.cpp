#include "control/ControlNode.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::control {
namespace {

using replication::MembershipChange;
using replication::MembershipChangeKind;

/** Configurations are large, and the entries behind a snapshot stay in memory. */
constexpr replication::LogIndex kTrailingEntries = 8;
constexpr std::uint64_t kSnapshotBytes = 4UL * 1024 * 1024;
/** The leader looks for membership changes this often. */
constexpr Duration kChangeInterval = std::chrono::milliseconds(200);
/** A request to join that is not repeated for this long is forgotten. */
constexpr Duration kJoinExpires = std::chrono::milliseconds(1500);
/** Proposer::tick() is called this often while a proposal waits. */
constexpr Duration kProposerInterval = std::chrono::milliseconds(50);
/** Bounds the members that a wrong configuration of many processes can add. */
constexpr std::size_t kMaxMembers = 9;

/** The proposal ids of a node start at a random number with the highest bit set, so that they
    differ from those of earlier starts and of other proposers of the process. */
std::uint64_t idBaseOf(Random& random)
{
  return (random.next() >> 1U << 20U) | 1ULL << 63U;
}

bool contains(const std::vector<ProcessId>& processes, const ProcessId& process)
{
  return std::find(processes.begin(), processes.end(), process) != processes.end();
}

OpenDataFolder openFileDisk(std::string folder)
{
  return [folder = std::move(folder)]() -> Expected<std::unique_ptr<DataFolder>> {
    auto disk = replication::FileDisk::open(folder);
    if (!disk) {
      return tl::unexpected(disk.error());
    }
    auto shared = std::make_shared<replication::FileDisk>(std::move(*disk));
    return std::make_unique<DiskDataFolder<replication::FileDisk>>(std::move(shared));
  };
}

/** What the leader knows of the other members at one moment. */
struct MemberSilence
{
  replication::Member member;
  Duration silent{ 0 };
  bool caughtUp = false;
};

std::vector<MemberSilence> silences(const replication::LogState& log,
                                    Time now,
                                    Time leaderSince,
                                    Duration electionMin)
{
  std::vector<MemberSilence> result;
  for (const auto& progress : log.progress) {
    const auto* member = log.members.find(progress.id.process);
    if (member == nullptr) {
      continue;
    }
    MemberSilence silence;
    silence.member = *member;
    // A new leader gives every member the whole time, because it has not asked before.
    silence.silent = now - std::max(progress.heardAt, leaderSince);
    silence.caughtUp = !progress.id.diskId.empty() && progress.matched >= log.commitIndex &&
                       now - progress.heardAt < electionMin;
    result.push_back(std::move(silence));
  }
  std::sort(
    result.begin(), result.end(), [](const auto& a, const auto& b) { return a.silent > b.silent; });
  return result;
}

} // namespace

ControlNode::ControlNode(ControlNodeSettings settings, Time now)
  : settings_(std::move(settings))
  , random_(settings_.seed)
  , now_(now)
  , proposer_(idBaseOf(random_))
  , nextJoinAt_(now)
{
  if (!settings_.openDataFolder) {
    settings_.openDataFolder = openFileDisk(settings_.dataFolder);
  }
  open(now);
  notifiedIndex_ = appliedIndex();
}

void ControlNode::open(Time now)
{
  if (auto opened = tryOpen(now); !opened) {
    failStorage(now, std::move(opened.error()));
    return;
  }
  storageError_.reset();
}

Expected<void> ControlNode::tryOpen(Time now)
{
  auto opened = settings_.openDataFolder();
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  folder_ = std::move(*opened);
  auto recovered = folder_->recover(fmt::format("{:016x}{:016x}", random_.next(), random_.next()));
  if (!recovered) {
    return tl::unexpected(recovered.error());
  }
  const auto origin = originOf(*folder_, *recovered);
  if (!origin) {
    return tl::unexpected(origin.error());
  }
  replication::LogConfig log;
  log.self = settings_.self;
  log.seed = random_.next();
  log.heartbeat = timings().heartbeat;
  log.electionMin = timings().electionMin;
  log.electionMax = timings().electionMax;
  log.trailingEntries = kTrailingEntries;
  if (origin->founder) {
    for (const auto& founder : origin->founders) {
      log.initialMembers.push_back({ founder, "" });
    }
  }
  CoreConfig config;
  config.snapshotBytes = kSnapshotBytes;
  config.promoteLearners = false;
  auto core = ControlCore::create(
    [folder = folder_.get()](const replication::Ready& ready) { return folder->save(ready); },
    std::move(log),
    std::move(*recovered),
    now,
    config);
  if (!core) {
    return tl::unexpected(core.error());
  }
  core_.emplace(std::move(*core));
  return {};
}

Expected<Origin> ControlNode::originOf(DataFolder& folder,
                                       const replication::RecoveredState& recovered) const
{
  auto recorded = folder.readOrigin();
  if (recorded || recorded.error().kind != ErrorKind::notFound) {
    return recorded;
  }
  const bool empty = recovered.snapshot.meta.index == 0 && recovered.entries.empty() &&
                     recovered.hardState.term == 0;
  Origin origin;
  // A folder that was lost while the process ran belongs to a member of an existing group.
  origin.founder =
    settings_.bootstrap && !failedBefore_ && empty && contains(settings_.seeds, settings_.self);
  if (origin.founder) {
    origin.founders = settings_.seeds;
  }
  if (auto written = folder.writeOrigin(origin); !written) {
    return tl::unexpected(written.error());
  }
  return origin;
}

void ControlNode::failStorage(Time now, Error error)
{
  if (core_) {
    if (!servesKeptState()) {
      keptIndex_ = core_->appliedIndex();
      keptMembers_ = core_->members();
      keptState_ = core_->takeState();
    }
    core_.reset();
  }
  folder_.reset();
  joins_.clear();
  leaderSince_.reset();
  failedBefore_ = true;
  const bool corrupt = error.kind == ErrorKind::storageCorrupt;
  retryAt_ = now + (corrupt ? timings().corruptInterval : timings().recoverInterval);
  storageError_ = std::move(error);
}

bool ControlNode::servesKeptState() const
{
  return keptState_ && (!core_ || core_->appliedIndex() < keptIndex_);
}

const ledger::ControlState& ControlNode::state() const
{
  static const ledger::ControlState kEmpty;
  if (servesKeptState()) {
    return *keptState_;
  }
  return core_ ? core_->state() : kEmpty;
}

std::vector<ledger::RetirementView> ControlNode::takeRetirements()
{
  return core_ ? core_->takeRetirements() : std::vector<ledger::RetirementView>();
}

replication::LogIndex ControlNode::appliedIndex() const
{
  return std::max(keptIndex_, core_ ? core_->appliedIndex() : 0);
}

std::optional<ProcessId> ControlNode::leaderHint() const
{
  return core_ ? core_->log().leaderHint() : std::nullopt;
}

const replication::Membership& ControlNode::members() const
{
  return core_ ? core_->members() : keptMembers_;
}

bool ControlNode::hasContact(Time now, Duration window) const
{
  return core_ && (core_->log().heardMajorityWithin(now, window) ||
                   core_->log().heardLeaderWithin(now, window));
}

bool ControlNode::hasLeaderContact(Time now) const
{
  const auto window = timings().contact;
  return core_ && (core_->log().heardMajorityWithin(now, window) ||
                   core_->log().caughtUpWithin(now, window));
}

void ControlNode::setSeeds(std::vector<ProcessId> seeds)
{
  settings_.seeds = std::move(seeds);
}

std::vector<ProcessId> ControlNode::knownProcesses() const
{
  std::vector<ProcessId> known;
  for (const auto& member : members().members) {
    known.push_back(member.id.process);
  }
  for (const auto& seed : settings_.seeds) {
    if (!contains(known, seed)) {
      known.push_back(seed);
    }
  }
  std::erase(known, settings_.self);
  return known;
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
      receiveJoin(now_, from, incarnation, std::move(*request));
    }
    return;
  }
  if (channel == wire::Channel::ledger && !waiting_.empty()) {
    const auto message = wire::decode<ledger::Message>(body);
    if (!message || receiveReply(now_, from, *message)) {
      return;
    }
  }
  if (core_ && (channel == wire::Channel::replication || channel == wire::Channel::ledger)) {
    core_->receive(now_, from, incarnation, channel, body);
  }
}

bool ControlNode::receiveReply(Time now, const ProcessId& from, const ledger::Message& message)
{
  const auto* reply = std::get_if<ledger::ProposeReply>(&message);
  if (reply == nullptr || waiting_.count(reply->proposalId) == 0) {
    return false;
  }
  if (auto answered = proposer_.receive(now, from, *reply)) {
    auto waiting = waiting_.extract(answered->proposalId);
    finished_.push_back({ std::move(waiting.mapped().callback), std::move(answered->result) });
  }
  return true;
}

void ControlNode::receiveJoin(Time now,
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
    auto& latest = latestJoin_[request.process];
    if (request.incarnation >= latest) {
      latest = request.incarnation;
      joins_[request.process] = { request.diskId, request.incarnation, now };
      nextChangeAt_ = std::min(nextChangeAt_, now);
    }
    return;
  }
  const auto leader = leaderHint();
  if (!request.forwarded && leader && *leader != settings_.self && *leader != request.process) {
    request.forwarded = true;
    outgoing_.push_back({ *leader, wire::Channel::join, wire::encode(request) });
  }
}

void ControlNode::sendJoin(Time now)
{
  if (!core_ || now < nextJoinAt_ || hasContact(now, timings().joinAfter)) {
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
  updateControls();
  const auto id = proposer_.propose(now_, command);
  waiting_[id] = { now_ + timeout, std::move(callback) };
}

void ControlNode::updateControls()
{
  auto controls = knownProcesses();
  if (core_) {
    // This process's own log knows the leader best; asking it costs no message.
    controls.insert(controls.begin(), settings_.self);
  }
  proposer_.setControls(std::move(controls));
  const auto leader = leaderHint();
  if (leader && leader != proposerLeader_) {
    proposer_.setLeader(*leader);
  }
  proposerLeader_ = leader;
}

void ControlNode::expireProposals(Time now)
{
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (now < at->second.deadline) {
      ++at;
      continue;
    }
    proposer_.abandon(at->first);
    finished_.push_back({ std::move(at->second.callback),
                          fail(ErrorKind::noQuorum, "the log did not answer in time") });
    at = waiting_.erase(at);
  }
}

void ControlNode::tick(Time now)
{
  now_ = std::max(now_, now);
  if (!core_ && now_ >= retryAt_) {
    open(now_);
  }
  settle(now_);
  changeMembers(now_);
  sendJoin(now_);
  if (!waiting_.empty()) {
    updateControls();
    proposer_.tick(now_);
    expireProposals(now_);
  }
  settle(now_);
  notify();
}

void ControlNode::notify()
{
  if (appliedIndex() > notifiedIndex_) {
    notifiedIndex_ = appliedIndex();
    if (!servesKeptState()) {
      keptState_.reset();
      keptIndex_ = 0;
    }
    if (onApplied_) {
      onApplied_();
    }
  }
  // A callback may propose the next command.
  for (auto& [callback, result] : std::exchange(finished_, {})) {
    callback(std::move(result));
  }
}

void ControlNode::settle(Time now)
{
  for (bool again = true; again;) {
    again = false;
    std::vector<Outgoing> messages;
    if (core_) {
      if (auto settled = core_->settle(now); !settled) {
        failStorage(now, std::move(settled.error()));
      } else {
        messages = core_->takeOutgoing();
      }
    }
    for (auto& [to, message] : proposer_.takeOutgoing()) {
      messages.push_back({ to, wire::Channel::ledger, wire::encode(message) });
    }
    for (auto& message : messages) {
      if (message.to == settings_.self) {
        again = deliverOwn(now, std::move(message)) || again;
      } else {
        outgoing_.push_back(std::move(message));
      }
    }
  }
}

bool ControlNode::deliverOwn(Time now, Outgoing message)
{
  const auto decoded = wire::decode<ledger::Message>(message.body);
  if (!decoded || message.channel != wire::Channel::ledger) {
    return false;
  }
  if (std::holds_alternative<ledger::Propose>(*decoded)) {
    if (core_) {
      core_->receive(now, settings_.self, Incarnation{}, message.channel, message.body);
    }
    return core_.has_value();
  }
  if (receiveReply(now, settings_.self, *decoded)) {
    return true;
  }
  outgoing_.push_back(std::move(message));
  return false;
}

void ControlNode::changeMembers(Time now)
{
  if (!isLeader(now)) {
    leaderSince_.reset();
    joins_.clear();
    nextChangeAt_ = now;
    return;
  }
  if (!leaderSince_) {
    leaderSince_ = now;
  }
  if (now < nextChangeAt_) {
    return;
  }
  nextChangeAt_ = now + kChangeInterval;
  std::erase_if(joins_, [&](const auto& join) {
    const auto* member = members().find(join.first);
    const bool done = member != nullptr && member->id.diskId == join.second.diskId;
    return done || now - join.second.receivedAt >= kJoinExpires;
  });
  if (const auto change = nextChange(now)) {
    // Refused while an earlier change is not committed; decided anew at the next look.
    static_cast<void>(core_->changeMembers(now, *change));
  }
}

std::optional<MembershipChange> ControlNode::nextChange(Time now) const
{
  const auto log = core_->log().state();
  const auto others = silences(log, now, *leaderSince_, timings().electionMin);
  const std::size_t voters = log.members.voterCount();
  const auto isReady = [](const MemberSilence& other) {
    return !other.member.voter && other.caughtUp;
  };
  const auto learner = std::find_if(others.begin(), others.end(), isReady);
  const bool replacement = learner != others.end();
  bool voterSilent = false;
  for (const auto& other : others) {
    const bool voter = other.member.voter;
    voterSilent = voterSilent || (voter && other.silent >= timings().electionMin);
    const auto join = joins_.find(other.member.id.process);
    const bool diskLost = join != joins_.end() && join->second.diskId != other.member.id.diskId &&
                          other.silent >= timings().electionMin;
    const bool improves = voters % 2 == 0 || replacement;
    const bool silent = other.silent >= timings().silentVoter && improves;
    const bool longSilent = other.silent >= timings().silentMember && voters > 3;
    const bool allowed = !voter || voters > 2;
    const bool remove =
      diskLost || (voter ? silent || longSilent : other.silent >= timings().silentMember);
    if (remove && allowed) {
      return MembershipChange{ MembershipChangeKind::remove, other.member.id };
    }
  }
  // With a silent voter, one voter more would need an answer of one more of the others.
  if (replacement && !voterSilent) {
    return MembershipChange{ MembershipChangeKind::promote, learner->member.id };
  }
  for (const auto& [process, join] : joins_) {
    if (log.members.find(process) == nullptr && log.members.members.size() < kMaxMembers) {
      return MembershipChange{ MembershipChangeKind::addLearner, { process, join.diskId } };
    }
  }
  return std::nullopt;
}

Time ControlNode::nextTick() const
{
  Time next = retryAt_;
  if (core_) {
    next = core_->log().nextDeadline();
    if (leaderSince_) {
      next = std::min(next, nextChangeAt_);
    } else if (!hasContact(now_, timings().joinAfter)) {
      next = std::min(next, nextJoinAt_);
    }
  }
  if (!waiting_.empty()) {
    next = std::min(next, now_ + kProposerInterval);
  }
  return next;
}

} // namespace figchute::control
