#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "fleet/Messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace figchute::dispatch {

/** Bound on the requests that a cold endpoint gets in any second from all processes together: its
    sustained rate times @ref overage plus @ref slack. */
struct ColdBounds
{
  double overage = 1.5;
  double slack = 5;
};

/** How the limit of a cold endpoint is divided. */
struct ColdDivision
{
  /** The processes that may send; each may keep one unused request. */
  std::size_t senders = 0;
  /** Requests per second from all senders together. */
  double requestsPerSecond = 0;
};

/** Derives the division from the bound. The sum of what the senders send within a second plus
    ColdShares::kArrivalSpread is at most the bound. Safe from any thread.
    @param requestsPerSecond  what the endpoint sustains while cold, above 0 */
ColdDivision divideColdLimit(const ColdBounds& bounds, double requestsPerSecond);

/** An endpoint that became cold, or whose cold time ended. */
struct ColdChange
{
  EndpointId endpoint;
  /** The remaining cold time; nothing if it ended. */
  std::optional<Duration> remaining;
};

/** Divides the limits of cold endpoints among the entry processes, without a message per request.

    The senders of an endpoint are the first processes in its rendezvous order. Each has an equal
    share, because request rates reach the processes at different times. All others send nothing.
    A process is a sender only while control has confirmed recently that it is in the list of
    processes, and after it has been one of the first in every list of the last kHandoverTime.
    Thread safety: use one instance from one thread only. */
class ColdShares
{
public:
  /** Identifies an endpoint; equal on all processes for the same incarnation. */
  struct Key
  {
    std::uint64_t incarnation = 0;
    ZoneId zone;
  };

  /** A process that control has not confirmed for this time sends nothing to cold endpoints. It
      covers two lost messages, which are sent once a second. */
  static constexpr Duration kContactLease = std::chrono::seconds(3);
  /** A process takes over a place after this time. It is longer than kContactLease, so that the
      previous sender, which may be cut off, has stopped. */
  static constexpr Duration kHandoverTime = std::chrono::seconds(4);
  /** The time from a send to its arrival may differ by this much between two sends. A sender whose
      request has been unanswered for longer sends nothing more, because several requests may
      arrive together when a connection recovers. */
  static constexpr Duration kArrivalSpread = std::chrono::milliseconds(500);

  void setBounds(const ColdBounds& bounds) { bounds_ = bounds; }

  /** Sets this process and all entry processes including it. */
  void setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes);

  /** Sets when this process sent the newest message that control has answered. */
  void setContact(Time sentAt) { contactAt_ = contactAt_ ? std::max(*contactAt_, sentAt) : sentAt; }

  /** Records that an endpoint is cold. A known later end remains in force.
      @param requestsPerSecond  what the endpoint sustains; without effect unless above 0 */
  void add(Time now, const Key& key, const EndpointId& id, Time until, double requestsPerSecond);

  /** Returns whether an endpoint is cold and its rate is limited. */
  [[nodiscard]] bool isCold(Time now, const Key& key) const;

  /** Returns when this process may send a request: @p now if it may now, at the latest the end of
      the cold time. */
  [[nodiscard]] Time nextSendAt(Time now, const Key& key);

  /** Returns the requests per second of this process; nothing if the endpoint is not cold. */
  [[nodiscard]] std::optional<double> allowedRate(Time now, const Key& key);

  /** Returns whether a request that was recorded at @p sentAt, but was delayed, may still be
      sent. */
  [[nodiscard]] bool mayStillSend(Time now, const Key& key, Time sentAt) const;

  /** Records that a request is sent. */
  void recordSend(Time now, const Key& key);

  /** Records that a request that was recorded at @p sentAt has reached the endpoint or never will.
   */
  void recordArrival(Time now, const Key& key, Time sentAt);

  /** Removes the endpoints whose cold time has ended. */
  void expire(Time now);

  /** Returns the endpoints that became cold, or ceased to be, since the last call. */
  std::vector<ColdChange> takeChanges() { return std::exchange(changes_, {}); }

private:
  /** The share of this process of the limit of one endpoint. */
  struct Share
  {
    EndpointId id;
    Time since;
    Time until;
    /** What the endpoint sustains. */
    double requestsPerSecond = 0;
    /** Revision of the processes for which @ref senderFrom was computed. */
    std::uint64_t processRevision = 0;
    /** When this process is one of the senders; nothing if it is not. */
    std::optional<Time> senderFrom;
    /** Requests per second of this process if it is a sender. */
    double rate = 0;
    /** At most 1. */
    double tokens = 1;
    Time updatedAt;
    /** When requests were sent that may not have reached the endpoint yet. */
    std::vector<Time> unanswered;
  };

  /** A process that is in the list, or was within kHandoverTime. */
  struct Process
  {
    ZoneId zone;
    /** When it left the list. */
    std::optional<Time> removedAt;
  };

  Share* findShare(Time now, const Key& key);
  void updateProcesses(Time now);
  void updateSender(const Key& key, Share& share) const;
  /** Returns whether requests of this process may arrive together with the next one. */
  [[nodiscard]] static bool isStalled(Time now, const Share& share);
  [[nodiscard]] bool hasContact(Time now) const;

  ColdBounds bounds_;
  Fingerprint self_ = 0;
  std::map<Fingerprint, Process> processes_;
  /** A list that has not been applied, because the time was not known. */
  std::optional<std::map<Fingerprint, Process>> newProcesses_;
  /** When this process appeared in the list. */
  std::optional<Time> listedSince_;
  std::uint64_t processRevision_ = 1;
  std::optional<Time> contactAt_;
  std::map<std::uint64_t, Share> shares_;
  std::vector<ColdChange> changes_;
};

} // namespace figchute::dispatch
