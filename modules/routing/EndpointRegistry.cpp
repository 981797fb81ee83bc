#include "routing/EndpointRegistry.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <string>
#include <utility>

namespace figchute::routing {
namespace {

constexpr Duration kNeighbourFlush = std::chrono::milliseconds(250);
constexpr Duration kRelayFlush = std::chrono::seconds(1);
constexpr Duration kRequestInterval = std::chrono::seconds(1);

/** A summary this much older than the last one comes from a relay with another clock. */
constexpr std::int32_t kClockJumpSeconds = 10;

/** A summary may differ while a change is under way; a lasting difference needs all endpoints. */
constexpr Duration kDigestPatience = std::chrono::seconds(3);

/** In the zone a load is sent when it changes by a sixteenth of the slots, and is refreshed within
    1.5 s. To other zones it is sent when it changes by a quarter, and is refreshed within 20 s;
    the summaries keep the endpoint alive there. Refreshing each of 610 endpoints to each VM within
    2.5 s cost more than the 4 KB/s of section 1. */
constexpr Duration kNeighbourRefresh = std::chrono::milliseconds(1500);
constexpr Duration kRelayRefresh = std::chrono::seconds(20);
constexpr std::uint32_t kNeighbourLoadFraction = 16;
constexpr std::uint32_t kRelayLoadFraction = 4;

/** Two load reports of the same announcement can differ by the rounding of their age. */
constexpr Duration kSameAnnouncement = std::chrono::milliseconds(100);

std::uint16_t handleOf(const EndpointId& id)
{
  return static_cast<std::uint16_t>(fingerprintOf(id.value));
}

bool sameBesidesLoad(const Announcement& a, const Announcement& b)
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
std::span<const std::uint32_t> findPlaces(const Map& map, const Key& key)
{
  const auto found = map.find(key);
  if (found == map.end()) {
    return {};
  }
  return found->second;
}

void change(std::vector<std::uint32_t>& places, std::uint32_t place, bool add)
{
  std::erase(places, place);
  if (add) {
    places.push_back(place);
  }
}

} // namespace

void EndpointRegistry::announce(Time now, Announcement announcement)
{
  announcement.announced = now;
  announcement.slots = std::max(announcement.slots, 1U);
  const auto known = byId_.find(announcement.id);
  if (known != byId_.end()) {
    const Time before = endpoints_[known->second].announcement.announced;
    announcement.announced = std::max(now, before + Duration(1));
  }
  store(now, announcement, ProcessId());
}

void EndpointRegistry::receive(Time now, const ProcessId& from, const RegistryDelta& delta)
{
  for (Announcement announcement : delta.announcements) {
    announcement.announced = std::min(announcement.announced, now);
    const auto known = byId_.find(announcement.id);
    const bool newer = known == byId_.end() ||
                       announcement.announced > endpoints_[known->second].announcement.announced ||
                       (announcement.leaving && !endpoints_[known->second].announcement.leaving &&
                        announcement.announced + kSameAnnouncement >
                          endpoints_[known->second].announcement.announced);
    if (newer && now - announcement.announced < kAnnouncementLife) {
      store(now, announcement, from);
    }
  }
  removeMissing(delta);
  removeGone(delta);
  bool unknown = false;
  for (const auto& report : delta.loads) {
    storeLoad(now, report, from, unknown);
  }
  if (unknown) {
    request(now, from, ZoneId());
  }
  for (const auto& summary : delta.summaries) {
    compare(now, summary, from);
  }
}

void EndpointRegistry::request(Time now, const ProcessId& from, const ZoneId& zone)
{
  if (now >= nextRequest_) {
    nextRequest_ = now + kRequestInterval;
    outgoing_.push_back({ from, RegistryRequest{ zone } });
  }
}

void EndpointRegistry::compare(Time now, const ZoneSummary& summary, const ProcessId& source)
{
  auto& zone = zones_[summary.zone];
  const auto older = static_cast<std::int32_t>(zone.second - summary.second);
  if (summary.zone == zone_ || (older >= 0 && older < kClockJumpSeconds)) {
    return;
  }
  zone.second = summary.second;
  summariesToPass_.push_back(summary);
  if (zone.digest == summary.digest) {
    zone.differsSince = Time{};
    for (auto& endpoint : endpoints_) {
      if (endpoint.live && endpoint.announcement.zone == summary.zone) {
        endpoint.confirmed = now;
      }
    }
    return;
  }
  if (zone.differsSince == Time{}) {
    zone.differsSince = now;
  } else if (now - zone.differsSince >= kDigestPatience) {
    zone.differsSince = now;
    request(now, source, summary.zone);
  }
}

void EndpointRegistry::removeMissing(const RegistryDelta& delta)
{
  for (const auto& zone : delta.complete) {
    for (std::uint32_t place = 0; place < endpoints_.size(); ++place) {
      const auto& endpoint = endpoints_[place];
      const auto isSame = [&](const Announcement& other) {
        return other.id == endpoint.announcement.id;
      };
      const bool listed =
        std::any_of(delta.announcements.begin(), delta.announcements.end(), isSame);
      if (endpoint.live && endpoint.announcement.zone == zone && zone != zone_ && !listed) {
        remove(place);
      }
    }
  }
}

void EndpointRegistry::removeGone(const RegistryDelta& delta)
{
  for (const auto& id : delta.gone) {
    const auto known = byId_.find(id);
    if (known == byId_.end() || endpoints_[known->second].announcement.zone == zone_) {
      continue;
    }
    remove(known->second);
    goneToPass_.push_back(id);
  }
}

void EndpointRegistry::receive(Time /*now*/, const ProcessId& from, const RegistryRequest& request)
{
  RegistryDelta answer;
  for (const auto& endpoint : endpoints_) {
    if (endpoint.live && (request.zone.empty() || endpoint.announcement.zone == request.zone)) {
      answer.announcements.push_back(endpoint.announcement);
    }
  }
  if (!request.zone.empty()) {
    answer.complete.push_back(request.zone);
  }
  outgoing_.push_back({ from, std::move(answer) });
}

std::uint32_t EndpointRegistry::place(const Announcement& announcement)
{
  const auto known = byId_.find(announcement.id);
  if (known != byId_.end()) {
    return known->second;
  }
  if (freePlaces_.empty()) {
    freePlaces_.push_back(static_cast<std::uint32_t>(endpoints_.size()));
    endpoints_.emplace_back();
  }
  const auto free = freePlaces_.back();
  freePlaces_.pop_back();
  endpoints_[free] = Endpoint{};
  endpoints_[free].generation = ++generations_;
  endpoints_[free].hash = fingerprintOf(announcement.id.value);
  byId_.emplace(announcement.id, free);
  byHandle_.emplace(handleOf(announcement.id), free);
  return free;
}

void EndpointRegistry::store(Time now, const Announcement& announcement, const ProcessId& source)
{
  const auto at = place(announcement);
  auto& endpoint = endpoints_[at];
  const bool whole = !endpoint.live || !sameBesidesLoad(endpoint.announcement, announcement);
  const bool startsLeaving = announcement.leaving && endpoint.leavingSince == Time{};
  if (whole && endpoint.live) {
    index(at, false);
  }
  endpoint.announcement = announcement;
  endpoint.confirmed = std::max(endpoint.confirmed, announcement.announced);
  endpoint.live = true;
  if (whole) {
    index(at, true);
  }
  if (!announcement.leaving) {
    endpoint.leavingSince = Time{};
  } else if (startsLeaving) {
    endpoint.leavingSince = now;
  }
  enqueue(now, at, source, whole);
  if (startsLeaving) {
    flushToNeighbours(now);
    flushToRelays(now);
  }
}

void EndpointRegistry::storeLoad(Time now,
                                 const LoadReport& report,
                                 const ProcessId& source,
                                 bool& unknown)
{
  const auto [first, last] = byHandle_.equal_range(report.handle);
  if (first == last) {
    unknown = true;
    return;
  }
  if (std::next(first) != last) {
    return;
  }
  auto& endpoint = endpoints_[first->second];
  const Time announced = now - kAgeStep * report.age;
  if (announced <= endpoint.announcement.announced + kSameAnnouncement) {
    return;
  }
  endpoint.announcement.announced = announced;
  endpoint.confirmed = std::max(endpoint.confirmed, announced);
  endpoint.announcement.running = report.running;
  endpoint.announcement.waiting = report.waiting;
  enqueue(now, first->second, source, false);
}

bool EndpointRegistry::isRelay(const ProcessId& source) const
{
  return std::find(peers_.relays.begin(), peers_.relays.end(), source) != peers_.relays.end();
}

bool EndpointRegistry::loadWorthSending(Time now, std::uint32_t place, bool toRelays)
{
  const auto& latest = endpoints_[place].announcement;
  auto& sent = toRelays ? sentToRelays_[place] : sentToNeighbours_[place];
  const std::uint32_t load = latest.running + latest.waiting;
  const std::uint32_t change = load > sent.load ? load - sent.load : sent.load - load;
  const std::uint32_t fraction = toRelays ? kRelayLoadFraction : kNeighbourLoadFraction;
  const bool due = now - sent.at >= (toRelays ? kRelayRefresh : kNeighbourRefresh);
  if (!due && change * fraction < std::max(latest.slots, fraction)) {
    return false;
  }
  sent = { now, load };
  return true;
}

/** Only the VM that heard an endpoint first-hand holds back small changes in the zone, and only the
    relay does so towards other zones; a VM in between passes on what it gets. */
void EndpointRegistry::enqueue(Time now, std::uint32_t place, const ProcessId& source, bool whole)
{
  const auto add = [&](PendingMap& pending) {
    auto [entry, added] = pending.try_emplace(place, Pending{ whole, source });
    if (!added) {
      entry->second.whole = entry->second.whole || whole;
      entry->second.source = entry->second.source == source ? source : ProcessId();
    }
  };
  const bool firstHand = source.empty();
  if (!peers_.neighbours.empty() && (whole || !firstHand || loadWorthSending(now, place, false))) {
    add(forNeighbours_);
  }
  if (!peers_.relays.empty() && !isRelay(source) && (whole || loadWorthSending(now, place, true))) {
    add(forRelays_);
  }
}

void EndpointRegistry::tick(Time now)
{
  for (std::uint32_t place = 0; place < endpoints_.size(); ++place) {
    const auto& endpoint = endpoints_[place];
    if (!endpoint.live || now - endpoint.confirmed < kAnnouncementLife) {
      continue;
    }
    if (endpoint.announcement.zone == zone_ && !peers_.relays.empty()) {
      expiredHere_.push_back(endpoint.announcement.id);
    }
    remove(place);
  }
  if (now >= nextNeighbourFlush_) {
    nextNeighbourFlush_ = now + kNeighbourFlush;
    flushToNeighbours(now);
  }
  if (now >= nextRelayFlush_) {
    nextRelayFlush_ = now + kRelayFlush;
    flushToRelays(now);
  }
}

void EndpointRegistry::flushToNeighbours(Time now)
{
  flush(now, peers_.neighbours, forNeighbours_);
  summariesToPass_.clear();
  goneToPass_.clear();
}

void EndpointRegistry::flushToRelays(Time now)
{
  flush(now, peers_.relays, forRelays_);
  expiredHere_.clear();
}

void EndpointRegistry::remove(std::uint32_t place)
{
  auto& endpoint = endpoints_[place];
  index(place, false);
  byId_.erase(endpoint.announcement.id);
  const auto [first, last] = byHandle_.equal_range(handleOf(endpoint.announcement.id));
  byHandle_.erase(
    std::find_if(first, last, [place](const auto& entry) { return entry.second == place; }));
  forNeighbours_.erase(place);
  forRelays_.erase(place);
  sentToNeighbours_.erase(place);
  sentToRelays_.erase(place);
  endpoint.live = false;
  freePlaces_.push_back(place);
}

void EndpointRegistry::index(std::uint32_t place, bool add)
{
  const auto& latest = endpoints_[place].announcement;
  zones_[latest.zone].digest ^= digestOf(latest);
  if (latest.kind == WorkKind::plain) {
    change(byService_[latest.service], place, add);
    return;
  }
  for (const auto& model : latest.models) {
    change(byModel_[model], place, add);
  }
}

void EndpointRegistry::flush(Time now, const std::vector<ProcessId>& links, PendingMap& pending)
{
  for (const auto& link : links) {
    auto delta = makeDelta(now, link, pending);
    const bool empty = delta.announcements.empty() && delta.loads.empty() &&
                       delta.summaries.empty() && delta.gone.empty();
    if (!empty) {
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
  for (const auto& [place, change] : pending) {
    if (change.source == link) {
      continue;
    }
    const auto& latest = endpoints_[place].announcement;
    const auto handle = handleOf(latest.id);
    if (change.whole || byHandle_.count(handle) > 1) {
      delta.announcements.push_back(latest);
      continue;
    }
    const auto steps = std::clamp<std::int64_t>((now - latest.announced) / kAgeStep, 0, 255);
    delta.loads.push_back(
      { handle, latest.running, latest.waiting, static_cast<std::uint8_t>(steps) });
  }
  if (!isRelay(link)) {
    delta.summaries = summariesToPass_;
    delta.gone = goneToPass_;
    return delta;
  }
  const auto own = zones_.find(zone_);
  const auto second = static_cast<std::uint32_t>(now.micros / 1'000'000);
  delta.summaries.push_back({ zone_, own == zones_.end() ? 0 : own->second.digest, second });
  delta.gone = expiredHere_;
  return delta;
}

std::vector<Outgoing> EndpointRegistry::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::span<const std::uint32_t> EndpointRegistry::endpointsServing(const ModelName& model) const
{
  return findPlaces(byModel_, model);
}

std::span<const std::uint32_t> EndpointRegistry::endpointsServing(const ServiceName& service) const
{
  return findPlaces(byService_, service);
}

std::optional<std::uint32_t> EndpointRegistry::find(const EndpointId& id) const
{
  const auto found = byId_.find(id);
  if (found == byId_.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace figchute::routing
