#pragma once

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figchute::router {

/** Chooses how connections to endpoints leave this VM: directly, or through tunnels of other entry
    processes while the VM is cut off from all endpoints. A cut is assumed when direct connections
   to several endpoints failed and none was established; it ends when direct connections work again.
    Tunnels are used only while other processes open them, so endpoints that are down for all
    processes are not taken for a cut for long.
    Thread safety: use one instance from one thread only. */
class EgressSelector
{
public:
  using Peer = boost::asio::ip::tcp::endpoint;

  /** Failed direct connections are counted for this time. */
  static constexpr Duration kFailureWindow = std::chrono::seconds(1);
  /** The number of endpoints to which direct connections must have failed. */
  static constexpr std::size_t kMinEndpoints = 3;
  /** The load is spread over this number of peers, if so many open tunnels. */
  static constexpr std::size_t kPreferredPeers = 3;
  /** While fewer peers are known to open tunnels, one of this number of connections tries another.
   */
  static constexpr std::uint64_t kTrialInterval = 8;
  /** A peer that opened no tunnel is not tried again for this time. */
  static constexpr Duration kPeerRetryInterval = std::chrono::seconds(2);
  /** After this number of consecutive failures a peer counts as one that opens no tunnels. */
  static constexpr int kMaxPeerFailures = 3;
  /** The interval of direct connection attempts while tunnels are used. */
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(400);
  /** The number of consecutive successful attempts that ends the use of tunnels. */
  static constexpr int kRequiredProbes = 2;
  /** When no peer opens tunnels, connections are direct for at least this time. */
  static constexpr Duration kDirectHold = std::chrono::seconds(2);

  /** @param seed  seed of the order in which peers are tried */
  explicit EgressSelector(std::uint64_t seed);

  /** Sets the addresses on which the other entry processes open tunnels. */
  void setPeers(std::span<const Peer> peers);

  /** Sets the number of endpoints in the registry. */
  void setEndpointCount(std::size_t count) { endpointCount_ = count; }

  /** Returns the peer whose tunnel the next connection uses; nothing for a direct connection. */
  [[nodiscard]] std::optional<Peer> nextPeer(Time now);

  /** Returns whether tunnels are used. */
  [[nodiscard]] bool isTunnelling() const { return tunnelling_; }

  /** Records that a direct connection could not be established. */
  void directFailed(Time now, const EndpointId& endpoint);

  /** Records that a direct connection was established. */
  void directConnected(Time now);

  /** Records that a peer opened a tunnel. */
  void tunnelOpened(const Peer& peer);

  /** Records that a peer opened no tunnel or did not reach the endpoint.
      @returns whether the peer is known to open tunnels, so that the endpoint may be at fault */
  bool tunnelFailed(Time now, const Peer& peer);

  /** Returns whether a direct connection attempt is due, and counts it as started. */
  [[nodiscard]] bool takeProbe(Time now);

  /** Records the result of a direct connection attempt. */
  void probed(Time now, bool connected);

private:
  struct Failure
  {
    Time at;
    EndpointId endpoint;
  };

  struct PeerState
  {
    /** Opened a tunnel since the last failure that counted. */
    bool works = false;
    int failures = 0;
    std::optional<Time> failedAt;
  };

  [[nodiscard]] bool isCutOff(Time now) const;
  [[nodiscard]] std::vector<Peer> workingPeers() const;
  /** Returns a peer that is not known to open tunnels and may be tried. */
  [[nodiscard]] std::optional<Peer> untriedPeer(Time now) const;
  void useTunnels(Time now);
  void useDirect();

  std::uint64_t seed_;
  std::size_t endpointCount_ = 0;
  /** In the order in which they are tried. */
  std::vector<Peer> peers_;
  std::map<Peer, PeerState> states_;
  std::deque<Failure> failures_;
  std::optional<Time> connectedAt_;
  bool tunnelling_ = false;
  std::uint64_t connections_ = 0;
  Time nextProbeAt_;
  int successfulProbes_ = 0;
  Time holdUntil_;
};

} // namespace figchute::router
