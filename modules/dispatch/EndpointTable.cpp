#include "dispatch/EndpointTable.h"

#include <algorithm>
#include <chrono>

namespace figchute::dispatch {

std::vector<std::size_t> EndpointTable::replace(Time now,
                                                std::span<const fleet::EndpointRecord> records)
{
  std::map<EndpointId, std::size_t> kept;
  for (const auto& record : records) {
    const auto known = byId_.find(record.id);
    if (known != byId_.end() &&
        endpoints_.at(known->second).record.startedAtMs == record.startedAtMs) {
      auto& endpoint = endpoints_.at(known->second);
      endpoint.record = record;
      kept.insert_or_assign(record.id, known->second);
      continue;
    }
    const auto place = nextPlace_++;
    auto& endpoint = endpoints_[place];
    endpoint.place = place;
    endpoint.record = record;
    endpoint.hash = fingerprintOf(record.id.value);
    endpoint.warmUntil = now + std::chrono::milliseconds(record.warmupMs);
    endpoint.slots = std::max(record.slots, 1);
    endpoint.heardAt = now;
    kept.insert_or_assign(record.id, place);
  }
  byId_ = std::move(kept);
  byService_.clear();
  std::vector<std::size_t> live;
  for (const auto& [id, place] : byId_) {
    byService_[endpoints_.at(place).record.service].push_back(place);
    live.push_back(place);
  }
  std::sort(live.begin(), live.end());
  std::vector<std::size_t> gone;
  for (const auto& [place, endpoint] : endpoints_) {
    if (!std::binary_search(live.begin(), live.end(), place)) {
      gone.push_back(place);
    }
  }
  for (const auto place : gone) {
    endpoints_.erase(place);
  }
  return gone;
}

std::span<const std::size_t> EndpointTable::ofService(const ServiceName& service) const
{
  const auto found = byService_.find(service);
  return found == byService_.end() ? std::span<const std::size_t>() : found->second;
}

Endpoint* EndpointTable::find(std::size_t place)
{
  const auto found = endpoints_.find(place);
  return found == endpoints_.end() ? nullptr : &found->second;
}

Endpoint* EndpointTable::find(const EndpointId& id)
{
  const auto found = byId_.find(id);
  return found == byId_.end() ? nullptr : find(found->second);
}

std::size_t EndpointTable::openBreakers(const ServiceName& service)
{
  std::size_t open = 0;
  for (const auto place : ofService(service)) {
    open += endpoints_.at(place).breaker.isOpen() ? 1 : 0;
  }
  return open;
}

} // namespace figchute::dispatch
