#include "DispatchPolicy.h"

#include <algorithm>

namespace figchute::measure {
namespace {

class FigchutePolicy : public DispatchPolicy
{
public:
  explicit FigchutePolicy(dispatch::DispatcherSettings settings)
    : dispatcher_(std::move(settings))
  {
  }

  dispatch::Dispatcher& dispatcher() { return dispatcher_; }

  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints) override
  {
    dispatcher_.setEndpoints(now, endpoints);
  }
  tl::expected<dispatch::Choice, dispatch::Refusal>
  choose(Time now, const dispatch::Work& work, std::span<const EndpointId> excluded) override
  {
    return dispatcher_.choose(now, work, excluded);
  }
  void firstByte(Time now, std::uint64_t workId) override { dispatcher_.firstByte(now, workId); }
  void progress(Time now, std::uint64_t workId, std::int64_t tokens) override
  {
    dispatcher_.progress(now, workId, tokens);
  }
  void finished(Time now, std::uint64_t workId, dispatch::Outcome outcome) override
  {
    dispatcher_.finished(now, workId, outcome);
  }
  void forget(std::uint64_t workId) override { dispatcher_.forget(workId); }
  void load(Time now, const EndpointId& id, const dispatch::LoadReport& report) override
  {
    dispatcher_.load(now, id, report);
  }
  void addCrashes(Time now, std::uint64_t fingerprint, std::uint64_t crashes) override
  {
    dispatcher_.addCrashes(now, fingerprint, crashes);
  }
  std::vector<std::uint64_t> takeCrashes() override { return dispatcher_.takeCrashes(); }
  std::vector<std::uint64_t> takeStalled() override { return dispatcher_.takeStalled(); }
  void tick(Time now) override { dispatcher_.tick(now); }

private:
  dispatch::Dispatcher dispatcher_;
};

class BaselinePolicy : public DispatchPolicy
{
public:
  BaselinePolicy(routing::ChoiceStrategy strategy, std::uint64_t seed)
    : strategy_(strategy)
    , chooser_(seed)
  {
  }

  void setEndpoints(Time /*now*/, std::span<const fleet::EndpointRecord> endpoints) override
  {
    records_.assign(endpoints.begin(), endpoints.end());
  }

  tl::expected<dispatch::Choice, dispatch::Refusal>
  choose(Time now, const dispatch::Work& work, std::span<const EndpointId> excluded) override
  {
    std::vector<routing::EndpointCandidate> candidates;
    for (std::uint32_t i = 0; i < records_.size(); ++i) {
      const auto& id = records_[i].id;
      const bool out = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
      if (records_[i].service != work.service || out) {
        continue;
      }
      routing::EndpointCandidate candidate;
      candidate.endpointIndex = i;
      candidate.ownZone = true;
      candidate.load = loads_[id].current();
      candidate.limit = records_[i].slots;
      candidates.push_back(candidate);
    }
    const auto chosen = chooser_.choose(strategy_, {}, candidates);
    if (!chosen || static_cast<int>(excluded.size()) >= work.maxAttempts) {
      return tl::unexpected<dispatch::Refusal>(dispatch::Refusal{});
    }
    const auto& record = records_[candidates[*chosen].endpointIndex];
    loads_[record.id].adjustOwnRequests(now, 1);
    sends_[work.id] = record.id;
    return dispatch::Choice{ record.id, record.address };
  }

  void firstByte(Time /*now*/, std::uint64_t /*workId*/) override {}
  void progress(Time /*now*/, std::uint64_t /*workId*/, std::int64_t /*tokens*/) override {}
  void finished(Time now, std::uint64_t workId, dispatch::Outcome /*outcome*/) override
  {
    const auto found = sends_.find(workId);
    if (found != sends_.end()) {
      loads_[found->second].adjustOwnRequests(now, -1);
      sends_.erase(found);
    }
  }
  void forget(std::uint64_t workId) override { sends_.erase(workId); }
  void load(Time now, const EndpointId& id, const dispatch::LoadReport& report) override
  {
    loads_[id].report(now, static_cast<std::uint32_t>(report.running + report.waiting));
  }
  void addCrashes(Time /*now*/, std::uint64_t /*print*/, std::uint64_t /*crashes*/) override {}
  std::vector<std::uint64_t> takeCrashes() override { return {}; }
  std::vector<std::uint64_t> takeStalled() override { return {}; }
  void tick(Time /*now*/) override {}

private:
  routing::ChoiceStrategy strategy_;
  routing::EndpointChooser chooser_;
  std::vector<fleet::EndpointRecord> records_;
  std::map<EndpointId, routing::LoadEstimate> loads_;
  std::map<std::uint64_t, EndpointId> sends_;
};

} // namespace

std::unique_ptr<DispatchPolicy> makeFigchute(const ZoneId& zone,
                                             std::size_t entries,
                                             std::span<const fleet::ServiceSettings> services,
                                             std::uint64_t seed)
{
  dispatch::DispatcherSettings settings;
  settings.zone = zone;
  settings.seed = seed;
  auto policy = std::make_unique<FigchutePolicy>(settings);
  policy->dispatcher().setServices(Time{ 0 }, services);
  policy->dispatcher().setPeers(entries);
  return policy;
}

std::unique_ptr<DispatchPolicy> makeBaseline(routing::ChoiceStrategy strategy, std::uint64_t seed)
{
  return std::make_unique<BaselinePolicy>(strategy, seed);
}

} // namespace figchute::measure
