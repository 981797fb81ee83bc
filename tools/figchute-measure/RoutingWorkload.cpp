#include "RoutingWorkload.h"

#include "core/Random.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figchute::measure {
namespace {

/** Time per token at the load of the calm scenario and the answer lengths give the slots that one
    request per second keeps busy. */
constexpr double kSecondsPerToken = 0.025;
constexpr int kUrgentOutput = 180;
constexpr int kPromptOutput = 12;
constexpr int kBatchOutput = 900;

/** Parts of the slots of the fleet that each rank keeps busy in the calm scenario. */
constexpr std::array<double, kRankCount> kCalmLoad{ 0.25, 0.02, 0.18 };
constexpr double kCalmTotal = 0.45;
constexpr double kFloodFactor = 10;

/** Large workspaces send 90% of the calm load and all of a flood. */
constexpr double kLargePart = 0.9;
constexpr std::array<double, kLargeWorkspaces> kFloodParts{ 0.5, 0.3, 0.2 };
constexpr std::array<double, kLargeWorkspaces> kEqualParts{ 1.0 / 3, 1.0 / 3, 1.0 / 3 };

constexpr std::size_t kSessionsPerWorkspace = 60;
constexpr int kTurnsPerSession = 6;
constexpr double kNextTurn = 0.75;
constexpr Duration kCrashInterval = std::chrono::seconds(4);

int meanOutput(Rank rank)
{
  switch (rank) {
    case Rank::urgent:
      return kUrgentOutput;
    case Rank::prompt:
      return kPromptOutput;
    case Rank::batch:
      break;
  }
  return kBatchOutput;
}

struct Session
{
  Fingerprint name = 0;
  int turn = 0;
};

/** Draws the requests of one workspace and rank. */
class Source
{
public:
  Source(const DeploymentSizes& sizes, Scenario scenario, int workspace, Rank rank, Random random)
    : sizes_(sizes)
    , scenario_(scenario)
    , workspace_(workspace)
    , rank_(rank)
    , random_(random)
  {
  }

  void addRequests(double perSecond, std::vector<PlannedRequest>& requests)
  {
    if (perSecond <= 0) {
      return;
    }
    double seconds = 0;
    while (true) {
      seconds += -std::log(1 - random_.unit()) / perSecond;
      const Time arrival{ static_cast<std::int64_t>(seconds * 1e6) };
      if (arrival >= kArrivalsEnd) {
        return;
      }
      requests.push_back(next(arrival));
    }
  }

private:
  PlannedRequest next(Time arrival)
  {
    PlannedRequest request;
    request.arrival = arrival;
    request.vm = chooseVm();
    request.workspace = workspace_;
    request.rank = rank_;
    const int mean = meanOutput(rank_);
    request.output = static_cast<int>(random_.between(mean / 2, mean + mean / 2));
    request.maxTokens = mean * 2;
    request.prompt = rank_ == Rank::urgent ? nextTurn() : templated();
    return request;
  }

  int chooseVm()
  {
    const auto any = static_cast<int>(random_.below(static_cast<std::uint64_t>(sizes_.vms)));
    const bool oneEntry = workspace_ == 1 || workspace_ == 2;
    if (rank_ != Rank::batch || !oneEntry) {
      return any;
    }
    if (scenario_ == Scenario::skewedShare) {
      return any % sizes_.zones + sizes_.zones * (workspace_ - 1);
    }
    if (scenario_ == Scenario::skewedZones) {
      return any / sizes_.zones * sizes_.zones % sizes_.vms + workspace_ - 1;
    }
    return any;
  }

  [[nodiscard]] Fingerprint templateOf() const
  {
    return fingerprintOf("template",
                         static_cast<Fingerprint>(workspace_ * 10 + static_cast<int>(rank_)));
  }

  std::vector<PromptPart> templated()
  {
    const bool batch = rank_ == Rank::batch;
    return { { templateOf(), batch ? 600 : 200 }, { random_.next(), batch ? 900 : 60 } };
  }

