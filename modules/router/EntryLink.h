#pragma once

#include "fleet/RouteTable.h"
#include "http/http.h"
#include "router/AcceptLimit.h"
#include "router/LinkAdmission.h"
#include "router/LinkBudget.h"
#include "router/LinkReadiness.h"
#include "router/LogWriter.h"

#include <array>
#include <cstdint>

namespace figchute::router {

/** Applies LinkAdmission to the requests that an entry process receives, and reports what is
    refused. When even the refusals exceed the link, it pauses accepting.
    Thread safety: use one instance from one thread only. */
class EntryLink
{
public:
  /** The share is larger than LinkBudget::kMaxUtilisation, so that refusals have room beside the
      admitted requests. */
  static constexpr AcceptLimit kAcceptLimit{ 0.85, std::chrono::milliseconds(200), 32 };
  /** The expected size of the first request of a connection, in bytes. Without it, connections are
      accepted while the requests of those accepted before wait for the link unseen. */
  static constexpr std::uint64_t kFirstRequestBytes = 4096;
  /** What refused callers are told to wait: their retry reaches another VM, which need not wait for
      this one. */
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(20);

  /** @param bytesPerSecond  the bandwidth of the link in each direction; must be positive
      @param log             must outlive this object, as must @p metrics */
  EntryLink(double bytesPerSecond, LogWriter& log, Metrics& metrics);

  /** Adds the traffic since the last call.
      @param total    the bytes since the start of the process
      @param refused  the part of them that belongs to refused requests
      @param unusedConnections  see http::Server::unusedConnections() */
  void update(Time now,
              const http::Traffic& total,
              const http::Traffic& refused,
              std::uint64_t unusedConnections);

  /** Returns how long no connection may be accepted. */
  [[nodiscard]] Duration acceptDelay() const;

  /** Decides on a request of which only the head has been read. A request without a route is
      admitted, because its response is an error that the Exchange chooses.
      @param table  null before the first configuration */
  http::HeadDecision decide(Time now,
                            const fleet::RouteTable* table,
                            const http::RequestHead& head,
                            const http::HeadInfo& info);

  /** Logs what was refused, counts the use of the link and decides on the readiness, at most once a
      second. Call it more often. */
  void report(Time now);

  /** Returns whether the link allows the process to count as ready. */
  [[nodiscard]] bool isReady() const { return readiness_.isReady(); }

private:
  static constexpr std::size_t kRanks = 10;

  void countRefusal(int rank, LinkRefusal refusal);
  void logRefusals(Time now);
  void updateReadiness(Time now);

  LogWriter& log_;
  Metrics& metrics_;
  double bytesPerMicrosecond_;
  LinkBudget acceptBudget_;
  LinkAdmission admission_;
  LinkReadiness readiness_;
  http::Traffic traffic_;
  http::Traffic reportedTraffic_;
  Time reportedAt_;
  /** Since the last report. */
  std::uint64_t admitted_ = 0;
  std::array<std::uint64_t, kRanks> refusedByRank_{};
  std::uint64_t refusedForShare_ = 0;
  std::uint64_t refusedForWait_ = 0;
};

} // namespace figchute::router
