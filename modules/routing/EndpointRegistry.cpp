#include "routing/EndpointRegistry.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <utility>

namespace figchute::routing {
namespace {

constexpr Duration kNeighbourFlush = std::chrono::milliseconds(250);
constexpr Duration kRelayFlush = std::chrono::seconds(1);
constexpr Duration kRequestInterval = std::chrono::seconds(1);

/** In the zone a load is refreshed within 1.5 s, or when it changes by a sixteenth of the slots.
    To other zones it is refreshed within 2.5 s, so that one lost message does not expire an
    endpoint, or when it changes by a quarter. */
constexpr Duration kNeighbourRefresh = std::chrono::milliseconds(1500);
constexpr Duration kRelayRefresh = std::chrono::milliseconds(2500);
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
    const Time before = endpoints_[known->second].latest.announced;
    announcement.announced = std::max(now, before + Duration(1));
  }
  store(now, announcement, ProcessId());
}

void EndpointRegistry::receive(Time now, const ProcessId& from, const RegistryDelta& delta)
{
  for (Announcement announcement : delta.announcements) {
    announcement.announced = std::min(announcement.announced, now);
    const auto known = byId_.find(announcement.id);
    const bool newer =
      known == byId_.end() || announcement.announced > endpoints_[known->second].latest.announced ||
      (announcement.leaving && !endpoints_[known->second].latest.leaving &&
       announcement.announced + kSameAnnouncement > endpoints_[known->second].latest.announced);
    if (newer && now - announcement.announced < kAnnouncementLife) {
      store(now, announcement, from);
    }
  }
  bool unknown = false;
  for (const auto& report : delta.loads) {
    storeLoad(now, report, from, unknown);
  }
  if (unknown && now >= nextRequest_) {
    nextRequest_ = now + kRequestInterval;
    outgoing_.push_back({ from, RegistryRequest{} });
  }
}

void EndpointRegistry::receive(Time /*now*/,
                               const ProcessId& from,
                               const RegistryRequest& /*request*/)
{
  RegistryDelta all;
  for (const auto& endpoint : endpoints_) {
    if (endpoint.live) {
      all.announcements.push_back(endpoint.latest);
    }
  }
  outgoing_.push_back({ from, std::move(all) });
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
  const bool whole = !endpoint.live || !sameBesidesLoad(endpoint.latest, announcement);
  const bool startsLeaving = announcement.leaving && endpoint.leavingSince == Time{};
  if (whole && endpoint.live) {
    index(at, false);
  }
  endpoint.latest = announcement;
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
    flush(now, peers_.neighbours, forNeighbours_);
    flush(now, peers_.relays, forRelays_);
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
  if (announced <= endpoint.latest.announced + kSameAnnouncement) {
    return;
  }
  endpoint.latest.announced = announced;
  endpoint.latest.running = report.running;
  endpoint.latest.waiting = report.waiting;
  enqueue(now, first->second, source, false);
}

bool EndpointRegistry::isRelay(const ProcessId& source) const
{
  return std::find(peers_.relays.begin(), peers_.relays.end(), source) != peers_.relays.end();
}

bool EndpointRegistry::loadWorthSending(Time now, std::uint32_t place, bool toRelays)
{
  const auto& latest = endpoints_[place].latest;
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
    if (endpoint.live && now - endpoint.latest.announced >= kAnnouncementLife) {
      remove(place);
    }
  }
  if (now >= nextNeighbourFlush_) {
    nextNeighbourFlush_ = now + kNeighbourFlush;
    flush(now, peers_.neighbours, forNeighbours_);
  }
  if (now >= nextRelayFlush_) {
    nextRelayFlush_ = now + kRelayFlush;
    flush(now, peers_.relays, forRelays_);
  }
}

void EndpointRegistry::remove(std::uint32_t place)
{
  auto& endpoint = endpoints_[place];
  index(place, false);
  byId_.erase(endpoint.latest.id);
  const auto [first, last] = byHandle_.equal_range(handleOf(endpoint.latest.id));
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
  const auto& latest = endpoints_[place].latest;
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
    if (!delta.announcements.empty() || !delta.loads.empty()) {
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
    const auto& latest = endpoints_[place].latest;
    const auto handle = handleOf(latest.id);
    if (change.whole || byHandle_.count(handle) > 1) {
      delta.announcements.push_back(latest);
      continue;
    }
    const auto steps = std::clamp<std::int64_t>((now - latest.announced) / kAgeStep, 0, 255);
    delta.loads.push_back(
      { handle, latest.running, latest.waiting, static_cast<std::uint8_t>(steps) });
  }
  return delta;
}

std::vector<Outgoing> EndpointRegistry::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

std::span<const std::uint32_t> EndpointRegistry::serving(const ModelName& model) const
{
  return findPlaces(byModel_, model);
}

std::span<const std::uint32_t> EndpointRegistry::serving(const ServiceName& service) const
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
