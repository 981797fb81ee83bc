#include "routing/Router.h"

#include "routing/RouterCore.h"

#include <utility>

namespace figchute::routing {

Router::Router(RouterOptions options)
  : core_(std::make_unique<Core>(std::move(options)))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::setPolicy(Policy policy)
{
  core_->setPolicy(std::move(policy));
}

void Router::setPeers(Peers peers)
{
  core_->setPeers(std::move(peers));
}

tl::expected<Accepted, Refusal> Router::submit(Time now, RequestInfo requestInfo)
{
  return core_->submit(now, std::move(requestInfo));
}

void Router::tick(Time now)
{
  core_->tick(now);
}

std::vector<Action> Router::takeActions()
{
  return core_->takeActions();
}

void Router::firstToken(Time now, const RequestId& id)
{
  core_->firstToken(now, id);
}

void Router::progress(Time now, const RequestId& id, Tokens tokens)
{
  core_->progress(now, id, tokens);
}

void Router::finished(Time now, const RequestId& id, Outcome outcome)
{
  core_->finished(now, id, outcome);
}

void Router::cancelled(Time now, const RequestId& id)
{
  core_->cancelled(now, id);
}

Expected<Dispatch> Router::retry(Time now, const RequestId& id, AttemptFailure failure)
{
  return core_->retry(now, id, failure);
}

void Router::announce(Time now, Announcement announcement)
{
  core_->announce(now, std::move(announcement));
}

void Router::receive(Time now, const ProcessId& from, const Message& message)
{
  core_->receive(now, from, message);
}

std::vector<OutgoingMessage> Router::takeOutgoing()
{
  return core_->takeOutgoing();
}

const std::array<RankCounters, kRankCount>& Router::counters() const
{
  return core_->counters();
}

std::optional<EndpointId> Router::endpointOf(const RequestId& id) const
{
  return core_->endpointOf(id);
}

std::size_t Router::inProgress() const
{
  return core_->inProgress();
}

RouterDump Router::dump(Time now) const
{
  return core_->dump(now);
}

} // namespace figchute::routing
