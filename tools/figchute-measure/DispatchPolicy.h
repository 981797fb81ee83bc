#pragma once

#include "core/Random.h"
#include "dispatch/dispatch.h"
#include "routing/EndpointSelector.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** A policy under test in the dispatch experiments: the production dispatcher or a baseline. */
class DispatchPolicy
{
public:
  DispatchPolicy() = default;
  virtual ~DispatchPolicy() = default;
  DispatchPolicy(const DispatchPolicy&) = delete;
  DispatchPolicy& operator=(const DispatchPolicy&) = delete;

  virtual void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints) = 0;
  virtual tl::expected<dispatch::ChosenEndpoint, dispatch::Refusal> chooseEndpoint(
    Time now,
    const dispatch::RequestInfo& requestInfo,
    std::span<const EndpointId> excluded) = 0;
  virtual void recordFirstByte(Time now, std::uint64_t requestId) = 0;
  virtual void recordProgress(Time now, std::uint64_t requestId, std::int64_t tokens) = 0;
  virtual void finishAttempt(Time now, std::uint64_t requestId, dispatch::Outcome outcome) = 0;
  virtual void removeRequest(std::uint64_t requestId) = 0;
  virtual void reportLoad(Time now, const EndpointId& id, const dispatch::LoadReport& report) = 0;
  virtual void addCrashReports(Time now, std::span<const fleet::CrashReport> reports) = 0;
  /** Returns the crashes that were observed, and the reports that were refuted, since the last
   * call.
   */
  virtual std::vector<fleet::CrashReport> takeCrashReports() = 0;
  virtual std::vector<std::uint64_t> takeStalledRequests() = 0;
  virtual void tick(Time now) = 0;
};

/** Creates a policy that uses the production dispatcher. */
std::unique_ptr<DispatchPolicy> makeFigchutePolicy(const ZoneId& zone,
                                                   std::size_t entryCount,
                                                   std::span<const fleet::ServiceSettings> services,
                                                   std::uint64_t seed);

/** Creates a baseline that takes neither prompts nor failures into account.
    @param strategy  random, leastLoaded or twoChoices */
std::unique_ptr<DispatchPolicy> makeBaselinePolicy(routing::SelectionStrategy strategy,
                                                   std::uint64_t seed);

} // namespace figchute::measure
