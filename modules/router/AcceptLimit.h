#pragma once

#include "core/core.h"

namespace figchute::router {

/** Limits the connections of an entry process to what the network link of its VM carries.
    Thread safety: safe from any thread. */
struct AcceptLimit
{
  /** The mean size of a request that arrives on a new connection, in bytes. */
  static constexpr double kRequestBytes = 4096;

  /** Connections are accepted while the traffic is below this share of the link, in each direction.
   */
  double utilisation;
  /** The connections that wait to be accepted are those whose requests the link carries in this
      time. */
  Duration maxQueueTime;
  /** The least number of connections that may wait. */
  int minBacklog;

  /** Returns the number of connections that may wait to be accepted.
      @param bytesPerSecond  the bandwidth of the link in each direction; must be positive
      @param maxBacklog      the result for a link that is fast enough; at least minBacklog */
  [[nodiscard]] int backlog(double bytesPerSecond, int maxBacklog) const;
};

/** The limit of a process that does not admit requests to the link one by one.

    The load pattern is a workspace whose callers send more to one VM than its link carries. How
    many of their requests are served depends on the link. Whether these are served in time depends
    on what waits before them, on the link and in the queue of connections that are not accepted
    yet. Both are therefore short: the link is not filled, because requests arrive in bursts and
    those on open connections are not limited, and a connection that cannot be accepted at once
    fails, so that no caller waits behind others until its request is late. */
inline constexpr AcceptLimit kConnectionLimit{ 0.7, std::chrono::milliseconds(10), 2 };

} // namespace figchute::router
