#include "routing/RouterCore.h"

#include <algorithm>
#include <utility>

/** The part of Router::Core that describes its state. */
namespace figchute::routing {

std::optional<EndpointId> Router::Core::endpointOf(const RequestId& id) const
{
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.state != JobState::running) {
    return std::nullopt;
  }
  return found->second.endpoint;
}

EndpointView Router::Core::viewOf(Time now, std::uint32_t place) const
{
  const auto& endpoint = registry_.at(place);
  const auto& latest = endpoint.announcement;
  EndpointView view;
  view.id = latest.id;
  view.address = latest.address;
  view.zone = latest.zone;
  view.kind = latest.kind;
  view.models = latest.models;
  view.service = latest.service;
  view.slots = latest.slots;
  view.running = latest.running;
  view.waiting = latest.waiting;
  view.limit = latest.slots;
  view.age = now - latest.announced;
  view.leaving = latest.leaving;
  view.ejected = outliers_.isEjected(now, latest.id);
  view.checksFencing = latest.checksFencing;
  if (place < states_.size() && states_[place].generation == endpoint.generation) {
    view.ownInFlight = states_[place].load.own();
    view.limit = states_[place].limit.value();
  }
  return view;
}

std::vector<WorkspaceView> Router::Core::workspaceViews(Time now) const
{
  std::map<WorkspaceId, std::uint32_t> queued;
  for (const auto& [model, line] : lines_) {
    line.queue.countQueued(queued);
  }
  std::map<WorkspaceId, std::uint32_t> running;
  for (const auto& [id, job] : jobs_) {
    queued.try_emplace(job.work.workspace, 0);
    running[job.work.workspace] += job.state == JobState::queued ? 0 : 1;
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
  for (const auto& [model, line] : lines_) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      dump.queued[i] += static_cast<std::uint32_t>(line.queue.size(static_cast<Rank>(i)));
    }
  }
  for (std::uint32_t place = 0; place < registry_.size(); ++place) {
    if (registry_.at(place).live) {
      dump.endpoints.push_back(viewOf(now, place));
    }
  }
  dump.workspaces = workspaceViews(now);
  dump.plainSubmitted = plainSubmitted_;
  dump.plainRefused = plainRefused_;
  return dump;
}

} // namespace figchute::routing
