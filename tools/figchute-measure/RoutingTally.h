#pragma once

#include "RoutingWorkload.h"

#include <array>
#include <cstdint>
#include <vector>

namespace figchute::measure {

/** The outcome of one planned request. */
struct RequestRecord
{
  enum class Status : std::uint8_t
  {
    open,
    refused,
    failed,
    completed,
  };

  Status status = Status::open;
  /** Time at which the first token reached the entry VM; 0 before that. */
  Time firstTokenTime;
  int generatedTokens = 0;
  std::uint32_t retryCount = 0;
};

/** The measurements of one run. */
struct RoutingFigures
{
  /** Percentage of the requests of each rank with the first token on time and no interruption. */
  std::array<double, kRankCount> onTimePercent{};
  double capacityUsedPercent = 0;
  /** Number of requests of small workspaces that were served on time. */
  double smallWorkspacesOnTimeCount = 0;
  double jainIndex = 0;
  /** Tokens that a single global queue would have served to other workspaces, in percent of all. */
  double shareErrorPercent = 0;
  double firstTokenMedianMs = 0;
  double firstTokenP95Ms = 0;
  double firstTokenP99Ms = 0;
  double cacheHitsPercent = 0;
  double retriesPerThousand = 0;
  double interruptedRequestCount = 0;
  double arrivalsAfterLeaveCount = 0;
};

/** Collects the measurements of a run independently of the routers.
    Thread safety: use one instance from one thread only. */
class RoutingTally
{
public:
  /** Creates a tally for @p requests, which must outlive it. */
  explicit RoutingTally(const std::vector<PlannedRequest>& requests);

  RequestRecord& record(std::size_t request) { return records_[request]; }

  /** Adds generated tokens that reached the entry VM. */
  void addTokens(Time now, std::size_t request, int tokens);

  void addCapacitySlotSeconds(double slotSeconds) { capacitySlotSeconds_ += slotSeconds; }
  void addUsefulSlotSeconds(double slotSeconds) { usefulSlotSeconds_ += slotSeconds; }
  void setCacheFigures(std::int64_t cachedTokens, std::int64_t promptTokens);
  void recordArrivalAfterLeave() { ++arrivalsAfterLeaveCount_; }

  /** Computes the measurements. */
  [[nodiscard]] RoutingFigures figures() const;

private:
  using TokensByWorkspace = std::array<double, kWorkspaceCount>;

  void computeRankFigures(RoutingFigures& figures) const;
  void computeLatencyFigures(RoutingFigures& figures) const;
  void computeShareFigures(RoutingFigures& figures) const;
  [[nodiscard]] TokensByWorkspace fairShares(std::size_t rank) const;
  [[nodiscard]] static bool isMeasured(const PlannedRequest& request);

  const std::vector<PlannedRequest>& requests_;
  std::vector<RequestRecord> records_;
  std::array<TokensByWorkspace, kRankCount> servedTokens_{};
  double capacitySlotSeconds_ = 0;
  double usefulSlotSeconds_ = 0;
  double cacheHitsPercent_ = 0;
  int arrivalsAfterLeaveCount_ = 0;
};

/** Targets for the time to the first token of each rank. */
constexpr std::array<Duration, kRankCount> kFirstTokenTargets{ std::chrono::milliseconds(380),
                                                               std::chrono::seconds(2),
                                                               std::chrono::seconds(60) };

} // namespace figchute::measure
