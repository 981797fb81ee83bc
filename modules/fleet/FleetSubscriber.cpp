#include "fleet/FleetSubscriber.h"

#include <algorithm>

namespace figchute::fleet {
namespace {

bool contains(const std::vector<ProcessId>& ids, const ProcessId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

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
  applyConfiguration(*update);
  applyEndpoints(now, from, *update);
  applyCrashes(now, update->crashes);
  updateControls(update->controls);
  const auto processes = std::max<std::uint32_t>(update->entryProcesses, 1);
  const bool isCurrent = !searching_ && current_ == from;
  if ((isCurrent || searching_) && processes != entryProcesses_) {
    entryProcesses_ = processes;
    changes_.entryProcesses = true;
  }
  if ((isCurrent || searching_) && !update->entries.empty() && update->entries != entries_) {
    entries_ = update->entries;
    changes_.entryProcesses = true;
  }
  if (started_ && !stopped_) {
    handleLeaderContact(now, from, update->leaderContact);
  }
}

void FleetSubscriber::applyConfiguration(const FleetUpdate& update)
{
  if (update.configurationVersion <= configurationVersion_) {
    return;
  }
  configurationVersion_ = update.configurationVersion;
  configuration_ = std::make_shared<const std::string>(update.configuration);
  changes_.configuration = true;
}

void FleetSubscriber::applyEndpoints(Time now, const ProcessId& from, const FleetUpdate& update)
{
  if (update.endpointRevision <= endpointRevision_) {
    return;
  }
  if (update.sinceRevision > endpointRevision_) {
    // An update was lost. The sender answers with all changes since the revision in this message.
    const bool due = !resubscribedAt_ || now - *resubscribedAt_ >= kResubscribeInterval;
    if (due && !stopped_) {
      resubscribedAt_ = now;
      subscribe(now, from);
    }
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

void FleetSubscriber::applyCrashes(Time now, const std::vector<CrashCount>& crashes)
{
  for (const auto& crash : crashes) {
    auto& known = otherCrashes_[crash.fingerprint];
    known.lastReportedAt = now;
    if (crash.crashes > known.crashes) {
      changes_.crashes.push_back({ crash.fingerprint, crash.crashes - known.crashes, {} });
      known.crashes = crash.crashes;
    }
  }
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
  auto known = members;
  const auto addMissing = [&known](const std::vector<ProcessId>& ids) {
    for (const auto& id : ids) {
      if (!contains(known, id) && known.size() < kMaxControls) {
        known.push_back(id);
      }
    }
  };
  addMissing(settings_.seeds);
  addMissing(controls_);
  controls_ = std::move(known);
  memberCount_ = members.size();
}

void FleetSubscriber::handleLeaderContact(Time now, const ProcessId& from, bool leaderContact)
{
  if (!searching_) {
    if (current_ != from) {
      return;
    }
    lastMessageAt_ = now;
    if (!leaderContact) {
      startSearch(now);
    }
    return;
  }
  if (!contacted_.contains(from)) {
    return;
  }
  if (leaderContact) {
    useControl(now, from);
  } else if (!untried_.empty()) {
    tryNext(now);
  }
}

void FleetSubscriber::startSearch(Time now)
{
  searching_ = true;
  changes_.control = true;
  contacted_.clear();
  startRound();
  if (current_) {
    // The previous control process keeps sending updates for a while and may be the first one to
    // have a leader again.
    contacted_.insert(*current_);
    std::erase(untried_, *current_);
  }
  tryNext(now);
}

void FleetSubscriber::startRound()
{
  untried_.assign(controls_.begin(), controls_.end());
  const auto members = std::min(memberCount_, untried_.size());
  if (members > 0) {
    const auto first = static_cast<std::ptrdiff_t>(random_.below(members));
    const auto begin = untried_.begin();
    std::rotate(begin, begin + first, begin + static_cast<std::ptrdiff_t>(members));
  }
}

void FleetSubscriber::tryNext(Time now)
{
  if (untried_.empty()) {
    startRound();
  }
  if (untried_.empty()) {
    return;
  }
  const auto next = untried_.front();
  untried_.pop_front();
  contacted_.insert(next);
  subscribe(now, next);
  nextTryAt_ = now + (untried_.empty() ? kRoundPause : kTryNextInterval);
}

void FleetSubscriber::useControl(Time now, const ProcessId& control)
{
  searching_ = false;
  current_ = control;
  lastMessageAt_ = now;
  nextSubscribeAt_ = now + kInterval;
  changes_.control = true;
  contacted_.erase(control);
  for (const auto& other : std::exchange(contacted_, {})) {
    outgoing_.push_back({ other, Unsubscribe{ false } });
  }
  if (std::exchange(hasUnreportedCrash_, false)) {
    subscribe(now, control);
  }
}

void FleetSubscriber::subscribe(Time now, const ProcessId& to)
{
  Subscribe message{ settings_.zone, configurationVersion_, endpointRevision_, {}, {}, 0 };
  message.incarnation = settings_.incarnation;
  message.entriesDigest = digestOf(entries_);
  for (const auto& [fingerprint, own] : ownCrashes_) {
    if (now - own.lastAt <= kCrashReportTime) {
      message.crashes.push_back({ fingerprint, own.crashes, {} });
    }
  }
  outgoing_.push_back({ to, std::move(message) });
}

void FleetSubscriber::tick(Time now)
{
  if (stopped_) {
    return;
  }
  expireCrashes(now);
  if (!started_) {
    started_ = true;
    startSearch(now);
  } else if (searching_) {
    if (now >= nextTryAt_) {
      tryNext(now);
    }
  } else if (now - lastMessageAt_ >= kSilenceTimeout) {
    startSearch(now);
  } else if (now >= nextSubscribeAt_) {
    nextSubscribeAt_ = now + kInterval;
    subscribe(now, *current_);
  }
}

void FleetSubscriber::addCrash(Time now, std::uint64_t fingerprint)
{
  if (ownCrashes_.size() >= kMaxOwnCrashes && !ownCrashes_.contains(fingerprint)) {
    const auto oldest =
      std::min_element(ownCrashes_.begin(), ownCrashes_.end(), [](const auto& a, const auto& b) {
        return a.second.lastAt < b.second.lastAt;
      });
    ownCrashes_.erase(oldest);
  }
  auto& own = ownCrashes_[fingerprint];
  ++own.crashes;
  own.lastAt = now;
  if (searching_) {
    hasUnreportedCrash_ = true;
  } else if (!stopped_) {
    nextSubscribeAt_ = now + kInterval;
    subscribe(now, *current_);
  }
}

void FleetSubscriber::stop()
{
  if (stopped_) {
    return;
  }
  stopped_ = true;
  if (current_) {
    contacted_.insert(*current_);
  }
  for (const auto& control : contacted_) {
    outgoing_.push_back({ control, Unsubscribe{ true } });
  }
}

std::uint64_t FleetSubscriber::crashesOfOthers(std::uint64_t fingerprint) const
{
  const auto found = otherCrashes_.find(fingerprint);
  return found == otherCrashes_.end() ? 0 : found->second.crashes;
}

std::optional<ProcessId> FleetSubscriber::control() const
{
  return searching_ ? std::nullopt : current_;
}

void FleetSubscriber::expireCrashes(Time now)
{
  std::erase_if(ownCrashes_,
                [now](const auto& item) { return now - item.second.lastAt >= kOwnCrashRetention; });
  std::erase_if(otherCrashes_, [now](const auto& item) {
    return now - item.second.lastReportedAt >= kCrashRetention;
  });
}

} // namespace figchute::fleet
