#pragma once

#include "fleet/Messages.h"
#include "fleet/StreamOriginStore.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace figchute::fleet {

/** Records the origins of the streams of an entry process, and finds those of streams that other
    entry processes began. Origins are kept at two control processes, so that they outlive all entry
    processes. It does no I/O and reads no clock.
    Thread safety: use one instance from one thread only. */
class StreamOriginClient
{
public:
  /** A query ends unanswered after this time. */
  static constexpr Duration kQueryTimeout = std::chrono::milliseconds(250);
  /** Unanswered queries are sent again after this time. */
  static constexpr Duration kResendInterval = std::chrono::milliseconds(100);
  /** Minimum time between two reports of new origins. */
  static constexpr Duration kReportInterval = std::chrono::milliseconds(50);
  /** The number of control processes that keep each origin. */
  static constexpr std::size_t kKeepers = 2;
  /** The number of control processes that are asked for an origin. */
  static constexpr std::size_t kMaxQueried = 7;

  /** The result of find(). */
  struct Answer
  {
    std::uint64_t queryId = 0;
    /** Nothing if the origin is unknown. */
    std::optional<StreamOrigin> origin;
    /** Whether control processes did not answer in time, so that a later query may find an origin.
     */
    bool isTimeout = false;
  };

  /** Sets the known control processes.
      @param current   the one that this process follows, if any
      @param controls  all of them */
  void setControls(const std::optional<ProcessId>& current, std::vector<ProcessId> controls);

  /** Records the origin of a stream whose first event was received here, and reports it to control
      processes at once unless the last report was sent less than kReportInterval ago. */
  void add(Time now, const StreamOrigin& origin);

  /** Looks up a stream. takeAnswers() returns the result, at once if this process recorded it.
      @param queryId  unique within this process
      @param service  the service that the stream had if nobody recorded its origin */
  void find(Time now, std::uint64_t queryId, Fingerprint stream, const ServiceName& service);

  /** Ends a query without an answer. */
  void cancel(std::uint64_t queryId) { queries_.erase(queryId); }

  void receive(const ProcessId& from, const StreamOriginReply& reply);

  /** Sends due reports and queries, and ends queries that take too long. */
  void tick(Time now);

  /** Returns whether tick() has something to do soon. */
  [[nodiscard]] bool isBusy() const { return !queries_.empty() || !unreported_.empty(); }

  /** Returns and clears the results of queries. */
  std::vector<Answer> takeAnswers() { return std::exchange(answers_, {}); }

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  struct Query
  {
    StreamOriginQuery message;
    Time startedAt;
    Time sentAt;
    /** The control processes that have not answered. */
    std::set<ProcessId> waitingFor;
  };

  void send(Time now, Query& query);
  void reportIfDue(Time now);

  std::vector<ProcessId> controls_;
  StreamOriginStore origins_;
  std::vector<StreamOrigin> unreported_;
  Time nextReportAt_;
  std::map<std::uint64_t, Query> queries_;
  std::vector<Answer> answers_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::fleet
