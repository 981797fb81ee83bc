#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

/** The part of Router::Core that reports its state. */
namespace figchute::routing {

std::optional<EndpointId> Router::Core::endpointOf(const RequestId& id) const
{
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end() || entry->second.state != JobState::running) {
    return std::nullopt;
  }
  return entry->second.endpoint;
}

EndpointView Router::Core::viewOf(Time now, std::uint32_t endpointIndex) const
{
  const auto& endpoint = registry_.at(endpointIndex);
  const auto& announcement = endpoint.announcement;
  EndpointView view;
  view.id = announcement.id;
  view.address = announcement.address;
  view.zone = announcement.zone;
  view.kind = announcement.kind;
  view.models = announcement.models;
  view.service = announcement.service;
  view.slots = announcement.slots;
  view.running = announcement.running;
  view.waiting = announcement.waiting;
  view.limit = announcement.slots;
  view.age = now - announcement.announcedAt;
  view.leaving = announcement.leaving;
  view.ejected = outliers_.isEjected(now, announcement.id);
  view.checksFencing = announcement.checksFencing;
  if (endpointIndex < endpointStates_.size() &&
      endpointStates_[endpointIndex].generation == endpoint.generation) {
    view.ownInFlight = endpointStates_[endpointIndex].load.ownRequests();
    view.limit = endpointStates_[endpointIndex].limit.value();
  }
  return view;
}

std::vector<WorkspaceView> Router::Core::workspaceViews(Time now) const
{
  std::map<WorkspaceId, std::uint32_t> queued;
  for (const auto& [model, modelState] : modelStates_) {
    modelState.queue.countQueued(queued);
  }
  std::map<WorkspaceId, std::uint32_t> running;
  for (const auto& [id, job] : jobs_) {
    queued.try_emplace(job.requestInfo.workspace, 0);
    running[job.requestInfo.workspace] += job.state == JobState::queued ? 0 : 1;
  }
  std::vector<WorkspaceView> views;
  views.reserve(queued.size());
  for (const auto& [id, count] : queued) {
    views.push_back({ id, count, running[id], totals_.total(now, id) });
  }
  return views;
}

RouterDump Router::Core::dump(Time now) const
{
  RouterDump dump;
  dump.ranks = counters_;
  for (const auto& [model, modelState] : modelStates_) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      dump.queued[i] += static_cast<std::uint32_t>(modelState.queue.size(static_cast<Rank>(i)));
    }
  }
  for (std::uint32_t endpointIndex = 0; endpointIndex < registry_.size(); ++endpointIndex) {
    if (registry_.at(endpointIndex).live) {
      dump.endpoints.push_back(viewOf(now, endpointIndex));
    }
  }
  dump.workspaces = workspaceViews(now);
  dump.plainSubmitted = plainSubmitted_;
  dump.plainRefused = plainRefused_;
  return dump;
}

} // namespace figchute::routing
