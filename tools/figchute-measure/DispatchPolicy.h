#pragma once

#include "core/Random.h"
#include "dispatch/dispatch.h"
#include "routing/EndpointChooser.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** A policy of the dispatch experiments: the real dispatcher or a baseline. */
class DispatchPolicy
{
public:
  DispatchPolicy() = default;
  virtual ~DispatchPolicy() = default;
  DispatchPolicy(const DispatchPolicy&) = delete;
  DispatchPolicy& operator=(const DispatchPolicy&) = delete;

  virtual void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints) = 0;
  virtual tl::expected<dispatch::Choice, dispatch::Refusal>
  choose(Time now, const dispatch::Work& work, std::span<const EndpointId> excluded) = 0;
  virtual void firstByte(Time now, std::uint64_t workId) = 0;
  virtual void progress(Time now, std::uint64_t workId, std::int64_t tokens) = 0;
  virtual void finished(Time now, std::uint64_t workId, dispatch::Outcome outcome) = 0;
  virtual void forget(std::uint64_t workId) = 0;
  virtual void load(Time now, const EndpointId& id, const dispatch::LoadReport& report) = 0;
  virtual void addCrashes(Time now, std::uint64_t fingerprint, std::uint64_t crashes) = 0;
  virtual std::vector<std::uint64_t> takeCrashes() = 0;
  virtual std::vector<std::uint64_t> takeStalled() = 0;
  virtual void tick(Time now) = 0;
};

/** Returns the dispatcher of the product. */
std::unique_ptr<DispatchPolicy> makeFigchute(const ZoneId& zone,
                                             std::size_t entries,
                                             std::span<const fleet::ServiceSettings> services,
                                             std::uint64_t seed);

/** Returns a baseline that knows neither prompts nor failures.
    @param strategy  random, leastLoaded or twoChoices */
std::unique_ptr<DispatchPolicy> makeBaseline(routing::ChoiceStrategy strategy, std::uint64_t seed);

} // namespace figchute::measure
