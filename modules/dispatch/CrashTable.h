#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace figchute::dispatch {

/** Finds requests that crash the endpoints that run them.

    A request whose connection broke is a suspect until its endpoint either answers again (a lost
    answer, no crash) or turns out to be down (a crash). After three crashes, counted over all
    processes, requests with the same fingerprint are refused for a time.
    Thread safety: use one instance from one thread only. */
class CrashTable
{
public:
  static constexpr std::uint64_t kCrashLimit = 3;
  static constexpr Duration kRefusal = std::chrono::seconds(60);

  /** A connection broke under a request. Requests with the same fingerprint count once for each
      endpoint: equal requests of one caller may run side by side.
      @param endpoint  place of the endpoint */
  void suspect(Time now, std::size_t endpoint, Fingerprint fingerprint);

  /** The endpoint answered a request that was sent at @p sentAt. */
  void endpointAnswered(std::size_t endpoint, Time sentAt);

  /** The endpoint is down or was started anew: its suspects become crashes. */
  void endpointDown(Time now, std::size_t endpoint);

  /** Counts a crash that this process saw. */
  void crashed(Time now, Fingerprint fingerprint);

  /** Counts crashes that another process saw. */
  void add(Time now, Fingerprint fingerprint, std::uint64_t crashes);

  /** Returns the crashes and unexplained lost connections of a fingerprint. */
  [[nodiscard]] std::uint64_t broken(Fingerprint fingerprint) const;

  /** Returns how much longer requests with a fingerprint are refused; 0 when they are not. */
  [[nodiscard]] Duration refusedFor(Time now, Fingerprint fingerprint) const;

  /** Forgets what is old. */
  void expire(Time now);

  /** Returns the fingerprints of own crashes since the last call, one for each crash. */
  std::vector<Fingerprint> takeCrashes();

private:
  struct Suspect
  {
    std::size_t endpoint = 0;
    Fingerprint fingerprint = 0;
    Time at;
  };
  struct Entry
  {
    std::uint64_t crashes = 0;
    Time last;
  };

  std::vector<Suspect> suspects_;
  std::map<Fingerprint, Entry> entries_;
  std::vector<Fingerprint> untold_;
};

} // namespace figchute::dispatch
