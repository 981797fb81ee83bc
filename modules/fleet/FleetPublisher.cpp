#include "fleet/FleetPublisher.h"

#include <algorithm>

namespace figchute::fleet {

FleetPublisher::FleetPublisher(ProcessId self, const FleetState& state, AnnouncementDesk& desk)
  : self_(std::move(self))
  , state_(&state)
  , desk_(&desk)
{
}

void FleetPublisher::receive(Time now, const ProcessId& from, const Message& message)
{
  std::visit([&](const auto& typed) { handle(now, from, typed); }, message);
}

void FleetPublisher::handle(Time now, const ProcessId& from, const Subscribe& message)
{
  auto& subscriber = subscribers_[from];
  if (message.incarnation < subscriber.incarnation) {
    return;
  }
  if (message.incarnation > subscriber.incarnation) {
    subscriber = {};
  }
  subscriber.incarnation = message.incarnation;
  subscriber.zone = message.zone;
  subscriber.entriesDigest = message.entriesDigest;
  const bool crossed = message.configurationVersion < subscriber.configurationVersion &&
                       now - subscriber.configurationSent < kConfigurationInFlight;
  if (!crossed) {
    subscriber.configurationVersion = message.configurationVersion;
  }
  subscriber.endpointRevision = message.endpointRevision;
  subscriber.lastHeard = now;
  bool increased = false;
  for (const auto& crash : message.crashes) {
    increased |= count(now, { from, message.incarnation }, crash, true);
  }
  if (increased) {
    sendToAll(now);
    // The subscribers of the other control processes learn of a crash without waiting for a batch
    // that is due.
    sendBatches(now);
  } else {
    send(now, from, subscriber);
  }
}

void FleetPublisher::handle(Time /*now*/, const ProcessId& from, const Unsubscribe& /*message*/)
{
  subscribers_.erase(from);
}

void FleetPublisher::handle(Time /*now*/, const ProcessId& /*from*/, const FleetUpdate& /*message*/)
{
}

void FleetPublisher::handle(Time now, const ProcessId& from, const HeardBatch& message)
{
  desk_->heard(now, message.heard);
  auto& peer = peers_[from];
  peer.lastHeard = now;
  peer.subscribers = message.subscribers;
  bool increased = false;
  for (const auto& crash : message.crashes) {
    increased |= count(now, crash.reporter, crash, false);
  }
  if (increased) {
    sendToAll(now);
  }
}

bool FleetPublisher::count(Time now, const HolderId& reporter, const CrashCount& crash, bool direct)
{
  auto& counted = crashes_[{ crash.fingerprint, reporter }];
  const bool increased = crash.crashes > counted.crashes;
  counted.crashes = std::max(counted.crashes, crash.crashes);
  counted.lastNamed = now;
  counted.direct |= direct;
  return increased;
}

void FleetPublisher::publishChanges(Time now)
{
  const auto version = state_->configuration.version();
  const auto revision = state_->endpoints.revision();
  if (version != publishedVersion_ || revision != publishedRevision_) {
    publishedVersion_ = version;
    publishedRevision_ = revision;
    sendToAll(now);
  }
}

void FleetPublisher::setControls(Time now, std::vector<ProcessId> controls, ProcessId leader)
{
  leader_ = std::move(leader);
  if (controls != controls_) {
    controls_ = std::move(controls);
    sendToAll(now);
  }
}

void FleetPublisher::setLeaderContact(Time now, bool contact)
{
  if (contact != leaderContact_) {
    leaderContact_ = contact;
    sendToAll(now);
  }
}

void FleetPublisher::tick(Time now)
{
  forget(now);
  for (auto& [id, subscriber] : subscribers_) {
    if (now - subscriber.lastSent >= kInterval) {
      send(now, id, subscriber);
    }
  }
  if (now >= nextBatch_) {
    nextBatch_ = now + kInterval;
    sendBatches(now);
  }
}

void FleetPublisher::forget(Time now)
{
  const auto silent = [now](const auto& item) {
    return now - item.second.lastHeard >= kForgetAfter;
  };
  std::erase_if(subscribers_, silent);
  std::erase_if(peers_, silent);
  std::erase_if(crashes_,
                [now](const auto& item) { return now - item.second.lastNamed >= kCrashMemory; });
}

std::vector<EntryProcess> FleetPublisher::subscribers() const
{
  std::vector<EntryProcess> entries;
  for (const auto& [id, subscriber] : subscribers_) {
    entries.push_back({ { id, subscriber.incarnation }, subscriber.zone });
  }
  return entries;
}

std::vector<EntryProcess> FleetPublisher::entryProcesses() const
{
  std::map<ProcessId, EntryProcess> known;
  const auto add = [&known](const std::vector<EntryProcess>& entries) {
    for (const auto& entry : entries) {
      auto& place = known[entry.holder.process];
      if (place.holder.incarnation < entry.holder.incarnation) {
        place = entry;
      }
    }
  };
  add(subscribers());
  for (const auto& [id, peer] : peers_) {
    add(peer.subscribers);
  }
  std::vector<EntryProcess> entries;
  entries.reserve(known.size());
  for (auto& [id, entry] : known) {
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::vector<CrashCount> FleetPublisher::crashesOfOthers(const ProcessId& receiver) const
{
  std::vector<CrashCount> sums;
  for (const auto& [key, counted] : crashes_) {
    if (key.second.process == receiver) {
      continue;
    }
    if (sums.empty() || sums.back().fingerprint != key.first) {
      sums.push_back({ key.first, 0, {} });
    }
    sums.back().crashes += counted.crashes;
  }
  return sums;
}

void FleetPublisher::addConfiguration(Time now, Subscriber& subscriber, FleetUpdate& update) const
{
  const auto& configuration = state_->configuration;
  if (configuration.version() <= subscriber.configurationVersion) {
    return;
  }
  update.configurationVersion = configuration.version();
  update.configuration = *configuration.bytes();
  subscriber.configurationVersion = configuration.version();
  subscriber.configurationSent = now;
}

void FleetPublisher::addEndpoints(const Subscriber& subscriber, FleetUpdate& update) const
{
  const auto& endpoints = state_->endpoints;
  // A subscriber that has more than this process gets an empty update.
  const auto since = std::min(subscriber.endpointRevision, endpoints.revision());
  auto changes = endpoints.changesSince(since);
  update.endpointRevision = changes.revision;
  update.sinceRevision = changes.whole ? 0 : since;
  update.endpoints = std::move(changes.endpoints);
  update.removed = std::move(changes.removed);
}

void FleetPublisher::send(Time now, const ProcessId& to, Subscriber& subscriber)
{
  FleetUpdate update;
  addConfiguration(now, subscriber, update);
  addEndpoints(subscriber, update);
  update.controls = controls_;
  update.leaderContact = leaderContact_;
  auto entries = entryProcesses();
  update.entryProcesses = static_cast<std::uint32_t>(entries.size());
  if (const auto digest = digestOf(entries); digest != subscriber.entriesDigest) {
    subscriber.entriesDigest = digest;
    update.entries = std::move(entries);
  }
  update.crashes = crashesOfOthers(to);
  subscriber.lastSent = now;
  subscriber.endpointRevision = std::max(subscriber.endpointRevision, update.endpointRevision);
  outgoing_.push_back({ to, std::move(update) });
}

void FleetPublisher::sendToAll(Time now)
{
  for (auto& [id, subscriber] : subscribers_) {
    send(now, id, subscriber);
  }
}

void FleetPublisher::sendBatches(Time now)
{
  HeardBatch batch;
  batch.subscribers = subscribers();
  for (const auto& [key, counted] : crashes_) {
    if (counted.direct) {
      batch.crashes.push_back({ key.first, counted.crashes, key.second });
    }
  }
  for (const auto& control : controls_) {
    if (control == self_) {
      continue;
    }
    auto own = batch;
    if (control == leader_) {
      own.heard = desk_->recent(now);
    }
    outgoing_.push_back({ control, std::move(own) });
  }
}

} // namespace figchute::fleet
