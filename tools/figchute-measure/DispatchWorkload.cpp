#include "DispatchWorkload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace figchute::measure {
namespace {

using namespace std::chrono_literals;

/** The popularity of the subject of rank n is proportional to 1 / n^0.7. */
constexpr double kPopularityExponent = 0.7;

constexpr Time kFloodStart{ 20'000'000 };
constexpr Time kFloodEnd{ 70'000'000 };

const std::array<KindTraits, kWorkKindCount> kTraits{ {
  { "guide", 15, 1500ms, 20s, 6, 64, 2.8, 1.3, 3, 482, 70, 3'900, 4'900, 6'610, 23, 0.75, 54'600 },
  { "chat", 43, 500ms, 10s, 2, 49, 2.9, 0.35, 10, 98, 200, 80, 120, 628, 65, 0.52, 3'310 },
  { "label", 24, 500ms, 4s, 4, 4, 0.59, 0.17, 40, 168, 120, 300, 500, 1'800, 36, 0.43, 6'870 },
  { "plain", 29, 200ms, 1500ms, 1, 1, 1.0, 0.3, 1, 0, 1, 0, 0, 0, 29, 0, 0 },
} };

double rateFactor(DispatchScenario scenario, WorkKind kind, Time now)
{
  const bool isFlood = now >= kFloodStart && now < kFloodEnd;
  if (scenario == DispatchScenario::floodGuides && kind == WorkKind::guide && isFlood) {
    return 2.6;
  }
  if (scenario == DispatchScenario::floodChats && kind == WorkKind::chat && isFlood) {
    return 1.8;
  }
  if (scenario == DispatchScenario::plainShed && kind == WorkKind::plain && isFlood) {
    return 13;
  }
  return 1;
}

std::vector<double> cumulativePopularity(int subjectCount)
{
  std::vector<double> cumulativeSums;
  double sum = 0;
  for (int rank = 1; rank <= subjectCount; ++rank) {
    sum += std::pow(rank, -kPopularityExponent);
    cumulativeSums.push_back(sum);
  }
  return cumulativeSums;
}

/** Percentage of the requests at each entry process in the scenario skewed. The last process is the
    only one in its zone. */
constexpr std::array<int, 9> kSkewedEntryPercents{ 15, 3, 3, 5, 4, 3, 4, 3, 60 };

std::uint64_t partHash(WorkKind kind, std::uint64_t level, std::uint64_t number)
{
  return (static_cast<std::uint64_t>(kind) << 56U) + (level << 48U) + number;
}

/** Draws the random requests of one kind. */
class KindRequestGenerator
{
public:
  KindRequestGenerator(DispatchScenario scenario,
                       WorkKind kind,
                       std::size_t entryCount,
                       std::uint64_t seed)
    : scenario_(scenario)
    , kind_(kind)
    , entryCount_(entryCount)
    , traits_(traitsOf(kind))
    , random_(seed * 101 + static_cast<std::uint64_t>(kind))
    , cumulativePopularity_(cumulativePopularity(traits_.subjectCount))
  {
  }

  void appendRequests(std::vector<DispatchRequest>& requests)
  {
    Time now{ 1 };
    while (true) {
      const double baseRate =
        isSkewed() ? traits_.skewedRequestsPerSecond : traits_.requestsPerSecond;
      const double rate = baseRate * rateFactor(scenario_, kind_, now);
      const double interArrivalSeconds = -std::log(1 - random_.unit()) / rate;
      now = now + Duration(static_cast<std::int64_t>(interArrivalSeconds * 1e6) + 1);
      if (now.micros >= kDispatchRunDuration.count()) {
        return;
      }
      requests.push_back(drawRequest(now));
    }
  }

private:
  DispatchRequest drawRequest(Time now)
  {
    DispatchRequest request;
    request.kind = kind_;
    request.arrival = now;
    request.entry = drawEntry();
    auto& requestInfo = request.requestInfo;
    requestInfo.service = ServiceName(kind_ == WorkKind::plain ? "plain" : "model");
    requestInfo.model = ModelName("m");
    requestInfo.priority = traits_.priority;
    requestInfo.arrival = now;
    requestInfo.deadline = now + traits_.timeout;
    requestInfo.target = traits_.firstEventTarget;
    requestInfo.maxAttempts = 3;
    // Three of the ten workspaces send 70% of the requests.
    const auto workspace = random_.chance(0.7) ? random_.below(3) : 3 + random_.below(7);
    requestInfo.workspace = "w" + std::to_string(workspace);
    requestInfo.fingerprint = random_.next() | 1U;
    if (kind_ == WorkKind::plain) {
      const bool isOnce = random_.chance(0.2);
      requestInfo.kind = isOnce ? fleet::RouteKind::once : fleet::RouteKind::repeatable;
      request.plainServiceTime = Duration(random_.between(15'000, 60'000));
      return request;
    }
    requestInfo.kind =
      kind_ == WorkKind::label ? fleet::RouteKind::repeatable : fleet::RouteKind::stream;
    requestInfo.resumable = kind_ == WorkKind::guide;
    addPrompt(requestInfo);
    return request;
  }

  void addPrompt(dispatch::RequestInfo& requestInfo)
  {
    const auto subject = drawSubject();
    const auto subjectTokenRange = traits_.maxSubjectTokens - traits_.minSubjectTokens + 1;
    const auto subjectTokens =
      traits_.minSubjectTokens + static_cast<std::int64_t>(subject * 7919) % subjectTokenRange;
    const auto ownTokens = drawOwnTokens();
    requestInfo.parts = {
      { partHash(kind_, 0, subject % static_cast<std::uint64_t>(traits_.commonPartCount)),
        traits_.commonTokens },
      { partHash(kind_, 1, subject), subjectTokens },
      { random_.next(), ownTokens },
    };
    for (const auto& part : requestInfo.parts) {
      requestInfo.promptTokens += part.tokens;
    }
  }

  [[nodiscard]] bool isSkewed() const { return scenario_ == DispatchScenario::skewed; }

  std::size_t drawEntry()
  {
    if (!isSkewed()) {
      return random_.below(entryCount_);
    }
    auto remainingPercent = static_cast<int>(random_.below(100));
    std::size_t entry = 0;
    while (remainingPercent >= kSkewedEntryPercents.at(entry)) {
      remainingPercent -= kSkewedEntryPercents.at(entry);
      ++entry;
    }
    return entry;
  }

  std::int64_t drawOwnTokens()
  {
    if (!isSkewed()) {
      return traits_.ownTokens / 2 + static_cast<std::int64_t>(random_.below(
                                       static_cast<std::uint64_t>(traits_.ownTokens)));
    }
    const double radius = std::sqrt(-2 * std::log(1 - random_.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random_.unit());
    const double sigma = traits_.ownTokensSigma;
    const double median = static_cast<double>(traits_.ownTokens) * std::exp(-sigma * sigma / 2);
    const auto tokens = static_cast<std::int64_t>(median * std::exp(sigma * normal));
    return std::clamp<std::int64_t>(tokens, 1, traits_.maxOwnTokens);
  }

  std::uint64_t drawSubject()
  {
    if (scenario_ == DispatchScenario::hotSubject && kind_ == WorkKind::guide &&
        random_.chance(0.3)) {
      return 0;
    }
    const double point = random_.unit() * cumulativePopularity_.back();
    const auto subjectIt =
      std::upper_bound(cumulativePopularity_.begin(), cumulativePopularity_.end(), point);
    return static_cast<std::uint64_t>(subjectIt - cumulativePopularity_.begin());
  }

  DispatchScenario scenario_;
  WorkKind kind_;
  std::size_t entryCount_;
  const KindTraits& traits_;
  Random random_;
  std::vector<double> cumulativePopularity_;
};

} // namespace

std::string_view toString(DispatchScenario scenario)
{
  switch (scenario) {
    case DispatchScenario::calm:
      return "calm";
    case DispatchScenario::floodGuides:
      return "flood_guides";
    case DispatchScenario::floodChats:
      return "flood_chats";
    case DispatchScenario::hotSubject:
      return "hot_subject";
    case DispatchScenario::grey:
      return "grey";
    case DispatchScenario::dark:
      return "dark";
    case DispatchScenario::crash:
      return "crash";
    case DispatchScenario::skewed:
      return "skewed";
    case DispatchScenario::plainShed:
      break;
  }
  return "plain_shed";
}

const KindTraits& traitsOf(WorkKind kind)
{
  return kTraits.at(static_cast<std::size_t>(kind));
}

std::vector<DispatchRequest> planDispatchRequests(DispatchScenario scenario,
                                                  std::size_t entryCount,
                                                  std::uint64_t seed)
{
  std::vector<DispatchRequest> requests;
  for (std::size_t kind = 0; kind < kWorkKindCount; ++kind) {
    KindRequestGenerator(scenario, static_cast<WorkKind>(kind), entryCount, seed)
      .appendRequests(requests);
  }
  std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
    return a.arrival < b.arrival;
  });
  if (scenario == DispatchScenario::crash) {
    // One label in the middle of the run crashes its engine.
    const auto labelIt = std::find_if(requests.begin(), requests.end(), [](const auto& request) {
      return request.kind == WorkKind::label && request.arrival >= Time{ 30'000'000 };
    });
    labelIt->crashesEngine = true;
  }
  return requests;
}

} // namespace figchute::measure
