#pragma once

#include "core/Random.h"
#include "core/Types.h"
#include "dispatch/RequestInfo.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** Kinds of requests that the router daemon receives. */
enum class WorkKind : std::uint8_t
{
  guide = 0,
  chat = 1,
  label = 2,
  plain = 3,
};

constexpr std::size_t kWorkKindCount = 4;

/** The load and the faults of one run of the dispatch experiments. */
enum class DispatchScenario : std::uint8_t
{
  calm,
  /** Guides arrive at 2.6 times their normal rate. */
  floodGuides,
  /** Chats arrive at 1.8 times their normal rate. */
  floodChats,
  /** 30% of the guides have the same subject. */
  hotSubject,
  /** Engines fail 45% of their requests with an error status, without a response or by refusal, or
      are slow. */
  grey,
  /** Connections to two engines and one plain endpoint hang. */
  dark,
  /** A request that crashes its engine is sent repeatedly. */
  crash,
  /** Plain calls fill most of the slots of their endpoints. */
  plainShed,
  /** One of nine entry processes receives 60% of the requests, and prompt sizes have the measured
      distribution. There are 18 engines in four zones. */
  skewed,
};

/** Returns the name of a scenario in the rows. */
std::string_view toString(DispatchScenario scenario);

/** The properties that all requests of a kind share. */
struct KindTraits
{
  std::string_view name;
  double requestsPerSecond = 0;
  Duration firstEventTarget{};
  Duration timeout{};
  int priority = 5;
  int eventCount = 1;
  double creditOnTime = 0;
  double creditLate = 0;
  int commonPartCount = 1;
  std::int64_t commonTokens = 0;
  int subjectCount = 1;
  std::int64_t minSubjectTokens = 0;
  std::int64_t maxSubjectTokens = 0;
  std::int64_t ownTokens = 0;
  /** In the scenario skewed: requests per second, and the sigma and the maximum of ownTokens, which
      have a log-normal distribution there. */
  double skewedRequestsPerSecond = 0;
  double ownTokensSigma = 0;
  std::int64_t maxOwnTokens = 0;
};

/** Returns the traits of a kind. */
const KindTraits& traitsOf(WorkKind kind);

/** One request of a caller. */
struct DispatchRequest
{
  WorkKind kind = WorkKind::plain;
  Time arrival;
  /** Index of the entry process at which the request arrives. */
  std::size_t entry = 0;
  dispatch::RequestInfo requestInfo;
  Duration plainServiceTime{};
  bool crashesEngine = false;
};

/** Duration of the arrivals in one run. */
constexpr Duration kDispatchRunDuration = std::chrono::seconds(90);

/** Draws the random requests of a run, in order of arrival. */
std::vector<DispatchRequest> planDispatchRequests(DispatchScenario scenario,
                                                  std::size_t entryCount,
                                                  std::uint64_t seed);

} // namespace figchute::measure
