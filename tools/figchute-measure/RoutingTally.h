#pragma once

#include "RoutingWorkload.h"

#include <array>
#include <cstdint>
#include <vector>

namespace figchute::measure {

/** How one planned request went. */
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
  /** When the first token reached the entry VM; 0 while it did not. */
  Time firstToken;
  int generated = 0;
  std::uint32_t retries = 0;
};

/** The figures of one run. */
struct RoutingFigures
{
  /** Percent of the requests of each rank with their first token in time and no interruption. */
  std::array<double, kRankCount> onTime{};
  double capacityUsed = 0;
  /** Requests of small workspaces in time, as a count. */
  double smallOnTime = 0;
  double jain = 0;
  /** Tokens served to others than a single global queue would serve, in percent of all. */
  double shareError = 0;
  double firstTokenMedian = 0;
  double firstTokenP95 = 0;
  double firstTokenP99 = 0;
  double cacheHits = 0;
  double retries = 0;
  double cutRequests = 0;
  double workAfterLeave = 0;
};

/** Counts a run independently of the routers.
    Thread safety: use one instance from one thread only. */
class RoutingTally
{
public:
  /** Creates a tally for @p requests, which must outlive it. */
  explicit RoutingTally(const std::vector<PlannedRequest>& requests);

  /** Returns the record of a request. */
  RequestRecord& record(std::size_t request) { return records_[request]; }

  /** Counts generated tokens that reached the entry VM. */
  void addTokens(Time now, std::size_t request, int tokens);

  void addCapacity(double slotSeconds) { capacity_ += slotSeconds; }
  void addUsefulSlots(double slotSeconds) { useful_ += slotSeconds; }
  void setCacheFigures(std::int64_t cached, std::int64_t prompt);
  void countWorkAfterLeave() { ++workAfterLeave_; }

  /** Computes the figures. */
  [[nodiscard]] RoutingFigures figures() const;

private:
  using ByWorkspace = std::array<double, kWorkspaces>;

  void fillRanks(RoutingFigures& figures) const;
  void fillLatency(RoutingFigures& figures) const;
  void fillShares(RoutingFigures& figures) const;
  [[nodiscard]] ByWorkspace entitlement(std::size_t rank) const;
  [[nodiscard]] static bool isCounted(const PlannedRequest& request);

  const std::vector<PlannedRequest>& requests_;
  std::vector<RequestRecord> records_;
  std::array<ByWorkspace, kRankCount> served_{};
  double capacity_ = 0;
  double useful_ = 0;
  double cacheHits_ = 0;
  int workAfterLeave_ = 0;
};

/** Targets of the ranks in the experiments. */
constexpr std::array<Duration, kRankCount> kTargets{ std::chrono::milliseconds(380),
                                                     std::chrono::seconds(2),
                                                     std::chrono::seconds(60) };

} // namespace figchute::measure
