#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "dispatch/ColdShares.h"
#include "fleet/Messages.h"
#include "fleet/RateLimitStore.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figchute::dispatch {

/** Divides the rate limits of endpoints among the entry processes, without a message per request. A
    limit has two sources: endpoints name limits in their answers, and cold endpoints have one that
    ColdShares divides. The stricter one applies.

    A few processes, chosen for each limited endpoint by rendezvous hashing over the list of entry
    processes, send to it. They divide its limit by the requests that they get; all others send
    nothing. A process that is stopped or cut off leaves the list, and its place goes to the next
    one, which waits until the previous one has learned of the change. Limits are learned from
    answers and from the other processes.
    Thread safety: use one instance from one thread only. */
class RateLimitShares
{
public:
  /** A limited endpoint. */
  using EndpointKey = ColdShares::Key;

  /** A process that becomes a sender starts to send after this time. Updates of the list of
      processes reach all of them within about a second. */
  static constexpr Duration kHandoverTime = std::chrono::milliseconds(1500);
  /** After each of these times without an answer of the endpoint, one more process may send a
      request, to learn whether the limit still holds. */
  static constexpr Duration kProbeInterval = std::chrono::seconds(8);

  /** Sets this process and all entry processes including it. */
  void setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes);

  /** Sets the request rates of the entry processes. Until then, and as long as the rate of this
      process is missing, the senders have equal shares. */
  void setRequestRates(std::span<const fleet::RequestRate> rates);

  /** Records what an answer said.
      @param sentAt             when the request was sent
      @param requestsPerSecond  the limit that the answer named, if any; finite and at least 0
      @returns whether a limit began, changed or ended */
  bool recordAnswer(Time now,
                    const EndpointKey& endpoint,
                    Time sentAt,
                    std::optional<double> requestsPerSecond);

  /** Adds limits that other processes observed. */
  void addLimits(Time now, std::span<const fleet::RateLimit> limits);

  /** Returns when this process may send a request to an endpoint: @p now if it may now; nothing if
      it may not before the limit or the list of processes changes. */
  [[nodiscard]] std::optional<Time> nextSendAt(Time now, const EndpointKey& endpoint);

  /** Returns whether this process may send a request to an endpoint now. */
  [[nodiscard]] bool maySend(Time now, const EndpointKey& endpoint);

  /** Returns how many requests per second this process may send to an endpoint; nothing if the
      endpoint names no limit. */
  [[nodiscard]] std::optional<double> allowedRate(Time now, const EndpointKey& endpoint);

  /** Records that a request is sent to an endpoint. */
  void recordSend(Time now, const EndpointKey& endpoint);

  /** Returns the limits of cold endpoints. */
  [[nodiscard]] ColdShares& cold() { return cold_; }

  /** Removes expired limits. */
  void expire(Time now);

  /** Returns the limits that this process observed at @p since or later. */
  [[nodiscard]] std::vector<fleet::RateLimit> observedSince(Time now, Time since) const
  {
    return observed_.observedSince(now, since);
  }

private:
  /** The share of this process of one limit. */
  struct Share
  {
    /** Revisions for which the share was computed; 0 for a new share. */
    std::uint64_t limitRevision = 0;
    std::uint64_t processRevision = 0;
    std::uint64_t rateRevision = 0;
    /** The processes that may send to the endpoint. */
    std::vector<Fingerprint> senders;
    /** Position of this process in the order of the endpoint. */
    std::size_t rank = 0;
    /** Requests per second; 0 for none. */
    double rate = 0;
    /** Requests that may be sent at @ref updatedAt. */
    double tokens = 0;
    Time updatedAt;
    /** The last request to learn whether the limit still holds. */
    Time probedAt;
  };

  struct Process
  {
    Fingerprint fingerprint = 0;
    ZoneId zone;
  };

  /** A process in the order of an endpoint, which prefers the processes of its zone. */
  struct RankedProcess
  {
    bool inZone = false;
    std::uint64_t weight = 0;
    Fingerprint process = 0;
    auto operator<=>(const RankedProcess&) const = default;
  };

  /** Returns the record of an endpoint that is limited now, or nullptr. */
  [[nodiscard]] const fleet::RateLimitStore::Record* findLimit(const EndpointKey& endpoint) const;
  /** Returns when the limit that an endpoint names allows the next request of this process. */
  [[nodiscard]] std::optional<Time> nextNamedSendAt(Time now, const EndpointKey& endpoint);
  /** Returns the share of this process, brought up to date. */
  Share& updateShare(Time now,
                     const EndpointKey& endpoint,
                     const fleet::RateLimitStore::Record& record);
  void selectSenders(const EndpointKey& endpoint, double requestsPerSecond, Share& share) const;
  [[nodiscard]] std::vector<RankedProcess> rankProcesses(const EndpointKey& endpoint) const;
  /** Sets the rate of a share and what may be sent at once. */
  void applyRate(Time now, double requestsPerSecond, Share& share) const;
  /** Returns the fraction of a limit that this process may use if it is one of the senders. */
  [[nodiscard]] double ownFraction(std::span<const Fingerprint> senders) const;
  [[nodiscard]] double requestRateOf(Fingerprint process) const;
  /** Returns whether this process may send a request to learn whether the limit still holds. */
  [[nodiscard]] static bool isProbeDue(Time now,
                                       const fleet::RateLimitStore::Record& record,
                                       const Share& share);

  Fingerprint self_ = 0;
  std::vector<Process> processes_;
  std::map<Fingerprint, double> requestRates_;
  std::uint64_t processRevision_ = 1;
  std::uint64_t rateRevision_ = 1;
  /** The newest limits that any process observed. */
  fleet::RateLimitStore limits_;
  /** The limits that this process observed. */
  fleet::RateLimitStore observed_;
  std::map<std::uint64_t, Share> shares_;
  ColdShares cold_;
};

} // namespace figchute::dispatch
