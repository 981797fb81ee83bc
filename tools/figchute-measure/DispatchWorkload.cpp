#include "DispatchWorkload.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace figchute::measure {
namespace {

using namespace std::chrono_literals;

/** Popularity of the subject at place n falls as 1 / n^0.7. */
constexpr double kPopularity = 0.7;

constexpr Time kFloodBegin{ 20'000'000 };
constexpr Time kFloodEnd{ 70'000'000 };

const std::array<KindTraits, kWorkKinds> kTraits{ {
  { "guide", 15, 1500ms, 20s, 6, 64, 2.8, 1.3, 3, 482, 70, 3'900, 4'900, 6'610, 23, 0.75, 54'600 },
  { "chat", 43, 500ms, 10s, 2, 49, 2.9, 0.35, 10, 98, 200, 80, 120, 628, 65, 0.52, 3'310 },
  { "label", 24, 500ms, 4s, 4, 4, 0.59, 0.17, 40, 168, 120, 300, 500, 1'800, 36, 0.43, 6'870 },
  { "plain", 29, 200ms, 1500ms, 1, 1, 1.0, 0.3, 1, 0, 1, 0, 0, 0, 29, 0, 0 },
} };

double rateFactor(DispatchScenario scenario, WorkKind kind, Time now)
{
  const bool flood = now >= kFloodBegin && now < kFloodEnd;
  if (scenario == DispatchScenario::floodGuides && kind == WorkKind::guide && flood) {
    return 2.6;
  }
  if (scenario == DispatchScenario::floodChats && kind == WorkKind::chat && flood) {
    return 1.8;
  }
  if (scenario == DispatchScenario::plainShed && kind == WorkKind::plain && flood) {
    return 13;
  }
  return 1;
}

std::vector<double> popularity(int subjects)
{
  std::vector<double> sums;
  double sum = 0;
  for (int i = 1; i <= subjects; ++i) {
    sum += std::pow(i, -kPopularity);
    sums.push_back(sum);
  }
  return sums;
}

/** Percent of the requests at each entry process in the scenario skewed; the last process is the
    only one of its zone. */
constexpr std::array<int, 9> kSkewedShares{ 15, 3, 3, 5, 4, 3, 4, 3, 60 };

std::uint64_t partHash(WorkKind kind, std::uint64_t level, std::uint64_t number)
{
  return (static_cast<std::uint64_t>(kind) << 56U) + (level << 48U) + number;
}

/** Draws the requests of one kind. */
class KindPlan
{
public:
  KindPlan(DispatchScenario scenario, WorkKind kind, std::size_t entries, std::uint64_t seed)
    : scenario_(scenario)
    , kind_(kind)
    , entries_(entries)
    , traits_(traitsOf(kind))
    , random_(seed * 101 + static_cast<std::uint64_t>(kind))
    , popularity_(popularity(traits_.subjects))
  {
  }

  void appendTo(std::vector<DispatchRequest>& requests)
  {
    Time now{ 1 };
    while (true) {
      const double base = isSkewed() ? traits_.skewedPerSecond : traits_.perSecond;
      const double rate = base * rateFactor(scenario_, kind_, now);
      const double gap = -std::log(1 - random_.unit()) / rate;
      now = now + Duration(static_cast<std::int64_t>(gap * 1e6) + 1);
      if (now.micros >= kDispatchRun.count()) {
        return;
      }
      requests.push_back(draw(now));
    }
  }

private:
  DispatchRequest draw(Time now)
  {
    DispatchRequest request;
    request.kind = kind_;
    request.arrival = now;
    request.entry = drawEntry();
    auto& work = request.work;
    work.service = ServiceName(kind_ == WorkKind::plain ? "plain" : "model");
    work.model = ModelName("m");
    work.priority = traits_.priority;
    work.arrival = now;
    work.deadline = now + traits_.timeout;
    work.target = traits_.target;
    work.maxAttempts = 3;
    // Three of ten workspaces send 70% of the requests.
    const auto workspace = random_.chance(0.7) ? random_.below(3) : 3 + random_.below(7);
    work.workspace = "w" + std::to_string(workspace);
    work.fingerprint = random_.next() | 1U;
    if (kind_ == WorkKind::plain) {
      const bool once = random_.chance(0.2);
      work.kind = once ? fleet::RouteKind::once : fleet::RouteKind::repeatable;
      request.plainTime = Duration(random_.between(15'000, 60'000));
      return request;
    }
    work.kind = kind_ == WorkKind::label ? fleet::RouteKind::repeatable : fleet::RouteKind::stream;
    work.resumable = kind_ == WorkKind::guide;
    addPrompt(work);
    return request;
  }

  void addPrompt(dispatch::Work& work)
  {
    const auto subject = drawSubject();
    const auto width = traits_.largestSubject - traits_.smallestSubject + 1;
    const auto tokens = traits_.smallestSubject + static_cast<std::int64_t>(subject * 7919) % width;
    const auto own = drawOwn();
    work.parts = {
      { partHash(kind_, 0, subject % static_cast<std::uint64_t>(traits_.commons)),
        traits_.commonTokens },
      { partHash(kind_, 1, subject), tokens },
      { random_.next(), own },
    };
    for (const auto& part : work.parts) {
      work.promptTokens += part.tokens;
    }
  }

  [[nodiscard]] bool isSkewed() const { return scenario_ == DispatchScenario::skewed; }

  std::size_t drawEntry()
  {
    if (!isSkewed()) {
      return random_.below(entries_);
    }
    auto at = static_cast<int>(random_.below(100));
    std::size_t entry = 0;
    while (at >= kSkewedShares.at(entry)) {
      at -= kSkewedShares.at(entry);
      ++entry;
    }
    return entry;
  }

  std::int64_t drawOwn()
  {
    if (!isSkewed()) {
      return traits_.ownTokens / 2 + static_cast<std::int64_t>(random_.below(
                                       static_cast<std::uint64_t>(traits_.ownTokens)));
    }
    const double radius = std::sqrt(-2 * std::log(1 - random_.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random_.unit());
    const double sigma = traits_.ownSigma;
    const double median = static_cast<double>(traits_.ownTokens) * std::exp(-sigma * sigma / 2);
    const auto tokens = static_cast<std::int64_t>(median * std::exp(sigma * normal));
    return std::clamp<std::int64_t>(tokens, 1, traits_.largestOwn);
  }

  std::uint64_t drawSubject()
  {
    if (scenario_ == DispatchScenario::hotSubject && kind_ == WorkKind::guide &&
        random_.chance(0.3)) {
      return 0;
    }
    const double at = random_.unit() * popularity_.back();
    const auto found = std::upper_bound(popularity_.begin(), popularity_.end(), at);
    return static_cast<std::uint64_t>(found - popularity_.begin());
  }

  DispatchScenario scenario_;
  WorkKind kind_;
  std::size_t entries_;
  const KindTraits& traits_;
  Random random_;
  std::vector<double> popularity_;
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

std::vector<DispatchRequest> planDispatch(DispatchScenario scenario,
                                          std::size_t entries,
                                          std::uint64_t seed)
{
  std::vector<DispatchRequest> requests;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    KindPlan(scenario, static_cast<WorkKind>(kind), entries, seed).appendTo(requests);
  }
  std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
    return a.arrival < b.arrival;
  });
  if (scenario == DispatchScenario::crash) {
    // One label in the middle of the run crashes its engine.
    const auto label = std::find_if(requests.begin(), requests.end(), [](const auto& request) {
      return request.kind == WorkKind::label && request.arrival >= Time{ 30'000'000 };
    });
    label->crashes = true;
  }
  return requests;
}

} // namespace figchute::measure
