#pragma once

#include "routing/ConcurrencyLimit.h"
#include "routing/EndpointRegistry.h"
#include "routing/EndpointSelector.h"
#include "routing/FairShareTotals.h"
#include "routing/OutlierDetector.h"
#include "routing/PreemptionPolicy.h"
#include "routing/RankQueue.h"
#include "routing/RateLimiter.h"
#include "routing/RetryPolicy.h"
#include "routing/Router.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace figchute::routing {

/** The implementation of Router: the requests in progress and the components that admit,
    schedule and retry them. */
class Router::Core
{
public:
  explicit Core(RouterOptions options);

  void setPolicy(Policy policy);
  void setPeers(Peers peers);
  tl::expected<Accepted, Refusal> submit(Time now, RequestInfo requestInfo);
  void tick(Time now);
  std::vector<Action> takeActions();
  void firstToken(Time now, const RequestId& id);
  void progress(Time now, const RequestId& id, Tokens tokens);
  void finished(Time now, const RequestId& id, Outcome outcome);
  void cancelled(Time now, const RequestId& id);
  Expected<Dispatch> retry(Time now, const RequestId& id, AttemptFailure failure);
  void announce(Time now, Announcement announcement);
  void receive(Time now, const ProcessId& from, const Message& message);
  std::vector<OutgoingMessage> takeOutgoing();
  [[nodiscard]] const std::array<RankCounters, kRankCount>& counters() const { return counters_; }
  [[nodiscard]] std::optional<EndpointId> endpointOf(const RequestId& id) const;
  [[nodiscard]] std::size_t inProgress() const { return jobs_.size(); }
  [[nodiscard]] RouterDump dump(Time now) const;

private:
  enum class JobState : std::uint8_t
  {
    queued,
    running,
    cancelling,
  };

  /** A request in progress. */
  struct Job
  {
    RequestInfo requestInfo;
    QueuedRequest queueEntry;
    JobState state = JobState::queued;
    /** Index and generation of the endpoint of the current attempt. */
    std::uint32_t endpointIndex = 0;
    std::uint64_t generation = 0;
    EndpointId endpoint;
    std::uint32_t attempts = 0;
    std::uint32_t failedAttempts = 0;
    std::uint32_t preemptions = 0;
    /** Whether an attempt was sent and is not known to have been refused. */
    bool mayHaveRun = false;
    bool hasFirstToken = false;
    /** Whether the current attempt has delivered its first token. */
    bool streaming = false;
    /** Whether the router already tried to cancel a batch request at the endpoint for this one. */
    bool preemptionTried = false;
    std::vector<EndpointId> triedEndpoints;
    Tokens generated;
    double charged = 0;
    Time dispatchedAt;
  };

  /** The state that the router keeps per endpoint in addition to the registry. */
  struct EndpointState
  {
    std::uint64_t generation = 0;
    LoadEstimate load;
    ConcurrencyLimit limit{ 1 };
    std::vector<Job*> running;
  };

  /** The queue of one model and averages over its requests. */
  struct ModelState
  {
    RankQueue queue;
    /** Smoothed time from dispatch to first token by rank, in microseconds. */
    std::array<double, kRankCount> firstTokenMicros{};
    /** Smoothed fraction of the maximum tokens that answers use, by rank. */
    std::array<double, kRankCount> usedFraction{ 0.5, 0.5, 0.5 };
  };

  tl::expected<Accepted, Refusal> submitModel(Time now, RequestInfo requestInfo);
  tl::expected<Accepted, Refusal> submitPlain(Time now, RequestInfo requestInfo);
  QueuedRequest makeQueueEntry(Time now, const RequestInfo& requestInfo);
  void refuseOverdue(Time now);
  void preemptForWaitingUrgent(Time now);
  void ejectOutliers(Time now);
  void exchangeUsage(Time now);
  void dispatchModel(Time now, const ModelName& model);
  bool dispatchNext(Time now, const ModelName& model, ModelState& modelState);
  /** This VM's share of the capacity for one model in its zone. */
  struct ZoneShare
  {
    double limit = 0;
    double inFlight = 0;
  };

  std::optional<std::uint32_t> selectEndpoint(Time now, const Job& job, double reservedFraction);
  [[nodiscard]] ZoneShare zoneShareFor(Time now, const Job& job);
  [[nodiscard]] double vmShareOf(const EndpointState& state, std::uint64_t hash) const;
  [[nodiscard]] bool canAccept(const RequestInfo& requestInfo,
                               const EndpointState& state,
                               const Endpoint& endpoint,
                               bool zoneShareFree) const;
  std::optional<std::uint32_t> selectRetryEndpoint(Time now, const Job& job);
  std::optional<std::uint32_t> preempt(Time now,
                                       const ModelName& model,
                                       const ModelState& modelState);
  bool cancelCheapestBatchJob(Time now, std::span<Job* const> jobs, std::uint32_t& endpointIndex);
  Dispatch startAttempt(Time now, Job& job, std::uint32_t endpointIndex);
  void releaseEndpoint(Time now, Job& job);
  void endJob(Time now, Job& job);
  void correctCharge(Time now, Job& job);
  EndpointState& stateAt(std::uint32_t endpointIndex);
  Job& findJob(const RequestId& id);
  ModelState& stateOf(const ModelName& model);
  RankCounters& countersOf(const Job& job);
  std::span<const std::uint32_t> endpointsFor(const RequestInfo& requestInfo) const;
  bool isUsable(Time now, std::uint32_t endpointIndex, const Job& job) const;
  [[nodiscard]] EndpointView viewOf(Time now, std::uint32_t endpointIndex) const;
  [[nodiscard]] std::vector<WorkspaceView> workspaceViews(Time now) const;

  RouterOptions options_;
  Policy policy_;
  Peers peers_;
  EndpointRegistry registry_;
  EndpointSelector endpointSelector_;
  OutlierDetector outliers_;
  RetryPolicy retries_;
  RateLimiter modelLimiter_{ EndpointKind::model };
  RateLimiter plainLimiter_{ EndpointKind::plain };
  FairShareTotals totals_;
  std::map<ModelName, ModelState> modelStates_;
  std::vector<EndpointState> endpointStates_;
  std::unordered_map<RequestId, Job> jobs_;
  /** Dispatched urgent requests that have no first token yet. */
  std::map<RequestId, Job*> urgentWithoutFirstToken_;
  std::vector<Action> actions_;
  std::vector<OutgoingMessage> outgoing_;
  std::array<RankCounters, kRankCount> counters_;
  std::uint64_t plainSubmitted_ = 0;
  std::uint64_t plainRefused_ = 0;
  Time nextOutlierEjection_;
  Time nextUsageExchange_;
};

} // namespace figchute::routing
