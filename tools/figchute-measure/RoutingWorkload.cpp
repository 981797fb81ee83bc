#include "RoutingWorkload.h"

#include "core/Random.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figchute::measure {
namespace {

/** The time per token under the load of the calm scenario and the answer lengths determine how many
    slots one request per second occupies. */
constexpr double kSecondsPerToken = 0.025;
constexpr int kUrgentOutputTokens = 180;
constexpr int kPromptOutputTokens = 12;
constexpr int kBatchOutputTokens = 900;

/** Shares of the fleet's slots that each rank occupies in the calm scenario. */
constexpr std::array<double, kRankCount> kCalmLoadShares{ 0.25, 0.02, 0.18 };
constexpr double kCalmTotalLoadShare = 0.45;
constexpr double kFloodFactor = 10;

/** Large workspaces send 90% of the calm load and all of a flood. */
constexpr double kLargeWorkspaceLoadShare = 0.9;
constexpr std::array<double, kLargeWorkspaceCount> kFloodShares{ 0.5, 0.3, 0.2 };
constexpr std::array<double, kLargeWorkspaceCount> kEqualShares{ 1.0 / 3, 1.0 / 3, 1.0 / 3 };

constexpr std::size_t kMaxSessionsPerWorkspace = 60;
constexpr int kTurnsPerSession = 6;
constexpr double kNextTurnChance = 0.75;
constexpr Duration kCrashInterval = std::chrono::seconds(4);

int meanOutputTokens(Rank rank)
{
  switch (rank) {
    case Rank::urgent:
      return kUrgentOutputTokens;
    case Rank::prompt:
      return kPromptOutputTokens;
    case Rank::batch:
      break;
  }
  return kBatchOutputTokens;
}

struct Session
{
  Fingerprint id = 0;
  int turn = 0;
};

/** Draws the random requests of one workspace and rank. */
class RequestGenerator
{
public:
  RequestGenerator(const DeploymentSizes& sizes,
                   Scenario scenario,
                   int workspace,
                   Rank rank,
                   Random random)
    : sizes_(sizes)
    , scenario_(scenario)
    , workspace_(workspace)
    , rank_(rank)
    , random_(random)
  {
  }

  void addRequests(double requestsPerSecond, std::vector<PlannedRequest>& requests)
  {
    if (requestsPerSecond <= 0) {
      return;
    }
    double arrivalSeconds = 0;
    while (true) {
      arrivalSeconds += -std::log(1 - random_.unit()) / requestsPerSecond;
      const Time arrival{ static_cast<std::int64_t>(arrivalSeconds * 1e6) };
      if (arrival >= kArrivalsEnd) {
        return;
      }
      requests.push_back(drawRequest(arrival));
    }
  }

private:
  PlannedRequest drawRequest(Time arrival)
  {
    PlannedRequest request;
    request.arrival = arrival;
    request.vm = chooseVm();
    request.workspace = workspace_;
    request.rank = rank_;
    const int meanTokens = meanOutputTokens(rank_);
    request.outputTokens =
      static_cast<int>(random_.between(meanTokens / 2, meanTokens + meanTokens / 2));
    request.maxTokens = meanTokens * 2;
    request.prompt = rank_ == Rank::urgent ? nextTurnPrompt() : templatePrompt();
    return request;
  }

  int chooseVm()
  {
    const auto randomVm =
      static_cast<int>(random_.below(static_cast<std::uint64_t>(sizes_.vmCount)));
    const bool hasRestrictedEntry = workspace_ == 1 || workspace_ == 2;
    if (rank_ != Rank::batch || !hasRestrictedEntry) {
      return randomVm;
    }
    if (scenario_ == Scenario::skewedShare) {
      return randomVm % sizes_.zoneCount + sizes_.zoneCount * (workspace_ - 1);
    }
    if (scenario_ == Scenario::skewedZones) {
      return randomVm / sizes_.zoneCount * sizes_.zoneCount % sizes_.vmCount + workspace_ - 1;
    }
    return randomVm;
  }

  [[nodiscard]] Fingerprint templateFingerprint() const
  {
    const auto workspace = static_cast<Fingerprint>(workspace_);
    return fingerprintOf("template", workspace * 10 + static_cast<Fingerprint>(rank_));
  }

  std::vector<PromptPart> templatePrompt()
  {
    const bool isBatch = rank_ == Rank::batch;
    return { { templateFingerprint(), isBatch ? 600 : 200 },
             { random_.next(), isBatch ? 900 : 60 } };
  }

