#include "fleet/FleetPublisher.h"

#include <algorithm>

namespace figchute::fleet {

FleetPublisher::FleetPublisher(ProcessId self,
                               const FleetState& state,
                               AnnouncementTracker& announcementTracker)
  : self_(std::move(self))
  , state_(&state)
  , announcementTracker_(&announcementTracker)
{
}

void FleetPublisher::receive(Time now, const ProcessId& from, const Message& message)
{
  std::visit([&](const auto& typedMessage) { handle(now, from, typedMessage); }, message);
}

void FleetPublisher::handle(Time now, const ProcessId& from, const Subscribe& message)
{
  ++counts_.subscriptions;
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
  subscriber.acceptsDeltas = message.acceptsDeltas;
  const bool updateInFlight = !message.missedConfiguration &&
                              message.configurationVersion < subscriber.configurationVersion &&
                              now - subscriber.configurationSentAt < kConfigurationResendDelay;
  if (!updateInFlight) {
    subscriber.configurationVersion = message.configurationVersion;
  }
  subscriber.endpointRevision = message.endpointRevision;
  subscriber.lastMessageAt = now;
  subscriber.requestsPerSecond = message.requestsPerSecond;
  subscriber.sentAtMicros = std::max(subscriber.sentAtMicros, message.sentAtMicros);
  for (const auto& report : message.crashReports) {
    subscriberCrashes_.merge(now, report);
  }
  for (const auto& limit : message.rateLimits) {
    subscriberLimits_.merge(now, limit);
  }
  hasNewSubscriberReports_ |= mergeCrashReports(now, message.crashReports);
  hasNewSubscriberReports_ |= mergeLimits(now, message.rateLimits);
  if (!publishIfDue(now)) {
    send(now, from, subscriber, makeSharedUpdate());
  }
}

void FleetPublisher::handle(Time /*now*/, const ProcessId& from, const Unsubscribe& /*message*/)
{
  subscribers_.erase(from);
}

void FleetPublisher::handle(Time /*now*/, const ProcessId& /*from*/, const FleetUpdate& /*message*/)
{
}

void FleetPublisher::handle(Time now, const ProcessId& from, const PeerReport& message)
{
  announcementTracker_->mergeAnnouncements(now, message.announcements);
  auto& peer = peers_[from];
  peer.lastMessageAt = now;
  peer.subscribers = message.subscribers;
  peer.requestRates = message.requestRates;
  mergeCrashReports(now, message.crashReports);
  mergeLimits(now, message.rateLimits);
  publishIfDue(now);
}

bool FleetPublisher::mergeCrashReports(Time now, const std::vector<CrashReport>& reports)
{
  bool isAnyNew = false;
  for (const auto& report : reports) {
    isAnyNew |= crashes_.merge(now, report) == CrashReportStore::MergeResult::added;
  }
  hasNewReports_ |= isAnyNew;
  return isAnyNew;
}

bool FleetPublisher::mergeLimits(Time now, const std::vector<RateLimit>& limits)
{
  bool isAnyChanged = false;
  for (const auto& limit : limits) {
    isAnyChanged |= limits_.merge(now, limit);
  }
  hasNewReports_ |= isAnyChanged;
  return isAnyChanged;
}

void FleetPublisher::publishChanges(Time now)
{
  publishIfDue(now);
}

bool FleetPublisher::hasUnpublishedChanges() const
{
  return hasNewReports_ || state_->configuration.version() != publishedVersion_ ||
         state_->endpoints.revision() != publishedRevision_ ||
         state_->evacuations.revision() != publishedEvacuations_;
}

std::optional<Time> FleetPublisher::publishDueAt() const
{
  return hasUnpublishedChanges() ? std::optional(nextPublishAt_) : std::nullopt;
}

bool FleetPublisher::publishIfDue(Time now)
{
  if (!hasUnpublishedChanges() || now < nextPublishAt_) {
    return false;
  }
  nextPublishAt_ = now + kPublishInterval;
  publishedVersion_ = state_->configuration.version();
  publishedRevision_ = state_->endpoints.revision();
  publishedEvacuations_ = state_->evacuations.revision();
  hasNewReports_ = false;
  sendToAll(now);
  if (std::exchange(hasNewSubscriberReports_, false)) {
    // Sent without waiting for the next report, so that the subscribers of the other control
    // processes get the crash without delay.
    sendPeerReports(now);
  }
  return true;
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
  removeExpired(now);
  publishChanges(now);
  sendTo(now,
         [now](const Subscriber& subscriber) { return now - subscriber.lastSentAt >= kInterval; });
  if (now >= nextPeerReportAt_) {
    nextPeerReportAt_ = now + kInterval;
    sendPeerReports(now);
  }
}

void FleetPublisher::removeExpired(Time now)
{
  const auto isSilent = [now](const auto& item) {
    return now - item.second.lastMessageAt >= kSilenceTimeout;
  };
  std::erase_if(subscribers_, isSilent);
  std::erase_if(peers_, isSilent);
  crashes_.expire(now);
  subscriberCrashes_.expire(now);
  limits_.expire(now);
  subscriberLimits_.expire(now);
}

std::vector<EntryProcess> FleetPublisher::subscribers() const
{
  std::vector<EntryProcess> processes;
  for (const auto& [id, subscriber] : subscribers_) {
    processes.push_back({ { id, subscriber.incarnation }, subscriber.zone });
  }
  return processes;
}

std::vector<EntryProcess> FleetPublisher::entryProcesses() const
{
  std::map<ProcessId, EntryProcess> newestById;
  const auto addNewest = [&newestById](const std::vector<EntryProcess>& processes) {
    for (const auto& entry : processes) {
      auto& newest = newestById[entry.holder.process];
      if (newest.holder.incarnation < entry.holder.incarnation) {
        newest = entry;
      }
    }
  };
  addNewest(subscribers());
  for (const auto& [id, peer] : peers_) {
    addNewest(peer.subscribers);
  }
  std::vector<EntryProcess> processes;
  processes.reserve(newestById.size());
  for (auto& [id, entry] : newestById) {
    processes.push_back(std::move(entry));
  }
  return processes;
}

std::vector<RequestRate> FleetPublisher::subscriberRates() const
{
  std::vector<RequestRate> rates;
  rates.reserve(subscribers_.size());
  for (const auto& [id, subscriber] : subscribers_) {
    rates.push_back({ fingerprintOf(id.value), subscriber.requestsPerSecond });
  }
  return rates;
}

std::vector<RequestRate> FleetPublisher::requestRates() const
{
  auto rates = subscriberRates();
  for (const auto& [id, peer] : peers_) {
    rates.insert(rates.end(), peer.requestRates.begin(), peer.requestRates.end());
  }
  return rates;
}

void FleetPublisher::addConfiguration(Time now, Subscriber& subscriber, FleetUpdate& update)
{
  const auto& configuration = state_->configuration;
  if (configuration.version() <= subscriber.configurationVersion) {
    return;
  }
  const auto* delta =
    subscriber.acceptsDeltas ? findDelta(subscriber.configurationVersion) : nullptr;
  if (delta != nullptr) {
    update.baseVersion = subscriber.configurationVersion;
    update.configurationDelta = *delta;
  } else {
    update.configuration = *configuration.bytes();
  }
  update.configurationVersion = configuration.version();
  subscriber.configurationVersion = configuration.version();
  subscriber.configurationSentAt = now;
}

const ByteDelta* FleetPublisher::findDelta(std::uint64_t baseVersion)
{
  const auto& configuration = state_->configuration;
  if (deltaVersion_ != configuration.version()) {
    deltaVersion_ = configuration.version();
    deltas_.clear();
  }
  const auto [entry, isNew] = deltas_.try_emplace(baseVersion);
  auto& delta = entry->second;
  const auto base = isNew ? configuration.previousBytes(baseVersion) : nullptr;
  if (base != nullptr) {
    delta = makeDelta(*base, *configuration.bytes());
    if (delta->encodedBytes() >= configuration.bytes()->size()) {
      delta.reset();
    }
  }
  return delta ? &*delta : nullptr;
}

void FleetPublisher::addEndpoints(const Subscriber& subscriber, FleetUpdate& update) const
{
  const auto& endpoints = state_->endpoints;
  // A subscriber that is ahead of this process gets an empty update.
  const auto startRevision = std::min(subscriber.endpointRevision, endpoints.revision());
  auto changes = endpoints.changesSince(startRevision);
  update.endpointRevision = changes.revision;
  update.sinceRevision = changes.complete ? 0 : startRevision;
  update.endpoints = std::move(changes.endpoints);
  update.removed = std::move(changes.removed);
}

FleetPublisher::SharedUpdate FleetPublisher::makeSharedUpdate()
{
  ++counts_.builtLists;
  SharedUpdate shared;
  shared.entries = entryProcesses();
  shared.entriesDigest = digestOf(shared.entries);
  return shared;
}

void FleetPublisher::send(Time now,
                          const ProcessId& to,
                          Subscriber& subscriber,
                          const SharedUpdate& shared)
{
  FleetUpdate update;
  addConfiguration(now, subscriber, update);
  addEndpoints(subscriber, update);
  update.controls = controls_;
  update.leaderContact = leaderContact_;
  update.answeredMicros = subscriber.sentAtMicros;
  update.entryProcesses = static_cast<std::uint32_t>(shared.entries.size());
  if (shared.entriesDigest != subscriber.entriesDigest) {
    subscriber.entriesDigest = shared.entriesDigest;
    update.entries = shared.entries;
    ++counts_.entryLists;
    counts_.listedEntries += shared.entries.size();
  }
  update.crashReports = crashes_.reportsFor(now, subscriber.crashCursor);
  update.rateLimits = limits_.limitsFor(now, subscriber.limitCursor);
  if (limits_.hasLimits() && now - subscriber.ratesSentAt >= kRequestRateInterval) {
    subscriber.ratesSentAt = now;
    update.requestRates = requestRates();
  }
  update.evacuationRevision = state_->evacuations.revision();
  update.evacuatedZones = state_->evacuations.zones();
  ++counts_.updates;
  subscriber.lastSentAt = now;
  subscriber.endpointRevision = std::max(subscriber.endpointRevision, update.endpointRevision);
  outgoing_.push_back({ to, std::move(update) });
}

template<typename Predicate>
void FleetPublisher::sendTo(Time now, Predicate isReceiver)
{
  std::optional<SharedUpdate> shared;
  for (auto& [id, subscriber] : subscribers_) {
    if (!isReceiver(subscriber)) {
      continue;
    }
    if (!shared) {
      shared = makeSharedUpdate();
    }
    send(now, id, subscriber, *shared);
  }
}

void FleetPublisher::sendToAll(Time now)
{
  sendTo(now, [](const Subscriber& /*subscriber*/) { return true; });
}

void FleetPublisher::sendPeerReports(Time now)
{
  PeerReport report;
  report.subscribers = subscribers();
  report.requestRates = subscriberRates();
  for (const auto& control : controls_) {
    if (control == self_) {
      continue;
    }
    auto peerReport = report;
    auto& cursors = peerCursors_[control];
    peerReport.crashReports = subscriberCrashes_.reportsFor(now, cursors.crashes);
    peerReport.rateLimits = subscriberLimits_.limitsFor(now, cursors.limits);
    if (control == leader_) {
      peerReport.announcements = announcementTracker_->recentAnnouncements(now);
    }
    outgoing_.push_back({ control, std::move(peerReport) });
  }
}

} // namespace figchute::fleet
