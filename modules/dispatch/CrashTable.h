#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace figchute::dispatch {

/** A crash of an endpoint that ran a request of this process. */
struct ObservedCrash
{
  Fingerprint fingerprint = 0;
  /** Time from the loss of the connection until the crash was confirmed. */
  Duration detectionTime{};
};

/** Identifies requests that crash the endpoints that run them.

    A request whose connection was lost is a suspect until its endpoint either answers again (only
    the answer was lost) or turns out to be down (a crash). After three crashes, counted over all
    processes, requests with the same fingerprint are refused for kRefusalTime.
    Thread safety: use one instance from one thread only. */
class CrashTable
{
public:
  static constexpr std::uint64_t kCrashLimit = 3;
  static constexpr Duration kRefusalTime = std::chrono::seconds(60);

  /** Records that a connection was lost during a request. Requests with the same fingerprint count
      once per endpoint, because a caller may run several equal requests at the same time.
      @param endpoint  handle of the endpoint */
  void addSuspect(Time now, std::size_t endpoint, Fingerprint fingerprint);

  /** Clears the suspects of an endpoint that lost their connection up to @p sentAt: the endpoint
      answered a request sent at that time. */
  void clearSuspects(std::size_t endpoint, Time sentAt);

  /** Counts the suspects of an endpoint as crashes: the endpoint is down or was restarted. */
  void confirmSuspects(Time now, std::size_t endpoint);

  /** Counts a crash that this process observed.
      @param lostAt  time when the connection was lost */
  void recordCrash(Time now, Fingerprint fingerprint, Time lostAt);

  /** Counts crashes that another process observed. */
  void addCrashes(Time now, Fingerprint fingerprint, std::uint64_t crashes);

  /** Returns the number of crashes and of unresolved lost connections of a fingerprint. */
  [[nodiscard]] std::uint64_t suspectedCrashes(Fingerprint fingerprint) const;

  /** Returns how long requests with a fingerprint are still refused; 0 if they are accepted. */
  [[nodiscard]] Duration remainingRefusal(Time now, Fingerprint fingerprint) const;

  /** Removes expired suspects and crash counts. */
  void expire(Time now);

  /** Returns the crashes that this process observed since the last call. */
  std::vector<ObservedCrash> takeCrashes();

private:
  struct Suspect
  {
    std::size_t endpoint = 0;
    Fingerprint fingerprint = 0;
    Time lostAt;
  };
  struct CrashRecord
  {
    std::uint64_t crashes = 0;
    Time lastCrashAt;
  };

  std::vector<Suspect> suspects_;
  std::map<Fingerprint, CrashRecord> records_;
  std::vector<ObservedCrash> unreportedCrashes_;
};

} // namespace figchute::dispatch
