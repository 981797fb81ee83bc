#include "dispatch/EndpointTable.h"

#include <algorithm>
#include <chrono>

namespace figchute::dispatch {

std::vector<std::size_t> EndpointTable::replace(Time now,
                                                std::span<const fleet::EndpointRecord> records)
{
  std::map<EndpointId, std::size_t> kept;
  for (const auto& record : records) {
    const auto existing = byId_.find(record.id);
    if (existing != byId_.end() &&
        endpoints_.at(existing->second).record.startedAtMs == record.startedAtMs) {
      auto& endpoint = endpoints_.at(existing->second);
      endpoint.record = record;
      kept.insert_or_assign(record.id, existing->second);
      continue;
    }
    const auto handle = nextHandle_++;
    auto& endpoint = endpoints_[handle];
    endpoint.handle = handle;
    endpoint.record = record;
    endpoint.hash = fingerprintOf(record.id.value);
    endpoint.warmupUntil = now + std::chrono::milliseconds(record.warmupMs);
    endpoint.slots = std::max(record.slots, 1);
    endpoint.lastByteAt = now;
    kept.insert_or_assign(record.id, handle);
  }
  byId_ = std::move(kept);
  byService_.clear();
  std::vector<std::size_t> live;
  for (const auto& [id, handle] : byId_) {
    byService_[endpoints_.at(handle).record.service].push_back(handle);
    live.push_back(handle);
  }
  std::sort(live.begin(), live.end());
  std::vector<std::size_t> removed;
  for (const auto& [handle, endpoint] : endpoints_) {
    if (!std::binary_search(live.begin(), live.end(), handle)) {
      removed.push_back(handle);
    }
  }
  for (const auto handle : removed) {
    endpoints_.erase(handle);
  }
  return removed;
}

std::span<const std::size_t> EndpointTable::handlesOf(const ServiceName& service) const
{
  const auto found = byService_.find(service);
  return found == byService_.end() ? std::span<const std::size_t>() : found->second;
}

Endpoint* EndpointTable::find(std::size_t handle)
{
  const auto found = endpoints_.find(handle);
  return found == endpoints_.end() ? nullptr : &found->second;
}

Endpoint* EndpointTable::find(const EndpointId& id)
{
  const auto found = byId_.find(id);
  return found == byId_.end() ? nullptr : find(found->second);
}

std::size_t EndpointTable::countOpenBreakers(const ServiceName& service)
{
  std::size_t open = 0;
  for (const auto handle : handlesOf(service)) {
    open += endpoints_.at(handle).breaker.isOpen() ? 1 : 0;
  }
  return open;
}

} // namespace figchute::dispatch
