#include "membership/Membership.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace figchute::membership {
namespace {

/** Number of heartbeats that carry a changed statement, so that it spreads despite lost heartbeats.
 */
constexpr std::uint32_t kSendsPerStatement = 4;

/** A changed statement is forwarded after this delay instead of a whole heartbeat interval, because
 * it crosses up to 10 links in the tree of 60 VMs. */
constexpr Duration kForwardDelay = std::chrono::milliseconds(50);

/** Views differ briefly after each change; a full view is sent only after they have differed for
 * this long. */
constexpr Duration kMinViewDifferenceTime = std::chrono::milliseconds(1500);

constexpr Duration kProbeInterval = std::chrono::seconds(1);

auto precedenceOf(const MemberUpdate& update)
{
  return std::tuple(update.incarnation, update.version, update.state);
}

std::uint64_t fingerprintOfStatement(const MemberUpdate& update)
{
  const std::string text = update.id.value + "/" + std::to_string(update.incarnation.number) + "/" +
                           std::to_string(update.version) + "/" +
                           std::to_string(static_cast<int>(update.state));
  return fingerprintOf(text);
}

bool isAlive(const MemberUpdate& update)
{
  return update.state == MemberState::alive;
}

} // namespace

Membership::Membership(MembershipOptions options, std::span<const KnownPeer> known)
  : options_(std::move(options))
  , random_(options_.seed)
{
  const auto addMember = [this](const MemberUpdate& statement) {
    Member member;
    member.statement = statement;
    if (members_.emplace(statement.id, member).second) {
      viewFingerprint_ ^= fingerprintOfStatement(statement);
    }
  };
  addMember({ options_.self, options_.zone, options_.incarnation, 0, MemberState::alive });
  for (const auto& peer : known) {
    addMember({ peer.id, peer.zone, Incarnation{}, 0, MemberState::alive });
  }
}

void Membership::startOnce(Time now)
{
  if (!started_) {
    started_ = true;
    refreshTargets(now);
  }
}

void Membership::tick(Time now)
{
  startOnce(now);
  detectSilentMembers(now);
  refreshTargets(now);
  if (now >= nextHeartbeat_) {
    sendHeartbeats(now);
  }
  if (now >= nextProbe_) {
    nextProbe_ = now + kProbeInterval;
    probeRandomMember(now);
  }
}

void Membership::receive(Time now, const ProcessId& from, const Message& message)
{
  startOnce(now);
  std::visit([&](const auto& body) { handleMessage(now, from, body); }, message);
  refreshTargets(now);
}

void Membership::handleMessage(Time now, const ProcessId& from, const Heartbeat& heartbeat)
{
  const auto senderEntry = members_.find(from);
  const bool isStale = senderEntry != members_.end() &&
                       heartbeat.self.incarnation < senderEntry->second.statement.incarnation;
  if (isStale || from == options_.self || heartbeat.self.id != from) {
    return;
  }
  const bool wasAlive = senderEntry != members_.end() && isAlive(senderEntry->second.statement);
  applyUpdate(now, heartbeat.self);
  for (const auto& update : heartbeat.updates) {
    applyUpdate(now, update);
  }
  auto& sender = members_.at(from);
  sender.lastHeardAt = now;
  if (!isAlive(sender.statement)) {
    Heartbeat reply = makeHeartbeat();
    reply.updates.push_back(sender.statement);
    outgoing_.push_back({ from, std::move(reply) });
  } else if (!wasAlive) {
    outgoing_.push_back({ from, FullView{ statements(), true } });
  }
  compareFingerprints(now, sender, heartbeat.view);
}

void Membership::compareFingerprints(Time now, Member& sender, std::uint32_t view)
{
  if (view == static_cast<std::uint32_t>(viewFingerprint_)) {
    sender.viewDiffersSince = Time{};
    return;
  }
  const bool persistent =
    sender.viewDiffersSince != Time{} && now - sender.viewDiffersSince >= kMinViewDifferenceTime;
  if (persistent) {
    outgoing_.push_back({ sender.statement.id, FullView{ statements(), true } });
  }
  if (persistent || sender.viewDiffersSince == Time{}) {
    sender.viewDiffersSince = now;
  }
}

