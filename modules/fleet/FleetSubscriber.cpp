#include "fleet/FleetSubscriber.h"

#include <algorithm>

namespace figchute::fleet {
namespace {

bool contains(const std::vector<ProcessId>& ids, const ProcessId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::string_view toString(SearchReason reason)
{
  switch (reason) {
    case SearchReason::start:
      return "start";
    case SearchReason::silence:
      return "silence";
    case SearchReason::noLeader:
      break;
  }
  return "no_leader";
}

FleetSubscriber::FleetSubscriber(SubscriberSettings settings)
  : settings_(std::move(settings))
  , random_(settings_.seed)
  , controls_(settings_.seeds)
  , memberCount_(controls_.size())
{
}

void FleetSubscriber::receive(Time now, const ProcessId& from, const Message& message)
{
  const auto* update = std::get_if<FleetUpdate>(&message);
  if (update == nullptr) {
    return;
  }
  // Versions and revisions only increase, so an update is accepted from any control process,
  // including a previous one.
  applyConfiguration(now, from, *update);
  applyEndpoints(now, from, *update);
  applyEvacuations(*update);
  changes_.crashReports.insert(
    changes_.crashReports.end(), update->crashReports.begin(), update->crashReports.end());
  changes_.rateLimits.insert(
    changes_.rateLimits.end(), update->rateLimits.begin(), update->rateLimits.end());
  if (!update->requestRates.empty()) {
    changes_.requestRates = update->requestRates;
  }
  updateControls(update->controls);
  updateContact(now, *update);
  const auto processes = std::max<std::uint32_t>(update->entryProcesses, 1);
  const bool isFromCurrentControl = !searching_ && currentControl_ == from;
  if ((isFromCurrentControl || searching_) && processes != entryProcesses_) {
    entryProcesses_ = processes;
    changes_.entryProcesses = true;
  }
  if ((isFromCurrentControl || searching_) && !update->entries.empty() &&
      update->entries != entries_) {
    entries_ = update->entries;
    changes_.entryProcesses = true;
  }
  if (started_ && !stopped_) {
    handleLeaderContact(now, from, update->leaderContact);
  }
}

void FleetSubscriber::applyConfiguration(Time now, const ProcessId& from, const FleetUpdate& update)
{
  if (update.configurationVersion <= configurationVersion_) {
    return;
  }
  if (update.baseVersion == 0) {
    setConfiguration(update.configurationVersion, update.configuration);
    return;
  }
  if (update.baseVersion != configurationVersion_) {
    resubscribe(now, from, true);
    return;
  }
  if (auto bytes = applyDelta(*configuration_, update.configurationDelta, kMaxConfigurationBytes)) {
    setConfiguration(update.configurationVersion, std::move(*bytes));
  } else {
    // This process and the sender have different bytes under the same version.
    acceptsDeltas_ = false;
    resubscribe(now, from, true);
  }
}

void FleetSubscriber::setConfiguration(std::uint64_t version, std::string bytes)
{
  configurationVersion_ = version;
  configuration_ = std::make_shared<const std::string>(std::move(bytes));
  acceptsDeltas_ = true;
  changes_.configuration = true;
}

void FleetSubscriber::resubscribe(Time now, const ProcessId& to, bool missedConfiguration)
{
  const bool isDue = !resubscribedAt_ || now - *resubscribedAt_ >= kResubscribeInterval;
  if (isDue && !stopped_) {
    resubscribedAt_ = now;
    subscribe(now, to, missedConfiguration);
  }
}

void FleetSubscriber::applyEndpoints(Time now, const ProcessId& from, const FleetUpdate& update)
{
  if (update.endpointRevision <= endpointRevision_) {
    return;
  }
  if (update.sinceRevision > endpointRevision_) {
    // An update was lost. The sender answers with all changes since the revision of this process.
    resubscribe(now, from, false);
    return;
  }
  if (update.sinceRevision == 0) {
    endpoints_.clear();
  }
  for (const auto& id : update.removed) {
    endpoints_.erase(id);
  }
  for (const auto& record : update.endpoints) {
    endpoints_[record.id] = record;
  }
  endpointRevision_ = update.endpointRevision;
  changes_.endpoints = true;
}

void FleetSubscriber::applyEvacuations(const FleetUpdate& update)
{
  if (update.evacuationRevision <= evacuationRevision_) {
    return;
  }
  evacuationRevision_ = update.evacuationRevision;
  evacuatedZones_ = update.evacuatedZones;
  changes_.evacuations = true;
}

void FleetSubscriber::setSeeds(std::vector<ProcessId> seeds)
{
  for (const auto& seed : seeds) {
    if (!contains(controls_, seed) && controls_.size() < kMaxControls) {
      controls_.push_back(seed);
      changes_.control = true;
    }
  }
  settings_.seeds = std::move(seeds);
}

void FleetSubscriber::updateControls(const std::vector<ProcessId>& members)
{
  if (members.empty()) {
    return;
  }
  auto newControls = members;
  const auto addMissing = [&newControls](const std::vector<ProcessId>& ids) {
    for (const auto& id : ids) {
      if (!contains(newControls, id) && newControls.size() < kMaxControls) {
        newControls.push_back(id);
      }
    }
  };
  addMissing(settings_.seeds);
  addMissing(controls_);
  controls_ = std::move(newControls);
  memberCount_ = members.size();
}

void FleetSubscriber::updateContact(Time now, const FleetUpdate& update)
{
  const Time sentAt{ update.answeredMicros };
  // A time outside of these limits was read from the clock of an earlier start of the machine.
  const bool isPlausible = startedAt_ && sentAt >= *startedAt_ && sentAt <= now;
  if (update.leaderContact && isPlausible) {
    contactAt_ = std::max(contactAt_.value_or(sentAt), sentAt);
  }
}

void FleetSubscriber::handleLeaderContact(Time now, const ProcessId& from, bool leaderContact)
{
  if (!searching_) {
    if (currentControl_ != from) {
      return;
    }
    lastMessageAt_ = now;
    if (!leaderContact) {
      startSearch(now, SearchReason::noLeader);
    }
    return;
  }
  if (!contactedControls_.contains(from)) {
    return;
  }
  if (leaderContact) {
    useControl(now, from);
  } else if (!untriedControls_.empty()) {
    tryNext(now);
  }
}

void FleetSubscriber::startSearch(Time now, SearchReason reason)
{
  searchReason_ = reason;
  searching_ = true;
  changes_.control = true;
  contactedControls_.clear();
  startRound();
  if (currentControl_) {
    // The previous control process keeps sending updates for a while and may be the first one to
    // have a leader again.
    contactedControls_.insert(*currentControl_);
    std::erase(untriedControls_, *currentControl_);
  }
  tryNext(now);
}

void FleetSubscriber::startRound()
{
  untriedControls_.assign(controls_.begin(), controls_.end());
  const auto members = std::min(memberCount_, untriedControls_.size());
  if (members > 0) {
    const auto firstOffset = static_cast<std::ptrdiff_t>(random_.below(members));
    const auto begin = untriedControls_.begin();
    std::rotate(begin, begin + firstOffset, begin + static_cast<std::ptrdiff_t>(members));
  }
}

void FleetSubscriber::tryNext(Time now)
{
  if (untriedControls_.empty()) {
    startRound();
  }
  if (untriedControls_.empty()) {
    return;
  }
  const auto nextControl = untriedControls_.front();
  untriedControls_.pop_front();
  contactedControls_.insert(nextControl);
  subscribe(now, nextControl);
  nextTryAt_ = now + (untriedControls_.empty() ? kRoundPause : kTryNextInterval);
}

void FleetSubscriber::useControl(Time now, const ProcessId& control)
{
  searching_ = false;
  currentControl_ = control;
  lastMessageAt_ = now;
  nextSubscribeAt_ = now + kInterval;
  changes_.control = true;
  contactedControls_.erase(control);
  for (const auto& otherControl : std::exchange(contactedControls_, {})) {
    outgoing_.push_back({ otherControl, Unsubscribe{ false } });
  }
  if (std::exchange(hasUnsentReport_, false)) {
    subscribe(now, control);
  }
}

void FleetSubscriber::subscribe(Time now, const ProcessId& to, bool missedConfiguration)
{
  Subscribe message;
  message.zone = settings_.zone;
  message.configurationVersion = configurationVersion_;
  message.endpointRevision = endpointRevision_;
  message.acceptsDeltas = acceptsDeltas_;
  message.missedConfiguration = missedConfiguration;
  message.incarnation = settings_.incarnation;
  message.entriesDigest = digestOf(entries_);
  message.rateLimits = rateLimits_;
  if (std::exchange(hasUrgentLimits_, false)) {
    urgentLimitsSentAt_ = now;
  }
  message.requestsPerSecond = requestsPerSecond_;
  message.sentAtMicros = now.micros;
  startedAt_ = startedAt_.value_or(now);
  message.crashReports = ownReports_.changedSince(now, now - kCrashReportTime);
  outgoing_.push_back({ to, std::move(message) });
}

void FleetSubscriber::tick(Time now)
{
  if (stopped_) {
    return;
  }
  ownReports_.expire(now);
  if (!started_) {
    started_ = true;
    startSearch(now, SearchReason::start);
  } else if (searching_) {
    if (now >= nextTryAt_) {
      tryNext(now);
    }
  } else if (now - lastMessageAt_ >= kSilenceTimeout) {
    startSearch(now, SearchReason::silence);
  } else if (now >= nextSubscribeAt_) {
    nextSubscribeAt_ = now + kInterval;
    subscribe(now, *currentControl_);
  }
}

void FleetSubscriber::addCrash(Time now, const CrashReport& report)
{
  ownReports_.merge(now, report);
  sendReports(now);
}

void FleetSubscriber::setRateLimits(Time now, std::vector<RateLimit> limits, bool isUrgent)
{
  rateLimits_ = std::move(limits);
  if (!isUrgent) {
    return;
  }
  hasUrgentLimits_ = true;
  const auto dueAt = urgentLimitsSentAt_ + kMinLimitInterval;
  if (searching_ || now >= dueAt) {
    sendReports(now);
  } else {
    nextSubscribeAt_ = std::min(nextSubscribeAt_, dueAt);
  }
}

void FleetSubscriber::sendReports(Time now)
{
  if (searching_) {
    hasUnsentReport_ = true;
  } else if (!stopped_) {
    nextSubscribeAt_ = now + kInterval;
    subscribe(now, *currentControl_);
  }
}

void FleetSubscriber::stop()
{
  if (stopped_) {
    return;
  }
  stopped_ = true;
  if (currentControl_) {
    contactedControls_.insert(*currentControl_);
  }
  for (const auto& control : contactedControls_) {
    outgoing_.push_back({ control, Unsubscribe{ true } });
  }
}

std::optional<ProcessId> FleetSubscriber::control() const
{
  return searching_ ? std::nullopt : currentControl_;
}

} // namespace figchute::fleet
