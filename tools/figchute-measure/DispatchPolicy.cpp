#include "DispatchPolicy.h"

#include <algorithm>

namespace figchute::measure {
namespace {

class FigchuteDispatchPolicy : public DispatchPolicy
{
public:
  explicit FigchuteDispatchPolicy(dispatch::DispatcherSettings settings)
    : dispatcher_(std::move(settings))
  {
  }

  dispatch::Dispatcher& dispatcher() { return dispatcher_; }

  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints) override
  {
    dispatcher_.setEndpoints(now, endpoints);
  }
  tl::expected<dispatch::ChosenEndpoint, dispatch::Refusal> chooseEndpoint(
    Time now,
    const dispatch::RequestInfo& requestInfo,
    std::span<const EndpointId> excluded) override
  {
    return dispatcher_.choose(now, requestInfo, excluded);
  }
  void recordFirstByte(Time now, std::uint64_t requestId) override
  {
    dispatcher_.firstByte(now, requestId);
  }
  void recordProgress(Time now, std::uint64_t requestId, std::int64_t tokens) override
  {
    dispatcher_.progress(now, requestId, tokens);
  }
  void finishAttempt(Time now, std::uint64_t requestId, dispatch::Outcome outcome) override
  {
    dispatcher_.finished(now, requestId, outcome);
  }
  void removeRequest(std::uint64_t requestId) override { dispatcher_.forget(requestId); }
  void reportLoad(Time now, const EndpointId& id, const dispatch::LoadReport& report) override
  {
    dispatcher_.load(now, id, report);
  }
  void addCrashReports(Time now, std::span<const fleet::CrashReport> reports) override
  {
    dispatcher_.addCrashReports(now, reports);
  }
  std::vector<fleet::CrashReport> takeCrashReports() override
  {
    auto reports = dispatcher_.takeCrashRefutations();
    for (auto& crash : dispatcher_.takeCrashes()) {
      reports.push_back(std::move(crash.report));
    }
    return reports;
  }
  std::vector<std::uint64_t> takeStalledRequests() override { return dispatcher_.takeStalled(); }
  void tick(Time now) override { dispatcher_.tick(now); }

private:
  dispatch::Dispatcher dispatcher_;
};

class BaselinePolicy : public DispatchPolicy
{
public:
  BaselinePolicy(routing::SelectionStrategy strategy, std::uint64_t seed)
    : strategy_(strategy)
    , endpointSelector_(seed)
  {
  }

  void setEndpoints(Time /*now*/, std::span<const fleet::EndpointRecord> endpoints) override
  {
    endpointRecords_.assign(endpoints.begin(), endpoints.end());
  }

  tl::expected<dispatch::ChosenEndpoint, dispatch::Refusal> chooseEndpoint(
    Time now,
    const dispatch::RequestInfo& requestInfo,
    std::span<const EndpointId> excluded) override
  {
    std::vector<routing::EndpointCandidate> candidates;
    for (std::uint32_t i = 0; i < endpointRecords_.size(); ++i) {
      const auto& id = endpointRecords_[i].id;
      const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
      if (endpointRecords_[i].service != requestInfo.service || isExcluded) {
        continue;
      }
      routing::EndpointCandidate candidate;
      candidate.endpointIndex = i;
      candidate.ownZone = true;
      candidate.load = loadEstimates_[id].current();
      candidate.limit = endpointRecords_[i].slots;
      candidates.push_back(candidate);
    }
    const auto chosenIndex = endpointSelector_.choose(strategy_, {}, candidates);
    if (!chosenIndex || static_cast<int>(excluded.size()) >= requestInfo.maxAttempts) {
      return tl::unexpected<dispatch::Refusal>(dispatch::Refusal{});
    }
    const auto& record = endpointRecords_[candidates[*chosenIndex].endpointIndex];
    loadEstimates_[record.id].adjustOwnRequests(now, 1);
    endpointsByRequestId_[requestInfo.id] = record.id;
    return dispatch::ChosenEndpoint{ record.id, record.address };
  }

  void recordFirstByte(Time /*now*/, std::uint64_t /*requestId*/) override {}
  void recordProgress(Time /*now*/, std::uint64_t /*requestId*/, std::int64_t /*tokens*/) override
  {
  }
  void finishAttempt(Time now, std::uint64_t requestId, dispatch::Outcome /*outcome*/) override
  {
    const auto endpointIt = endpointsByRequestId_.find(requestId);
    if (endpointIt != endpointsByRequestId_.end()) {
      loadEstimates_[endpointIt->second].adjustOwnRequests(now, -1);
      endpointsByRequestId_.erase(endpointIt);
    }
  }
  void removeRequest(std::uint64_t requestId) override { endpointsByRequestId_.erase(requestId); }
  void reportLoad(Time now, const EndpointId& id, const dispatch::LoadReport& report) override
  {
    loadEstimates_[id].report(now, static_cast<std::uint32_t>(report.running + report.waiting));
  }
  void addCrashReports(Time /*now*/, std::span<const fleet::CrashReport> /*reports*/) override {}
  std::vector<fleet::CrashReport> takeCrashReports() override { return {}; }
  std::vector<std::uint64_t> takeStalledRequests() override { return {}; }
  void tick(Time /*now*/) override {}

private:
  routing::SelectionStrategy strategy_;
  routing::EndpointSelector endpointSelector_;
  std::vector<fleet::EndpointRecord> endpointRecords_;
  std::map<EndpointId, routing::LoadEstimate> loadEstimates_;
  std::map<std::uint64_t, EndpointId> endpointsByRequestId_;
};

} // namespace

std::unique_ptr<DispatchPolicy> makeFigchutePolicy(const ZoneId& zone,
                                                   std::size_t entryCount,
                                                   std::span<const fleet::ServiceSettings> services,
                                                   std::uint64_t seed)
{
  dispatch::DispatcherSettings settings;
  settings.zone = zone;
  settings.seed = seed;
  auto policy = std::make_unique<FigchuteDispatchPolicy>(settings);
  policy->dispatcher().setServices(Time{ 0 }, services);
  policy->dispatcher().setPeers(entryCount);
  return policy;
}

std::unique_ptr<DispatchPolicy> makeBaselinePolicy(routing::SelectionStrategy strategy,
                                                   std::uint64_t seed)
{
  return std::make_unique<BaselinePolicy>(strategy, seed);
}

} // namespace figchute::measure
