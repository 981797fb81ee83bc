#pragma once

#include "dispatch/Work.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace figchute::dispatch {

/** One send of a request that has not ended. */
struct Send
{
  std::size_t place = 0;
  Time sentAt;
  /** Last byte of the answer; the send time before the first one. */
  Time heardAt;
  bool answering = false;
  /** A trial of an endpoint that is out. */
  bool trial = false;
  /** It was counted as a failure because nothing came. */
  bool overdue = false;
  /** Time that the engine needs to read what is not cached. */
  Duration reading{};
  /** Time to the first token without the work of other processes. */
  Duration expected{};
  /** Predicted time to the first token. */
  Duration predicted{};
};

/** What is kept of a request until it is forgotten. */
struct RequestState
{
  ServiceName service;
  fleet::RouteKind kind = fleet::RouteKind::once;
  int priority = 5;
  std::string workspace;
  Duration target{};
  std::int64_t promptTokens = 0;
  std::uint64_t fingerprint = 0;
  int sends = 0;
  std::optional<Send> send;
};

/** The requests of this process, with the number of sends of each workspace.
    Thread safety: use one instance from one thread only. */
class SendTable
{
public:
  /** Returns the state of a request, new when the id is unknown. */
  RequestState& of(const Work& work);

  /** Returns the state of a request, or nullptr. */
  RequestState* find(std::uint64_t workId);

  /** Adds a send of a request that has none. */
  void begin(RequestState& request, const Send& send);

  /** Removes the send of a request and returns it. */
  Send end(RequestState& request);

  /** Forgets a request whose send has ended. */
  void forget(std::uint64_t workId) { requests_.erase(workId); }

  /** Returns whether a workspace has no more sends than the mean of those that have any. */
  [[nodiscard]] bool isSmall(const ServiceName& service, const std::string& workspace) const;

  /** Returns the requests in order of their ids. */
  [[nodiscard]] std::map<std::uint64_t, RequestState>& all() { return requests_; }

private:
  struct Totals
  {
    std::size_t sends = 0;
    std::map<std::string, std::size_t> byWorkspace;
  };

  std::map<std::uint64_t, RequestState> requests_;
  std::map<ServiceName, Totals> totals_;
};

} // namespace figchute::dispatch
