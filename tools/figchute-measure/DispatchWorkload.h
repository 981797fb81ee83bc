#pragma once

#include "core/Random.h"
#include "core/Types.h"
#include "dispatch/Work.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** Kinds of requests at the router daemon. */
enum class WorkKind : std::uint8_t
{
  guide = 0,
  chat = 1,
  label = 2,
  plain = 3,
};

constexpr std::size_t kWorkKinds = 4;

/** What happens during a run of the dispatch experiments. */
enum class DispatchScenario : std::uint8_t
{
  calm,
  /** Guides at 2.6 times their rate. */
  floodGuides,
  /** Chats at 1.8 times their rate. */
  floodChats,
  /** 30% of the guides are about one subject. */
  hotSubject,
  /** Engines fail 45% of their requests by a status, silence or refusals, or are slow. */
  grey,
  /** Connections to two engines and one plain endpoint hang. */
  dark,
  /** A request that crashes its engine is sent again and again. */
  crash,
  /** Plain calls fill most of the slots of their endpoints. */
  plainShed,
  /** One of nine entry processes gets 60% of the requests, and prompts have the measured spread of
      sizes: 18 engines in four zones. */
  skewed,
};

/** Returns the name used in rows. */
std::string_view toString(DispatchScenario scenario);

/** What is the same for all requests of a kind. */
struct KindTraits
{
  std::string_view name;
  double perSecond = 0;
  Duration target{};
  Duration timeout{};
  int priority = 5;
  int events = 1;
  double creditOnTime = 0;
  double creditLate = 0;
  int commons = 1;
  std::int64_t commonTokens = 0;
  int subjects = 1;
  std::int64_t smallestSubject = 0;
  std::int64_t largestSubject = 0;
  std::int64_t ownTokens = 0;
  /** In the scenario skewed: requests per second, and the spread and the largest value of the own
      tokens, which have a log-normal distribution there. */
  double skewedPerSecond = 0;
  double ownSigma = 0;
  std::int64_t largestOwn = 0;
};

/** Returns the traits of a kind. */
const KindTraits& traitsOf(WorkKind kind);

/** One request of a caller. */
struct DispatchRequest
{
  WorkKind kind = WorkKind::plain;
  Time arrival;
  /** Entry process at which it arrives. */
  std::size_t entry = 0;
  dispatch::Work work;
  Duration plainTime{};
  bool crashes = false;
};

/** Length of the run. */
constexpr Duration kDispatchRun = std::chrono::seconds(90);

/** Draws the requests of a run in order of their arrival. */
std::vector<DispatchRequest> planDispatch(DispatchScenario scenario,
                                          std::size_t entries,
                                          std::uint64_t seed);

} // namespace figchute::measure