  std::vector<PromptPart> nextTurn()
  {
    const bool resume = !sessions_.empty() && random_.chance(kNextTurn);
    if (!resume && sessions_.size() >= kSessionsPerWorkspace) {
      sessions_.erase(sessions_.begin());
    }
    if (!resume) {
      sessions_.push_back({ random_.next(), 0 });
    }
    const auto at = resume ? random_.below(sessions_.size()) : sessions_.size() - 1;
    auto& session = sessions_[at];
    std::vector<PromptPart> parts{ { templateOf(), 400 } };
    for (int turn = 0; turn <= session.turn; ++turn) {
      parts.push_back(
        { fingerprintOf("turn", session.name + static_cast<Fingerprint>(turn)), 250 });
    }
    if (++session.turn >= kTurnsPerSession) {
      sessions_.erase(sessions_.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return parts;
  }

  const DeploymentSizes& sizes_;
  Scenario scenario_;
  int workspace_;
  Rank rank_;
  Random random_;
  std::vector<Session> sessions_;
};

/** Slots of the fleet that a workspace keeps busy with work of a rank, as a part of all. */
double loadOf(Scenario scenario, int workspace, Rank rank)
{
  const bool large = workspace < kLargeWorkspaces;
  const double part =
    large ? kLargePart / kLargeWorkspaces : (1 - kLargePart) / (kWorkspaces - kLargeWorkspaces);
  const double calm = kCalmLoad.at(static_cast<std::size_t>(rank));
  double load = calm * part;
  const bool skewed = scenario == Scenario::skewedShare || scenario == Scenario::skewedZones;
  const bool reports = (scenario == Scenario::floodReports || skewed) && rank == Rank::batch;
  const bool urgent = scenario == Scenario::floodUrgent && rank == Rank::urgent;
  if (large && (reports || urgent)) {
    const auto& parts = skewed ? kEqualParts : kFloodParts;
    const double extra = reports ? (kFloodFactor - 1) * kCalmTotal : (kFloodFactor - 1) * calm;
    load += extra * parts.at(static_cast<std::size_t>(workspace));
  }
  return load;
}

void addCrashes(std::vector<PlannedRequest>& requests)
{
  for (Time at = kFaultAt; at < kCountUntil; at = at + kCrashInterval) {
    PlannedRequest request;
    request.arrival = at;
    request.vm = static_cast<int>((at - kFaultAt) / kCrashInterval) % 3;
    request.rank = Rank::urgent;
    request.prompt = { { fingerprintOf("crash"), 300 } };
    request.output = kUrgentOutput;
    request.maxTokens = kUrgentOutput * 2;
    request.crashes = true;
    requests.push_back(request);
  }
}

} // namespace

std::vector<DeploymentSizes> deployments()
{
  return { { "ferreira", 3, 12, 9, Duration(1000) }, { "goggle", 4, 18, 9, Duration(500) } };
}

std::string_view toString(Scenario scenario)
{
  switch (scenario) {
    case Scenario::calm:
      return "calm";
    case Scenario::floodReports:
      return "flood_reports";
    case Scenario::floodUrgent:
      return "flood_urgent";
    case Scenario::zoneCut:
      return "zone_cut";
    case Scenario::crashLoop:
      return "crash_loop";
    case Scenario::plannedStop:
      return "planned_stop";
    case Scenario::skewedShare:
      return "skewed_share";
    case Scenario::skewedZones:
      break;
  }
  return "skewed_zones";
}

std::vector<PlannedRequest> planRequests(const DeploymentSizes& sizes,
                                         Scenario scenario,
                                         std::uint64_t seed,
                                         bool onlySmall)
{
  std::vector<PlannedRequest> requests;
  const double slots = sizes.engines * static_cast<double>(kSlotsPerEngine);
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      const auto kind = static_cast<Rank>(rank);
      const double secondsBusy = meanOutput(kind) * kSecondsPerToken;
      const double perSecond = loadOf(scenario, workspace, kind) * slots / secondsBusy;
      const auto stream = seed * 1000 + static_cast<std::uint64_t>(workspace) * 10 + rank;
      Source source(sizes, scenario, workspace, kind, Random(stream));
      if (!onlySmall || workspace >= kLargeWorkspaces) {
        source.addRequests(perSecond, requests);
      }
    }
  }
  if (scenario == Scenario::crashLoop && !onlySmall) {
    addCrashes(requests);
  }
  std::stable_sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
    return a.arrival < b.arrival;
  });
  return requests;
}

} // namespace figchute::measure