  std::vector<PromptPart> nextTurnPrompt()
  {
    const bool isContinued = !sessions_.empty() && random_.chance(kNextTurnChance);
    if (!isContinued && sessions_.size() >= kMaxSessionsPerWorkspace) {
      sessions_.erase(sessions_.begin());
    }
    if (!isContinued) {
      sessions_.push_back({ random_.next(), 0 });
    }
    const auto sessionIndex = isContinued ? random_.below(sessions_.size()) : sessions_.size() - 1;
    auto& session = sessions_[sessionIndex];
    std::vector<PromptPart> promptParts{ { templateFingerprint(), 400 } };
    for (int turn = 0; turn <= session.turn; ++turn) {
      promptParts.push_back(
        { fingerprintOf("turn", session.id + static_cast<Fingerprint>(turn)), 250 });
    }
    if (++session.turn >= kTurnsPerSession) {
      sessions_.erase(sessions_.begin() + static_cast<std::ptrdiff_t>(sessionIndex));
    }
    return promptParts;
  }

  const DeploymentSizes& sizes_;
  Scenario scenario_;
  int workspace_;
  Rank rank_;
  Random random_;
  std::vector<Session> sessions_;
};

/** Returns the share of the fleet's slots that the requests of a workspace and rank occupy. */
double loadShareOf(Scenario scenario, int workspace, Rank rank)
{
  const bool isLarge = workspace < kLargeWorkspaceCount;
  const double workspaceShare =
    isLarge ? kLargeWorkspaceLoadShare / kLargeWorkspaceCount
            : (1 - kLargeWorkspaceLoadShare) / (kWorkspaceCount - kLargeWorkspaceCount);
  const double calmLoad = kCalmLoadShares.at(static_cast<std::size_t>(rank));
  double load = calmLoad * workspaceShare;
  const bool isSkewed = scenario == Scenario::skewedShare || scenario == Scenario::skewedZones;
  const bool isReportFlood =
    (scenario == Scenario::floodReports || isSkewed) && rank == Rank::batch;
  const bool isUrgentFlood = scenario == Scenario::floodUrgent && rank == Rank::urgent;
  if (isLarge && (isReportFlood || isUrgentFlood)) {
    const auto& floodShares = isSkewed ? kEqualShares : kFloodShares;
    const double extraLoad =
      isReportFlood ? (kFloodFactor - 1) * kCalmTotalLoadShare : (kFloodFactor - 1) * calmLoad;
    load += extraLoad * floodShares.at(static_cast<std::size_t>(workspace));
  }
  return load;
}

void addCrashingRequests(std::vector<PlannedRequest>& requests)
{
  for (Time arrivalTime = kFaultStart; arrivalTime < kMeasurementEnd;
       arrivalTime = arrivalTime + kCrashInterval) {
    PlannedRequest request;
    request.arrival = arrivalTime;
    request.vm = static_cast<int>((arrivalTime - kFaultStart) / kCrashInterval) % 3;
    request.rank = Rank::urgent;
    request.prompt = { { fingerprintOf("crash"), 300 } };
    request.outputTokens = kUrgentOutputTokens;
    request.maxTokens = kUrgentOutputTokens * 2;
    request.crashesEngine = true;
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
                                         bool onlySmallWorkspaces)
{
  std::vector<PlannedRequest> requests;
  const double slotCount = sizes.engineCount * static_cast<double>(kSlotsPerEngine);
  for (int workspace = 0; workspace < kWorkspaceCount; ++workspace) {
    for (std::size_t rank = 0; rank < kRankCount; ++rank) {
      const auto rankOfRequests = static_cast<Rank>(rank);
      const double busySecondsPerRequest = meanOutputTokens(rankOfRequests) * kSecondsPerToken;
      const double requestsPerSecond =
        loadShareOf(scenario, workspace, rankOfRequests) * slotCount / busySecondsPerRequest;
      const auto randomSeed = seed * 1000 + static_cast<std::uint64_t>(workspace) * 10 + rank;
      RequestGenerator generator(sizes, scenario, workspace, rankOfRequests, Random(randomSeed));
      if (!onlySmallWorkspaces || workspace >= kLargeWorkspaceCount) {
        generator.addRequests(requestsPerSecond, requests);
      }
    }
  }
  if (scenario == Scenario::crashLoop && !onlySmallWorkspaces) {
    addCrashingRequests(requests);
  }
  std::stable_sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
    return a.arrival < b.arrival;
  });
  return requests;
}

} // namespace figchute::measure
