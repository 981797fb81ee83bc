#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "dispatch/CrashCauses.h"
#include "fleet/CrashReport.h"
#include "fleet/CrashReportStore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::dispatch {

/** What may make a request crash the endpoints that run it. */
struct CrashCandidates
{
  /** Fingerprints of the prompt parts that other requests may share, in the order of the prompt. */
  std::vector<Fingerprint> parts;
  /** Fingerprint of the whole request; 0 for none. */
  Fingerprint request = 0;
};

/** A crash of an endpoint that ran a request of this process. */
struct ObservedCrash
{
  fleet::CrashReport report;
  /** Time from the loss of the connection until the crash was confirmed. */
  Duration detectionTime{};
};

/** Why and how long a request is refused. */
struct CrashRefusal
{
  Duration remaining{};
  /** A part of the prompt is the cause, not the request as a whole. */
  bool isPart = false;
};

/** Identifies the requests, and the prompt parts, that crash the endpoints that run them.

    A request whose connection was lost is a suspect until its endpoint either answers again (only
    the answer was lost) or turns out to be down (a crash). Crashes are reported to all processes.
    What three endpoints of the fleet crashed with is refused, unless a request with it has been
    answered since.
    Thread safety: use one instance from one thread only. */
class CrashTable
{
public:
  static constexpr std::size_t kCrashLimit = 3;
  /** How long a cause is refused after its third crash; doubled with each further crash, up to
      kMaxRefusalTime. Reports are kept for longer, so that one more crash renews a refusal that has
      ended. */
  static constexpr Duration kRefusalTime = std::chrono::seconds(60);
  static constexpr Duration kMaxRefusalTime = std::chrono::seconds(240);
  static_assert(kMaxRefusalTime < fleet::CrashReportStore::kRetention);

  /** Identifies an endpoint to this table. */
  struct EndpointKey
  {
    /** Handle in this process. */
    std::size_t handle = 0;
    /** Equal on all processes for the same incarnation of the endpoint. */
    std::uint64_t incarnation = 0;
  };

  /** Records that a connection was lost during a request. Equal requests count once per endpoint,
      because a caller may run several of them at the same time.
      @param isAnswering  an answer had made progress, so that no prompt part is the cause */
  void addSuspect(Time now,
                  const EndpointKey& endpoint,
                  const CrashCandidates& candidates,
                  bool isAnswering);

  /** Clears the suspects of an endpoint that lost their connection up to @p sentAt: the endpoint
      accepted a connection or answered a request sent at that time. */
  void clearSuspects(std::size_t handle, Time sentAt);

  /** Counts the suspects of an endpoint as crashes: the endpoint is down or was restarted. */
  void confirmSuspects(Time now, std::size_t handle);

  /** Returns whether an endpoint has suspects. */
  [[nodiscard]] bool hasSuspects(std::size_t handle) const;

  /** Records that a request is being answered, which refutes all its candidates. */
  void recordAnswer(Time now, const CrashCandidates& candidates);

  /** Adds reports of other processes. */
  void addReports(Time now, std::span<const fleet::CrashReport> reports);

  /** Returns the largest number of endpoints that crashed, or lost the connection and may have
      crashed, with any one of the candidates. */
  [[nodiscard]] std::size_t suspectedCrashes(const CrashCandidates& candidates) const;

  /** Returns the refusal of requests with these candidates, if any. */
  [[nodiscard]] std::optional<CrashRefusal> refusal(Time now, const CrashCandidates& candidates);

  /** Removes expired suspects, reports and refusals. */
  void expire(Time now);

  /** Returns the crashes that this process observed since the last call. */
  std::vector<ObservedCrash> takeCrashes();

  /** Returns the reports that this process refuted since the last call. */
  std::vector<fleet::CrashReport> takeRefutations();

  /** Returns a log line for each cause that is newly refused or no longer refused. */
  std::vector<std::string> takeEvents();

private:
  struct Suspect
  {
    EndpointKey endpoint;
    std::vector<Fingerprint> candidates;
    Time lostAt;
  };

  void recordCrash(Time now, const Suspect& suspect);
  void updateRefusals(Time now);
  /** Returns whether the reports no longer support the refusal of a candidate that is not a cause.
   */
  [[nodiscard]] bool isCleared(Fingerprint candidate) const;
  void removeRefusal(Fingerprint candidate, std::string_view reason);

  std::vector<Suspect> suspects_;
  fleet::CrashReportStore reports_;
  /** End of the refusal of each cause. */
  std::map<Fingerprint, Time> refusedUntil_;
  /** Revision of reports_ for which refusedUntil_ is current. */
  std::uint64_t evaluatedRevision_ = 0;
  std::vector<ObservedCrash> observedCrashes_;
  std::vector<fleet::CrashReport> refutations_;
  std::vector<std::string> events_;
};

} // namespace figchute::dispatch