void Membership::handleMessage(Time now, const ProcessId& from, const FullView& view)
{
  for (const auto& update : view.members) {
    applyUpdate(now, update);
  }
  const auto sender = members_.find(from);
  if (sender != members_.end()) {
    sender->second.lastHeardAt = now;
  }
  if (view.wantsReply) {
    outgoing_.push_back({ from, FullView{ statements(), false } });
  }
}

void Membership::applyUpdate(Time now, const MemberUpdate& update)
{
  if (update.id == options_.self) {
    refuteSuspicion(now, update);
    return;
  }
  auto [entry, added] = members_.try_emplace(update.id);
  auto& member = entry->second;
  if (added) {
    member.statement = update;
    member.targetSince = now;
    viewFingerprint_ ^= fingerprintOfStatement(update);
  } else if (precedenceOf(update) > precedenceOf(member.statement)) {
    replaceStatement(now, member, update);
  } else {
    return;
  }
  member.remainingSends = kSendsPerStatement;
  nextHeartbeat_ = std::min(nextHeartbeat_, now + kForwardDelay);
}

void Membership::replaceStatement(Time now, Member& member, const MemberUpdate& update)
{
  viewFingerprint_ ^= fingerprintOfStatement(member.statement);
  const ZoneId zone = update.zone.empty() ? member.statement.zone : update.zone;
  member.statement = update;
  member.statement.zone = zone;
  viewFingerprint_ ^= fingerprintOfStatement(member.statement);
  if (update.state == MemberState::suspect) {
    member.suspectSince = now;
  }
}

void Membership::refuteSuspicion(Time now, const MemberUpdate& update)
{
  auto& selfMember = self();
  const bool isSuspected = !isAlive(update) && update.incarnation == options_.incarnation &&
                           update.version >= selfMember.statement.version;
  if (!isSuspected) {
    return;
  }
  MemberUpdate reply = selfMember.statement;
  reply.version = update.version + 1;
  replaceStatement(now, selfMember, reply);
  selfMember.remainingSends = kSendsPerStatement;
  nextHeartbeat_ = std::min(nextHeartbeat_, now + kForwardDelay);
}

void Membership::detectSilentMembers(Time now)
{
  const auto changeState = [&](Member& member, MemberState state) {
    MemberUpdate update = member.statement;
    update.state = state;
    applyUpdate(now, update);
  };
  for (const auto& target : targets_) {
    auto& member = members_.at(target);
    const Time lastContact = std::max(member.lastHeardAt, member.targetSince);
    if (isAlive(member.statement) && now - lastContact >= kSuspectAfter) {
      changeState(member, MemberState::suspect);
    }
  }
  for (auto& [id, member] : members_) {
    const bool suspect = member.statement.state == MemberState::suspect;
    if (suspect && now - member.suspectSince >= kDeadAfter) {
      changeState(member, MemberState::dead);
    }
  }
}

void Membership::refreshTargets(Time now)
{
  if (viewFingerprint_ == targetsFingerprint_) {
    return;
  }
  targetsFingerprint_ = viewFingerprint_;
  auto next = targets(now);
  for (const auto& id : next) {
    if (std::find(targets_.begin(), targets_.end(), id) == targets_.end()) {
      members_.at(id).targetSince = now;
    }
  }
  targets_ = std::move(next);
}

Heartbeat Membership::makeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.self = members_.at(options_.self).statement;
  heartbeat.view = static_cast<std::uint32_t>(viewFingerprint_);
  return heartbeat;
}

void Membership::sendHeartbeats(Time now)
{
  nextHeartbeat_ = now + kHeartbeatInterval;
  Heartbeat heartbeat = makeHeartbeat();
  for (auto& [id, member] : members_) {
    if (member.remainingSends > 0 && id != options_.self) {
      --member.remainingSends;
      heartbeat.updates.push_back(member.statement);
    }
  }
  for (const auto& target : targets_) {
    outgoing_.push_back({ target, heartbeat });
  }
}

