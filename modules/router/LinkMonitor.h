#pragma once

#include "core/core.h"

#include <deque>

namespace figchute::router {

/** Recognises that the network link of this VM is congested, from the connections to endpoints. A
    process that gets more requests than its link carries would hold each of them for several
    connection attempts, and would take the endpoints for unreachable. When single endpoints or
    availability zones are unreachable, others still answer promptly.
    Thread safety: use one instance from one thread only. */
class LinkMonitor
{
public:
  /** Observations older than this are not used. */
  static constexpr Duration kWindow = std::chrono::milliseconds(500);
  /** An answer within this time shows that the link is not congested. The delay to the farthest
      availability zone is a few milliseconds. */
  static constexpr Duration kPromptAnswer = std::chrono::milliseconds(150);
  /** The number of endpoints to which connections must have timed out. */
  static constexpr std::size_t kMinEndpoints = 3;

  /** Records that a connection to an endpoint was not established in time. */
  void connectTimedOut(Time now, const EndpointId& endpoint);

  /** Records the time from the start of a send to the head of its response. */
  void answered(Time now, Duration elapsed);

  /** Returns whether connections to several endpoints timed out recently and no endpoint answered
      promptly. */
  [[nodiscard]] bool isCongested(Time now) const;

private:
  struct ConnectTimeout
  {
    Time at;
    EndpointId endpoint;
  };

  std::deque<ConnectTimeout> timeouts_;
  Time lastPromptAnswer_;
};

} // namespace figchute::router
