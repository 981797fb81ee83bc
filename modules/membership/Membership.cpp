#include "membership/Membership.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace figchute::membership {
namespace {

/** Heartbeats that repeat a statement, so that the loss of some does not stop it. */
constexpr std::uint32_t kSendsPerStatement = 4;

/** A statement that changed is passed on after this time instead of a whole interval: the tree of
    60 VMs is 10 links across. */
constexpr Duration kForwardDelay = std::chrono::milliseconds(50);

/** Views differ for a moment after each change; only a lasting difference needs a full view. */
constexpr Duration kViewPatience = std::chrono::milliseconds(1500);

constexpr Duration kProbeInterval = std::chrono::seconds(1);

auto precedence(const MemberUpdate& update)
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
  const auto add = [this](const MemberUpdate& statement) {
    Member member;
    member.statement = statement;
    if (members_.emplace(statement.id, member).second) {
      view_ ^= fingerprintOfStatement(statement);
    }
  };
  add({ options_.self, options_.zone, options_.incarnation, 0, MemberState::alive });
  for (const auto& peer : known) {
    add({ peer.id, peer.zone, Incarnation{}, 0, MemberState::alive });
  }
}

void Membership::start(Time now)
{
  if (!started_) {
    started_ = true;
    refreshLinks(now);
  }
}

void Membership::tick(Time now)
{
  start(now);
  checkSilence(now);
  refreshLinks(now);
  if (now >= nextHeartbeat_) {
    sendHeartbeats(now);
  }
  if (now >= nextProbe_) {
    nextProbe_ = now + kProbeInterval;
    probe(now);
  }
}

void Membership::receive(Time now, const ProcessId& from, const Message& message)
{
  start(now);
  std::visit([&](const auto& body) { handle(now, from, body); }, message);
  refreshLinks(now);
}

void Membership::handle(Time now, const ProcessId& from, const Heartbeat& heartbeat)
{
  const auto known = members_.find(from);
  const bool stale =
    known != members_.end() && heartbeat.self.incarnation < known->second.statement.incarnation;
  if (stale || from == options_.self || heartbeat.self.id != from) {
    return;
  }
  const bool wasAlive = known != members_.end() && isAlive(known->second.statement);
  apply(now, heartbeat.self);
  for (const auto& update : heartbeat.updates) {
    apply(now, update);
  }
  auto& sender = members_.at(from);
  sender.lastHeard = now;
  if (!isAlive(sender.statement)) {
    Heartbeat answer = makeHeartbeat();
    answer.updates.push_back(sender.statement);
    outgoing_.push_back({ from, std::move(answer) });
  } else if (!wasAlive) {
    outgoing_.push_back({ from, FullView{ statements(), true } });
  }
  compareViews(now, sender, heartbeat.view);
}

void Membership::compareViews(Time now, Member& sender, std::uint32_t view)
{
  if (view == static_cast<std::uint32_t>(view_)) {
    sender.differsSince = Time{};
  } else if (sender.differsSince == Time{}) {
    sender.differsSince = now;
  } else if (now - sender.differsSince >= kViewPatience) {
    sender.differsSince = now;
    outgoing_.push_back({ sender.statement.id, FullView{ statements(), true } });
  }
}

void Membership::handle(Time now, const ProcessId& from, const FullView& view)
{
  for (const auto& update : view.members) {
    apply(now, update);
  }
  const auto sender = members_.find(from);
  if (sender != members_.end()) {
    sender->second.lastHeard = now;
  }
  if (view.wantsReply) {
    outgoing_.push_back({ from, FullView{ statements(), false } });
  }
}

