#include "dispatch/EndpointTable.h"

#include <algorithm>
#include <chrono>

namespace figchute::dispatch {

std::vector<std::size_t> EndpointTable::replace(Time now,
                                                std::span<const fleet::EndpointRecord> records)
{
  std::map<EndpointId, std::size_t> handlesById;
  for (const auto& record : records) {
    const auto existingHandle = handleById_.find(record.id);
    if (existingHandle != handleById_.end() &&
        endpoints_.at(existingHandle->second).record.startedAtMs == record.startedAtMs) {
      auto& endpoint = endpoints_.at(existingHandle->second);
      endpoint.record = record;
      handlesById.insert_or_assign(record.id, existingHandle->second);
      continue;
    }
    const auto handle = nextHandle_++;
    auto& endpoint = endpoints_[handle];
    endpoint.handle = handle;
    endpoint.record = record;
    endpoint.hash = fingerprintOf(record.id.value);
    endpoint.incarnation =
      fingerprintOf(record.id.value, static_cast<Fingerprint>(record.startedAtMs));
    endpoint.warmupUntil = now + std::chrono::milliseconds(record.warmupMs);
    endpoint.slots = std::max(record.slots, 1);
    endpoint.lastByteAt = now;
    handlesById.insert_or_assign(record.id, handle);
  }
  handleById_ = std::move(handlesById);
  handlesByService_.clear();
  std::vector<std::size_t> liveHandles;
  for (const auto& [id, handle] : handleById_) {
    handlesByService_[endpoints_.at(handle).record.service].push_back(handle);
    liveHandles.push_back(handle);
  }
  std::sort(liveHandles.begin(), liveHandles.end());
  std::vector<std::size_t> removedHandles;
  for (const auto& [handle, endpoint] : endpoints_) {
    if (!std::binary_search(liveHandles.begin(), liveHandles.end(), handle)) {
      removedHandles.push_back(handle);
    }
  }
  for (const auto handle : removedHandles) {
    endpoints_.erase(handle);
  }
  return removedHandles;
}

std::span<const std::size_t> EndpointTable::handlesOf(const ServiceName& service) const
{
  const auto handles = handlesByService_.find(service);
  return handles == handlesByService_.end() ? std::span<const std::size_t>() : handles->second;
}

Endpoint* EndpointTable::find(std::size_t handle)
{
  const auto endpoint = endpoints_.find(handle);
  return endpoint == endpoints_.end() ? nullptr : &endpoint->second;
}

Endpoint* EndpointTable::find(const EndpointId& id)
{
  const auto handle = handleById_.find(id);
  return handle == handleById_.end() ? nullptr : find(handle->second);
}

std::size_t EndpointTable::countOpenBreakers(const ServiceName& service)
{
  std::size_t openBreakers = 0;
  for (const auto handle : handlesOf(service)) {
    openBreakers += endpoints_.at(handle).breaker.isOpen() ? 1 : 0;
  }
  return openBreakers;
}

} // namespace figchute::dispatch
