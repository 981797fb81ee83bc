#include "dispatch/BrittleEndpoints.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace figchute::dispatch {
namespace {

/** The processes plan with this part of the refusals. The rest is left for the first refusals of an
    overload, when many processes have the same old load reports. */
constexpr double kPlannedPart = 0.5;
constexpr double kMinPlannedRefusals = 0.1;
/** The part of the slots that every process uses if an endpoint does not survive one refusal of
   each process in a second. Only some use the rest, because reports are old. When the load of 68
    processes rose from half of the capacity to three times as much at once, and an endpoint
   survived 24 refusals, there were at most 22 in a second; with 0.5 there were 28. */
constexpr double kCommonPart = 0.4;
/** From this part of the slots on, a process waits for the answer to one request before it sends
    the next one, so that it is refused only once before its back-off. */
constexpr double kSinglePart = 0.5;
/** A load report counts for this time. Without a limit, a process that saw a full endpoint would
    never send to it again. With 0.5 s, a sudden overload caused a third more refusals. */
constexpr Duration kReportAge = std::chrono::seconds(1);

} // namespace

void BrittleEndpoints::setProcesses(const ProcessId& self,
                                    std::span<const fleet::EntryProcess> processes)
{
  self_ = fingerprintOf(self.value);
  processes_.clear();
  for (const auto& process : processes) {
    processes_.push_back(fingerprintOf(process.holder.process.value));
  }
}

void BrittleEndpoints::recordAnswer(const Endpoint& endpoint,
                                    Time sentAt,
                                    std::optional<double> maxRefusals)
{
  const auto& service = endpoint.record.service;
  if (!maxRefusals && !services_.contains(service)) {
    return;
  }
  auto& report = reports_[endpoint.incarnation];
  // The answer to an earlier request may have been written before.
  if (sentAt < report.sentAt) {
    return;
  }
  const bool isChange = report.maxRefusals != maxRefusals;
  report.service = service;
  report.sentAt = sentAt;
  report.maxRefusals = maxRefusals;
  if (isChange) {
    updateService(service);
  }
}

void BrittleEndpoints::updateService(const ServiceName& service)
{
  std::optional<double> lowest;
  for (const auto& [incarnation, report] : reports_) {
    if (report.service == service && report.maxRefusals) {
      lowest = std::min(lowest.value_or(*report.maxRefusals), *report.maxRefusals);
    }
  }
  const auto known = services_.find(service);
  const bool wasBrittle = known != services_.end();
  if (lowest) {
    services_[service] = *lowest;
  } else if (wasBrittle) {
    services_.erase(known);
    std::erase_if(reports_,
                  [&service](const auto& item) { return item.second.service == service; });
  }
  if (wasBrittle != lowest.has_value()) {
    changes_.push_back({ service, lowest });
  }
}

std::optional<double> BrittleEndpoints::maxRefusalsOf(const Endpoint& endpoint) const
{
  if (services_.empty()) {
    return std::nullopt;
  }
  if (const auto report = reports_.find(endpoint.incarnation); report != reports_.end()) {
    return report->second.maxRefusals;
  }
  const auto service = services_.find(endpoint.record.service);
  return service == services_.end() ? std::nullopt : std::optional(service->second);
}

bool BrittleEndpoints::isBrittle(const Endpoint& endpoint) const
{
  return maxRefusalsOf(endpoint).has_value();
}

double BrittleEndpoints::plannedRefusals(double maxRefusals)
{
  return std::max(maxRefusals * kPlannedPart, kMinPlannedRefusals);
}

double BrittleEndpoints::plannedShare(double maxRefusals) const
{
  return plannedRefusals(maxRefusals) /
         static_cast<double>(std::max<std::size_t>(processes_.size(), 1));
}

void BrittleEndpoints::recordRefusal(Time now, const Endpoint& endpoint)
{
  const auto maxRefusals = maxRefusalsOf(endpoint);
  const auto report = reports_.find(endpoint.incarnation);
  if (!maxRefusals || report == reports_.end()) {
    return;
  }
  ++refusals_;
  // The processes that are refused together do not return together.
  const auto weight = routing::rendezvousWeight(self_, endpoint.incarnation);
  const double phase = std::ldexp(static_cast<double>(weight), -64);
  const double seconds = std::max(1 / plannedShare(*maxRefusals), 1.0) * (1 + phase);
  const std::chrono::duration<double> backoff(seconds);
  const std::chrono::duration<double> maxBackoff(kMaxBackoff);
  report->second.backoffEnd =
    now + std::chrono::duration_cast<Duration>(std::min(backoff, maxBackoff));
}

bool BrittleEndpoints::maySend(Time now, const Endpoint& endpoint) const
{
  const auto maxRefusals = maxRefusalsOf(endpoint);
  if (!maxRefusals) {
    return true;
  }
  const auto report = reports_.find(endpoint.incarnation);
  if (report != reports_.end() && now < report->second.backoffEnd) {
    return false;
  }
  const double slots = std::max(endpoint.slots, 1);
  const double load = endpoint.load.current();
  if (now - endpoint.lastReportAt > kReportAge) {
    return endpoint.unansweredSends == 0;
  }
  if (load + 1 > slots || (load >= kSinglePart * slots && endpoint.unansweredSends > 0)) {
    return false;
  }
  const bool survivesAll = *maxRefusals >= static_cast<double>(processes_.size());
  return survivesAll || load + 1 <= std::max(kCommonPart * slots, 1.0) ||
         mayFill(endpoint, *maxRefusals);
}

bool BrittleEndpoints::mayFill(const Endpoint& endpoint, double maxRefusals) const
{
  const auto weight = routing::rendezvousWeight(self_, endpoint.incarnation);
  const auto before = std::count_if(processes_.begin(), processes_.end(), [&](Fingerprint process) {
    return routing::rendezvousWeight(process, endpoint.incarnation) > weight;
  });
  return static_cast<double>(before) < std::max(std::floor(plannedRefusals(maxRefusals)), 1.0);
}

void BrittleEndpoints::retain(EndpointTable& endpoints)
{
  if (reports_.empty()) {
    return;
  }
  std::set<std::uint64_t> present;
  for (const auto& [handle, endpoint] : endpoints.all()) {
    present.insert(endpoint.incarnation);
  }
  std::erase_if(reports_, [&](const auto& item) { return !present.contains(item.first); });
  const auto known = services_;
  for (const auto& [service, maxRefusals] : known) {
    updateService(service);
  }
}

} // namespace figchute::dispatch