bool Membership::apply(Time now, const MemberUpdate& update)
{
  if (update.id == options_.self) {
    refute(now, update);
    return false;
  }
  auto [entry, added] = members_.try_emplace(update.id);
  auto& member = entry->second;
  if (added) {
    member.statement = update;
    member.linkedSince = now;
    view_ ^= fingerprintOfStatement(update);
  } else if (precedence(update) > precedence(member.statement)) {
    replace(now, member, update);
  } else {
    return false;
  }
  member.sendsLeft = kSendsPerStatement;
  nextHeartbeat_ = std::min(nextHeartbeat_, now + kForwardDelay);
  return true;
}

void Membership::replace(Time now, Member& member, const MemberUpdate& update)
{
  view_ ^= fingerprintOfStatement(member.statement);
  const ZoneId zone = update.zone.empty() ? member.statement.zone : update.zone;
  member.statement = update;
  member.statement.zone = zone;
  view_ ^= fingerprintOfStatement(member.statement);
  if (update.state == MemberState::suspect) {
    member.suspectSince = now;
  }
}

void Membership::refute(Time now, const MemberUpdate& update)
{
  auto& own = self();
  const bool doubted = !isAlive(update) && update.incarnation == options_.incarnation &&
                       update.version >= own.statement.version;
  if (!doubted) {
    return;
  }
  MemberUpdate answer = own.statement;
  answer.version = update.version + 1;
  replace(now, own, answer);
  own.sendsLeft = kSendsPerStatement;
  nextHeartbeat_ = std::min(nextHeartbeat_, now + kForwardDelay);
}

void Membership::checkSilence(Time now)
{
  const auto demote = [&](Member& member, MemberState state) {
    MemberUpdate update = member.statement;
    update.state = state;
    apply(now, update);
  };
  for (const auto& link : links_) {
    auto& member = members_.at(link);
    const Time last = std::max(member.lastHeard, member.linkedSince);
    if (isAlive(member.statement) && now - last >= kSuspectAfter) {
      demote(member, MemberState::suspect);
    }
  }
  for (auto& [id, member] : members_) {
    const bool suspect = member.statement.state == MemberState::suspect;
    if (suspect && now - member.suspectSince >= kDeadAfter) {
      demote(member, MemberState::dead);
    }
  }
}

void Membership::refreshLinks(Time now)
{
  if (view_ == linksView_) {
    return;
  }
  linksView_ = view_;
  auto next = targets(now);
  for (const auto& id : next) {
    if (std::find(links_.begin(), links_.end(), id) == links_.end()) {
      members_.at(id).linkedSince = now;
    }
  }
  links_ = std::move(next);
}

Heartbeat Membership::makeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.self = members_.at(options_.self).statement;
  heartbeat.view = static_cast<std::uint32_t>(view_);
  return heartbeat;
}

void Membership::sendHeartbeats(Time now)
{
  nextHeartbeat_ = now + kHeartbeatInterval;
  Heartbeat heartbeat = makeHeartbeat();
  for (auto& [id, member] : members_) {
    if (member.sendsLeft > 0 && id != options_.self) {
      --member.sendsLeft;
      heartbeat.updates.push_back(member.statement);
    }
  }
  for (const auto& link : links_) {
    outgoing_.push_back({ link, heartbeat });
  }
}

void Membership::probe(Time /*now*/)
{
  std::vector<ProcessId> silent;
  for (const auto& [id, member] : members_) {
    const bool reachable = isRelay() || member.statement.zone == options_.zone;
    if (!isAlive(member.statement) && reachable) {
      silent.push_back(id);
    }
  }
  if (silent.empty()) {
    return;
  }
  const auto& id = silent[random_.below(silent.size())];
  Heartbeat heartbeat = makeHeartbeat();
  heartbeat.updates.push_back(members_.at(id).statement);
  outgoing_.push_back({ id, std::move(heartbeat) });
}

std::vector<Outgoing> Membership::takeOutgoing()
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
  const auto place = static_cast<std::size_t>(self - zone.begin());
  std::vector<ProcessId> result;
  if (place > 0) {
    result.push_back(zone[(place - 1) / 2]);
  }
  for (const auto child : { 2 * place + 1, 2 * place + 2 }) {
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
