#include "routing/EndpointRegistry.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <string>
#include <utility>

namespace figchute::routing {
namespace {

constexpr Duration kNeighbourFlushInterval = std::chrono::milliseconds(250);
constexpr Duration kRelayFlushInterval = std::chrono::seconds(1);
constexpr Duration kRequestInterval = std::chrono::seconds(1);

/** A summary that is older than the last one by at least this number of seconds is accepted, since
    it must come from a relay with a different clock. */
constexpr std::int32_t kClockJumpSeconds = 10;

/** A digest may differ while a change is being propagated. If it differs for this long, all
    endpoints of the zone are requested. */
constexpr Duration kDigestMismatchTimeout = std::chrono::seconds(3);

/** Within the zone, a load is sent if it changed by a sixteenth of the slots, and at least every
    1.5 s. To other zones, it is sent if it changed by a quarter, and at least every 20 s; there the
    summaries keep endpoints from expiring. Refreshing all 610 endpoints at each VM every 2.5 s
    exceeded the 4 KB/s of section 1. */
constexpr Duration kNeighbourRefreshInterval = std::chrono::milliseconds(1500);
constexpr Duration kRelayRefreshInterval = std::chrono::seconds(20);
constexpr std::uint32_t kNeighbourLoadDivisor = 16;
constexpr std::uint32_t kRelayLoadDivisor = 4;

/** The times of two load reports for the same announcement can differ because ages are rounded. */
constexpr Duration kAnnouncementTimeTolerance = std::chrono::milliseconds(100);

std::uint16_t handleOf(const EndpointId& id)
{
  return static_cast<std::uint16_t>(fingerprintOf(id.value));
}

bool equalExceptLoad(const Announcement& a, const Announcement& b)
{
  return a.address == b.address && a.zone == b.zone && a.kind == b.kind && a.models == b.models &&
         a.service == b.service && a.slots == b.slots && a.checksFencing == b.checksFencing &&
         a.leaving == b.leaving;
}

std::uint32_t digestOf(const Announcement& announcement)
{
  std::string text = announcement.id.value + "|" + announcement.address + "|" +
                     announcement.service.value + "|" + std::to_string(announcement.slots) +
                     (announcement.checksFencing ? "f" : "-") + (announcement.leaving ? "l" : "-");
  for (const auto& model : announcement.models) {
    text += "|" + model.value;
  }
  return static_cast<std::uint32_t>(fingerprintOf(text));
}

template<typename Map, typename Key>
std::span<const std::uint32_t> findIndexes(const Map& map, const Key& key)
{
  const auto entry = map.find(key);
  if (entry == map.end()) {
    return {};
  }
  return entry->second;
}

void setListed(std::vector<std::uint32_t>& indexes, std::uint32_t index, bool add)
{
  std::erase(indexes, index);
  if (add) {
    indexes.push_back(index);
  }
}

} // namespace

void EndpointRegistry::announce(Time now, Announcement announcement)
{
  announcement.announcedAt = now;
  announcement.slots = std::max(announcement.slots, 1U);
  const auto indexEntry = byId_.find(announcement.id);
  if (indexEntry != byId_.end()) {
    const Time previousAnnouncedAt = endpoints_[indexEntry->second].announcement.announcedAt;
    announcement.announcedAt = std::max(now, previousAnnouncedAt + Duration(1));
  }
  store(now, announcement, ProcessId());
}

void EndpointRegistry::receive(Time now, const ProcessId& from, const RegistryDelta& delta)
{
  for (Announcement announcement : delta.announcements) {
    announcement.announcedAt = std::min(announcement.announcedAt, now);
    const auto indexEntry = byId_.find(announcement.id);
    const bool isNewer =
      indexEntry == byId_.end() ||
      announcement.announcedAt > endpoints_[indexEntry->second].announcement.announcedAt ||
      (announcement.leaving && !endpoints_[indexEntry->second].announcement.leaving &&
       announcement.announcedAt + kAnnouncementTimeTolerance >
         endpoints_[indexEntry->second].announcement.announcedAt);
    if (isNewer && now - announcement.announcedAt < kAnnouncementTtl) {
      store(now, announcement, from);
    }
  }
  removeMissing(delta);
  removeExpired(delta);
  bool unknownHandle = false;
  for (const auto& report : delta.loads) {
    storeLoad(now, report, from, unknownHandle);
  }
  if (unknownHandle) {
    requestZone(now, from, ZoneId());
  }
  for (const auto& summary : delta.summaries) {
    compareDigest(now, summary, from);
  }
}

void EndpointRegistry::requestZone(Time now, const ProcessId& from, const ZoneId& zone)
{
  if (now >= nextRequestAt_) {
    nextRequestAt_ = now + kRequestInterval;
    outgoing_.push_back({ from, RegistryRequest{ zone } });
  }
}

void EndpointRegistry::compareDigest(Time now, const ZoneSummary& summary, const ProcessId& source)
{
  auto& zoneState = zones_[summary.zone];
  const auto secondsBehind = static_cast<std::int32_t>(zoneState.second - summary.second);
  if (summary.zone == zone_ || (secondsBehind >= 0 && secondsBehind < kClockJumpSeconds)) {
    return;
  }
  zoneState.second = summary.second;
  summariesToForward_.push_back(summary);
  if (zoneState.digest == summary.digest) {
    zoneState.mismatchSince = Time{};
    for (auto& endpoint : endpoints_) {
      if (endpoint.live && endpoint.announcement.zone == summary.zone) {
        endpoint.lastConfirmed = now;
      }
    }
    return;
  }
  if (zoneState.mismatchSince == Time{}) {
    zoneState.mismatchSince = now;
  } else if (now - zoneState.mismatchSince >= kDigestMismatchTimeout) {
    zoneState.mismatchSince = now;
    requestZone(now, source, summary.zone);
  }
}

void EndpointRegistry::removeMissing(const RegistryDelta& delta)
{
  for (const auto& zone : delta.completeZones) {
    for (std::uint32_t index = 0; index < endpoints_.size(); ++index) {
      const auto& endpoint = endpoints_[index];
      const auto hasSameId = [&](const Announcement& other) {
        return other.id == endpoint.announcement.id;
      };
      const bool isListed =
        std::any_of(delta.announcements.begin(), delta.announcements.end(), hasSameId);
      if (endpoint.live && endpoint.announcement.zone == zone && zone != zone_ && !isListed) {
        remove(index);
      }
    }
  }
}

void EndpointRegistry::removeExpired(const RegistryDelta& delta)
{
  for (const auto& id : delta.expired) {
    const auto indexEntry = byId_.find(id);
    if (indexEntry == byId_.end() || endpoints_[indexEntry->second].announcement.zone == zone_) {
      continue;
    }
    remove(indexEntry->second);
    expiredToForward_.push_back(id);
  }
}

void EndpointRegistry::receive(Time /*now*/, const ProcessId& from, const RegistryRequest& request)
{
  RegistryDelta reply;
  for (const auto& endpoint : endpoints_) {
    if (endpoint.live && (request.zone.empty() || endpoint.announcement.zone == request.zone)) {
      reply.announcements.push_back(endpoint.announcement);
    }
  }
  if (!request.zone.empty()) {
    reply.completeZones.push_back(request.zone);
  }
  outgoing_.push_back({ from, std::move(reply) });
}

std::uint32_t EndpointRegistry::findOrAddIndex(const Announcement& announcement)
{
  const auto indexEntry = byId_.find(announcement.id);
  if (indexEntry != byId_.end()) {
    return indexEntry->second;
  }
  if (freeIndexes_.empty()) {
    freeIndexes_.push_back(static_cast<std::uint32_t>(endpoints_.size()));
    endpoints_.emplace_back();
  }
  const auto index = freeIndexes_.back();
  freeIndexes_.pop_back();
  endpoints_[index] = Endpoint{};
  endpoints_[index].generation = ++lastGeneration_;
  endpoints_[index].hash = fingerprintOf(announcement.id.value);
  byId_.emplace(announcement.id, index);
  byHandle_.emplace(handleOf(announcement.id), index);
  return index;
}

void EndpointRegistry::store(Time now, const Announcement& announcement, const ProcessId& source)
{
  const auto index = findOrAddIndex(announcement);
  auto& endpoint = endpoints_[index];
  const bool fullAnnouncement =
    !endpoint.live || !equalExceptLoad(endpoint.announcement, announcement);
  const bool startsLeaving = announcement.leaving && endpoint.leavingSince == Time{};
  if (fullAnnouncement && endpoint.live) {
    updateLookups(index, false);
  }
  endpoint.announcement = announcement;
  endpoint.lastConfirmed = std::max(endpoint.lastConfirmed, announcement.announcedAt);
  endpoint.live = true;
  if (fullAnnouncement) {
    updateLookups(index, true);
  }
  if (!announcement.leaving) {
    endpoint.leavingSince = Time{};
  } else if (startsLeaving) {
    endpoint.leavingSince = now;
  }
  enqueue(now, index, source, fullAnnouncement);
  if (startsLeaving) {
    flushToNeighbours(now);
    flushToRelays(now);
  }
}

void EndpointRegistry::storeLoad(Time now,
                                 const LoadReport& report,
                                 const ProcessId& source,
                                 bool& unknownHandle)
{
  const auto [first, last] = byHandle_.equal_range(report.handle);
  if (first == last) {
    unknownHandle = true;
    return;
  }
  if (std::next(first) != last) {
    return;
  }
  auto& endpoint = endpoints_[first->second];
  const Time announcedAt = now - kLoadReportAgeUnit * report.age;
  if (announcedAt <= endpoint.announcement.announcedAt + kAnnouncementTimeTolerance) {
    return;
  }
  endpoint.announcement.announcedAt = announcedAt;
  endpoint.lastConfirmed = std::max(endpoint.lastConfirmed, announcedAt);
  endpoint.announcement.running = report.running;
  endpoint.announcement.waiting = report.waiting;
  enqueue(now, first->second, source, false);
}

bool EndpointRegistry::isRelay(const ProcessId& source) const
{
  return std::find(peers_.relays.begin(), peers_.relays.end(), source) != peers_.relays.end();
}

bool EndpointRegistry::shouldSendLoad(Time now, std::uint32_t index, bool toRelays)
{
  const auto& announcement = endpoints_[index].announcement;
  auto& lastSent = toRelays ? lastSentToRelays_[index] : lastSentToNeighbours_[index];
  const std::uint32_t load = announcement.running + announcement.waiting;
  const std::uint32_t change = load > lastSent.load ? load - lastSent.load : lastSent.load - load;
  const std::uint32_t divisor = toRelays ? kRelayLoadDivisor : kNeighbourLoadDivisor;
  const bool refreshDue =
    now - lastSent.sentAt >= (toRelays ? kRelayRefreshInterval : kNeighbourRefreshInterval);
  if (!refreshDue && change * divisor < std::max(announcement.slots, divisor)) {
    return false;
  }
  lastSent = { now, load };
  return true;
}

/** Small load changes are suppressed only at the VM that received the announcement from the
    endpoint and, towards other zones, at the relay. All other VMs forward every change. */
void EndpointRegistry::enqueue(Time now,
                               std::uint32_t index,
                               const ProcessId& source,
                               bool fullAnnouncement)
{
  const auto addPending = [&](PendingMap& pending) {
    auto [entry, inserted] = pending.try_emplace(index, Pending{ fullAnnouncement, source });
    if (!inserted) {
      entry->second.fullAnnouncement = entry->second.fullAnnouncement || fullAnnouncement;
      entry->second.source = entry->second.source == source ? source : ProcessId();
    }
  };
  const bool receivedDirectly = source.empty();
  if (!peers_.neighbours.empty() &&
      (fullAnnouncement || !receivedDirectly || shouldSendLoad(now, index, false))) {
    addPending(forNeighbours_);
  }
  if (!peers_.relays.empty() && !isRelay(source) &&
      (fullAnnouncement || shouldSendLoad(now, index, true))) {
    addPending(forRelays_);
  }
}

void EndpointRegistry::tick(Time now)
{
  for (std::uint32_t index = 0; index < endpoints_.size(); ++index) {
    const auto& endpoint = endpoints_[index];
    if (!endpoint.live || now - endpoint.lastConfirmed < kAnnouncementTtl) {
      continue;
    }
    if (endpoint.announcement.zone == zone_ && !peers_.relays.empty()) {
      expiredInOwnZone_.push_back(endpoint.announcement.id);
    }
    remove(index);
  }
  if (now >= nextNeighbourFlushAt_) {
    nextNeighbourFlushAt_ = now + kNeighbourFlushInterval;
    flushToNeighbours(now);
  }
  if (now >= nextRelayFlushAt_) {
    nextRelayFlushAt_ = now + kRelayFlushInterval;
    flushToRelays(now);
  }
}

void EndpointRegistry::flushToNeighbours(Time now)
{
  flush(now, peers_.neighbours, forNeighbours_);
  summariesToForward_.clear();
  expiredToForward_.clear();
}

void EndpointRegistry::flushToRelays(Time now)
{
  flush(now, peers_.relays, forRelays_);
  expiredInOwnZone_.clear();
}

void EndpointRegistry::remove(std::uint32_t index)
{
  auto& endpoint = endpoints_[index];
  updateLookups(index, false);
  byId_.erase(endpoint.announcement.id);
  const auto [first, last] = byHandle_.equal_range(handleOf(endpoint.announcement.id));
  byHandle_.erase(
    std::find_if(first, last, [index](const auto& entry) { return entry.second == index; }));
  forNeighbours_.erase(index);
  forRelays_.erase(index);
  lastSentToNeighbours_.erase(index);
  lastSentToRelays_.erase(index);
  endpoint.live = false;
  freeIndexes_.push_back(index);
}

void EndpointRegistry::updateLookups(std::uint32_t index, bool add)
{
  const auto& announcement = endpoints_[index].announcement;
  zones_[announcement.zone].digest ^= digestOf(announcement);
  if (announcement.kind == EndpointKind::plain) {
    setListed(byService_[announcement.service], index, add);
    return;
  }
  for (const auto& model : announcement.models) {
    setListed(byModel_[model], index, add);
  }
}

void EndpointRegistry::flush(Time now, const std::vector<ProcessId>& links, PendingMap& pending)
{
  for (const auto& link : links) {
    auto delta = makeDelta(now, link, pending);
    const bool isEmpty = delta.announcements.empty() && delta.loads.empty() &&
                         delta.summaries.empty() && delta.expired.empty();
    if (!isEmpty) {
      outgoing_.push_back({ link, std::move(delta) });
    }
  }
  pending.clear();
}

RegistryDelta EndpointRegistry::makeDelta(Time now,
                                          const ProcessId& link,
                                          const PendingMap& pending) const
{
  RegistryDelta delta;
  for (const auto& [index, change] : pending) {
    if (change.source == link) {
      continue;
    }
    const auto& announcement = endpoints_[index].announcement;
    const auto handle = handleOf(announcement.id);
    if (change.fullAnnouncement || byHandle_.count(handle) > 1) {
      delta.announcements.push_back(announcement);
      continue;
    }
    const auto ageUnits =
      std::clamp<std::int64_t>((now - announcement.announcedAt) / kLoadReportAgeUnit, 0, 255);
    delta.loads.push_back(
      { handle, announcement.running, announcement.waiting, static_cast<std::uint8_t>(ageUnits) });
  }
  if (!isRelay(link)) {
    delta.summaries = summariesToForward_;
    delta.expired = expiredToForward_;
    return delta;
  }
  const auto ownZone = zones_.find(zone_);
  const auto second = static_cast<std::uint32_t>(now.micros / 1'000'000);
  delta.summaries.push_back(
    { zone_, ownZone == zones_.end() ? 0 : ownZone->second.digest, second });
  delta.expired = expiredInOwnZone_;
  return delta;
}

std::vector<OutgoingMessage> EndpointRegistry::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::span<const std::uint32_t> EndpointRegistry::endpointsServing(const ModelName& model) const
{
  return findIndexes(byModel_, model);
}

std::span<const std::uint32_t> EndpointRegistry::endpointsServing(const ServiceName& service) const
{
  return findIndexes(byService_, service);
}

std::optional<std::uint32_t> EndpointRegistry::find(const EndpointId& id) const
{
  const auto indexEntry = byId_.find(id);
  if (indexEntry == byId_.end()) {
    return std::nullopt;
  }
  return indexEntry->second;
}

} // namespace figchute::routing