void Membership::probeRandomMember(Time /*now*/)
{
  std::vector<ProcessId> notAlive;
  for (const auto& [id, member] : members_) {
    const bool reachable = isRelay() || member.statement.zone == options_.zone;
    if (!isAlive(member.statement) && reachable) {
      notAlive.push_back(id);
    }
  }
  if (notAlive.empty()) {
    return;
  }
  const auto& id = notAlive[random_.below(notAlive.size())];
  Heartbeat heartbeat = makeHeartbeat();
  heartbeat.updates.push_back(members_.at(id).statement);
  outgoing_.push_back({ id, std::move(heartbeat) });
}

std::vector<OutgoingMessage> Membership::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::vector<ProcessId> Membership::liveInZone() const
{
  std::vector<ProcessId> result;
  for (const auto& [id, member] : members_) {
    if (isAlive(member.statement) && member.statement.zone == options_.zone) {
      result.push_back(id);
    }
  }
  return result;
}

std::vector<ProcessId> Membership::live() const
{
  std::vector<ProcessId> result;
  for (const auto& [id, member] : members_) {
    if (isAlive(member.statement)) {
      result.push_back(id);
    }
  }
  return result;
}

std::optional<ProcessId> Membership::relayOf(const ZoneId& zone) const
{
  for (const auto& [id, member] : members_) {
    if (isAlive(member.statement) && member.statement.zone == zone) {
      return id;
    }
  }
  return std::nullopt;
}

bool Membership::isRelay() const
{
  return relayOf(options_.zone) == options_.self;
}

std::vector<ProcessId> Membership::neighbours() const
{
  const auto zone = liveInZone();
  const auto self = std::find(zone.begin(), zone.end(), options_.self);
  const auto index = static_cast<std::size_t>(self - zone.begin());
  std::vector<ProcessId> result;
  if (index > 0) {
    result.push_back(zone[(index - 1) / 2]);
  }
  for (const auto child : { 2 * index + 1, 2 * index + 2 }) {
    if (child < zone.size()) {
      result.push_back(zone[child]);
    }
  }
  return result;
}

std::vector<ProcessId> Membership::otherRelays() const
{
  std::vector<ProcessId> result;
  if (!isRelay()) {
    return result;
  }
  std::map<ZoneId, ProcessId> relays;
  for (const auto& [id, member] : members_) {
    if (isAlive(member.statement) && member.statement.zone != options_.zone) {
      relays.try_emplace(member.statement.zone, id);
    }
  }
  for (const auto& [zone, relay] : relays) {
    result.push_back(relay);
  }
  return result;
}

std::vector<ProcessId> Membership::targets(Time /*now*/) const
{
  auto result = neighbours();
  const auto relays = otherRelays();
  result.insert(result.end(), relays.begin(), relays.end());
  return result;
}

routing::Peers Membership::peers() const
{
  const auto zone = liveInZone();
  const auto self = std::find(zone.begin(), zone.end(), options_.self);
  routing::Peers peers;
  peers.neighbours = neighbours();
  peers.relays = otherRelays();
  peers.liveVms = static_cast<std::uint32_t>(live().size());
  peers.zoneVms = static_cast<std::uint32_t>(zone.size());
  peers.zoneIndex = static_cast<std::uint32_t>(self - zone.begin());
  return peers;
}

std::vector<MemberUpdate> Membership::statements() const
{
  std::vector<MemberUpdate> result;
  result.reserve(members_.size());
  for (const auto& [id, member] : members_) {
    result.push_back(member.statement);
  }
  return result;
}

std::vector<MemberView> Membership::members() const
{
  std::vector<MemberView> result;
  result.reserve(members_.size());
  for (const auto& [id, member] : members_) {
    const auto& statement = member.statement;
    result.push_back({ id, statement.zone, statement.incarnation, statement.state });
  }
  return result;
}

} // namespace figchute::membership
