#pragma once

#include "core/Random.h"
#include "routing/EndpointRegistry.h"
#include "routing/Router.h"

#include <map>
#include <string>
#include <vector>

namespace figchute::measure {

/** The baseline `fifo_random`: sends each request immediately to a random live endpoint, which
    serves its queue in order of arrival. It has the functions of routing::Router that the
    experiments use and the same registry, but no ranks, shares, limits or early refusals.
    Thread safety: use one instance from one thread only. */
class FifoRandomRouter
{
public:
  explicit FifoRandomRouter(const routing::RouterOptions& options)
    : random_(options.seed)
    , registry_(options.zone)
  {
  }

  void setPolicy(const routing::Policy& /*policy*/) {}
  void setPeers(routing::Peers peers) { registry_.setPeers(std::move(peers)); }
  tl::expected<routing::Accepted, routing::Refusal> submit(Time now,
                                                           routing::RequestInfo requestInfo);
  void tick(Time now) { registry_.tick(now); }
  std::vector<routing::Action> takeActions() { return std::exchange(actions_, {}); }
  void firstToken(Time /*now*/, const RequestId& /*id*/) {}
  void progress(Time now, const RequestId& id, Tokens tokens);
  void finished(Time /*now*/, const RequestId& id, routing::Outcome /*outcome*/)
  {
    jobs_.erase(id);
  }
  void cancelled(Time /*now*/, const RequestId& /*id*/) {}
  Expected<routing::Dispatch> retry(Time now, const RequestId& id, routing::AttemptFailure failure);
  void announce(Time now, routing::Announcement announcement);
  void receive(Time now, const ProcessId& from, const routing::Message& message);
  std::vector<routing::OutgoingMessage> takeOutgoing() { return registry_.takeOutgoing(); }

private:
  struct Job
  {
    routing::RequestInfo requestInfo;
    std::uint32_t attemptCount = 0;
    Tokens generatedTokens;
  };

  Expected<routing::Dispatch> dispatchToRandomEndpoint(Job& job);

  Random random_;
  routing::EndpointRegistry registry_;
  std::map<RequestId, Job> jobs_;
  std::vector<routing::Action> actions_;
};

} // namespace figchute::measure
