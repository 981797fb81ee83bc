#include "dispatch/Dispatcher.h"

#include "dispatch/DispatcherImpl.h"

namespace figchute::dispatch {

Dispatcher::Dispatcher(DispatcherSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setServices(Time now, std::span<const fleet::ServiceSettings> services)
{
  impl_->setServices(now, services);
}

void Dispatcher::setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints)
{
  impl_->setEndpoints(now, endpoints);
}

void Dispatcher::setEvacuatedZones(Time /*now*/, std::span<const ZoneId> zones)
{
  impl_->availability().setEvacuatedZones(zones);
}

bool Dispatcher::isEvacuated(const ZoneId& zone) const
{
  return impl_->availability().isEvacuated(zone);
}

std::optional<Refusal> Dispatcher::refusalWhileEvacuated(Time now,
                                                         const RequestInfo& requestInfo) const
{
  return impl_->availability().refusalWhileEvacuated(now, requestInfo);
}

void Dispatcher::setPeers(std::size_t entryProcesses)
{
  impl_->setPeers(entryProcesses);
}

void Dispatcher::setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes)
{
  impl_->limits().setProcesses(self, processes);
  impl_->conditions().brittle().setProcesses(self, processes);
}

tl::expected<ChosenEndpoint, Refusal> Dispatcher::choose(Time now,
                                                         const RequestInfo& requestInfo,
                                                         std::span<const EndpointId> excluded)
{
  return impl_->choose(now, requestInfo, excluded);
}

Explanation Dispatcher::explain(Time now, const RequestInfo& requestInfo)
{
  return impl_->explain(now, requestInfo);
}

void Dispatcher::firstByte(Time now, std::uint64_t requestId)
{
  impl_->firstByte(now, requestId);
}

void Dispatcher::progress(Time now, std::uint64_t requestId, std::int64_t tokens)
{
  impl_->progress(now, requestId, tokens);
}

void Dispatcher::finished(Time now, std::uint64_t requestId, Outcome outcome)
{
  impl_->finished(now, requestId, outcome);
}

void Dispatcher::forget(std::uint64_t requestId)
{
  impl_->forget(impl_->now(), requestId);
}

void Dispatcher::setRequestRates(std::span<const fleet::RequestRate> rates)
{
  impl_->limits().setRequestRates(rates);
}

double Dispatcher::requestsPerSecond(Time now) const
{
  return impl_->requestsPerSecond(now);
}

void Dispatcher::answerHead(Time now,
                            std::uint64_t requestId,
                            std::optional<double> requestsPerSecond)
{
  impl_->answerHead(now, requestId, requestsPerSecond);
}

void Dispatcher::responseHead(Time now, std::uint64_t requestId)
{
  impl_->responseHead(now, requestId);
}

void Dispatcher::endpointCold(Time now, std::uint64_t requestId, Duration remaining)
{
  impl_->endpointCold(now, requestId, remaining);
}

void Dispatcher::endpointBrittle(std::uint64_t requestId, std::optional<double> maxRefusals)
{
  impl_->endpointBrittle(requestId, maxRefusals);
}

void Dispatcher::setControlContact(Time sentAt)
{
  impl_->limits().cold().setContact(sentAt);
}

ConditionChanges Dispatcher::takeConditionChanges()
{
  return impl_->conditions().takeChanges();
}

void Dispatcher::closeBreakers()
{
  impl_->closeBreakers();
}

void Dispatcher::endpointLeaving(Time now, std::uint64_t requestId)
{
  impl_->endpointLeaving(now, requestId);
}

void Dispatcher::endpointBackoff(Time now, std::uint64_t requestId, Duration duration)
{
  impl_->endpointBackoff(now, requestId, duration);
}

bool Dispatcher::maySend(Time now, std::uint64_t requestId)
{
  return impl_->maySend(now, requestId);
}

std::string_view Dispatcher::stateOf(const EndpointId& endpoint) const
{
  return impl_->stateOf(endpoint);
}

bool Dispatcher::isLeaving(const EndpointId& endpoint) const
{
  return impl_->isLeaving(endpoint);
}

Duration Dispatcher::timeUntilBackoffEnds(Time now, const ServiceName& service)
{
  return impl_->availability().timeUntilBackoffEnds(now, service);
}

std::vector<EndpointRestricted> Dispatcher::takeRestrictions()
{
  return impl_->takeRestrictions();
}

void Dispatcher::addRateLimits(Time now, std::span<const fleet::RateLimit> limits)
{
  impl_->limits().addLimits(now, limits);
}

std::vector<fleet::RateLimit> Dispatcher::rateLimitsSince(Time now, Time since) const
{
  return impl_->limits().observedSince(now, since);
}

std::vector<RateLimitChange> Dispatcher::takeRateLimitChanges()
{
  return impl_->takeRateLimitChanges();
}

void Dispatcher::load(Time now, const EndpointId& endpoint, const LoadReport& report)
{
  impl_->load(now, endpoint, report);
}

void Dispatcher::addCrashReports(Time now, std::span<const fleet::CrashReport> reports)
{
  impl_->health().crashes().addReports(now, reports);
}

std::vector<ObservedCrash> Dispatcher::takeCrashes()
{
  return impl_->health().crashes().takeCrashes();
}

std::vector<fleet::CrashReport> Dispatcher::takeCrashRefutations()
{
  return impl_->health().crashes().takeRefutations();
}

std::vector<EndpointProbe> Dispatcher::takeProbes()
{
  return impl_->health().takeProbes();
}

void Dispatcher::probed(Time now, std::size_t handle, ProbeResult result)
{
  impl_->health().recordProbe(now, handle, result);
}

void Dispatcher::readingPaused(std::uint64_t requestId)
{
  impl_->readingPaused(requestId);
}

void Dispatcher::readingResumed(Time now, std::uint64_t requestId)
{
  impl_->readingResumed(now, requestId);
}

void Dispatcher::tick(Time now)
{
  impl_->tick(now);
}

std::vector<std::string> Dispatcher::takeCrashEvents()
{
  return impl_->health().crashes().takeEvents();
}

std::vector<std::string> Dispatcher::takeEvents()
{
  return impl_->takeEvents();
}

LoadBalancerFigures Dispatcher::takeLoadBalancerFigures()
{
  return impl_->takeLoadBalancerFigures();
}

std::vector<std::uint64_t> Dispatcher::takeStalled()
{
  return impl_->takeStalled();
}

} // namespace figchute::dispatch
