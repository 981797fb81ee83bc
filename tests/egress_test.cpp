#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "router/EgressSelector.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::router;
using namespace std::chrono_literals;

namespace {

using Peer = EgressSelector::Peer;

Peer peerOf(unsigned short number)
{
  return { boost::asio::ip::make_address("10.0.0." + std::to_string(number)), 7000 };
}

/** A VM with 8 peers and 12 endpoints. */
struct EgressFixture
{
  EgressFixture()
  {
    for (unsigned short number = 1; number <= 8; ++number) {
      peers.push_back(peerOf(number));
    }
    egress.setPeers(peers);
    egress.setEndpointCount(12);
  }

  void failDirect(std::size_t endpoints)
  {
    for (std::size_t i = 0; i < endpoints; ++i) {
      egress.directFailed(now, EndpointId("e" + std::to_string(i)));
    }
  }

  /** Makes a connection as a process does whose peers with a number up to @p working open tunnels.
      @returns the peer used, if any */
  std::optional<Peer> connect(std::size_t working)
  {
    auto peer = egress.nextPeer(now);
    if (peer) {
      const auto isWorking = std::find(peers.begin(), peers.end(), *peer) <
                             peers.begin() + static_cast<std::ptrdiff_t>(working);
      if (isWorking) {
        egress.tunnelOpened(*peer);
      } else {
        egress.tunnelFailed(now, *peer);
      }
    }
    return peer;
  }

  std::vector<Peer> peers;
  EgressSelector egress{ 1 };
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a VM that refuses its callers while it is cut off from all endpoints but not from
// other VMs.
TEST_CASE_FIXTURE(EgressFixture, "Egress_connectionsToSeveralEndpointsFail_usesTunnels")
{
  CHECK_FALSE(egress.nextPeer(now));
  failDirect(2);
  CHECK_FALSE(egress.isTunnelling());
  failDirect(3);
  CHECK(egress.isTunnelling());
  CHECK(egress.nextPeer(now));
}

// Guards against tunnels because of single endpoints, or of an availability zone, that are down.
TEST_CASE_FIXTURE(EgressFixture, "Egress_oneEndpointFailsOrOthersConnect_staysDirect")
{
  for (int i = 0; i < 10; ++i) {
    failDirect(1);
  }
  CHECK_FALSE(egress.isTunnelling());
  egress.directConnected(now);
  failDirect(12);
  CHECK_FALSE(egress.isTunnelling());
  now = now + EgressSelector::kFailureWindow + 1ms;
  failDirect(2);
  CHECK_FALSE(egress.isTunnelling());
  failDirect(3);
  CHECK(egress.isTunnelling());
}

// Guards against a cut that is never recognised because the service has few endpoints.
TEST_CASE_FIXTURE(EgressFixture, "Egress_fleetHasOneEndpoint_oneFailureSuffices")
{
  egress.setEndpointCount(1);
  failDirect(1);
  CHECK(egress.isTunnelling());
}

// Guards against a cut-off VM that keeps asking peers which are cut off too, and against one peer
// that carries all load.
TEST_CASE_FIXTURE(EgressFixture, "Egress_mostPeersAreCutOffToo_spreadsOverThoseThatWork")
{
  constexpr std::size_t kWorking = 3;
  failDirect(3);
  int failures = 0;
  std::map<Peer, int> uses;
  for (int i = 0; i < 200; ++i) {
    now = now + 5ms;
    const auto peer = connect(kWorking);
    REQUIRE(peer);
    const auto isWorking = std::find(peers.begin(), peers.end(), *peer) < peers.begin() + kWorking;
    failures += isWorking ? 0 : 1;
    ++uses[*peer];
  }
  CHECK(failures <= 5);
  for (std::size_t i = 0; i < kWorking; ++i) {
    CHECK(uses[peers[i]] > 30);
  }
}

// Guards against endless attempts at tunnels when the endpoints are down for all VMs.
TEST_CASE_FIXTURE(EgressFixture, "Egress_noPeerOpensTunnels_returnsToDirectForAWhile")
{
  failDirect(3);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    CHECK(connect(0));
  }
  CHECK_FALSE(connect(0));
  CHECK_FALSE(egress.isTunnelling());
  failDirect(12);
  CHECK_FALSE(egress.isTunnelling());
  now = now + EgressSelector::kDirectHold;
  failDirect(3);
  CHECK(egress.isTunnelling());
}

// Guards against a peer that is given up because one endpoint is down, and against one that is used
// although it is cut off now.
TEST_CASE_FIXTURE(EgressFixture, "Egress_workingPeerFails_isUsedUntilItFailsRepeatedly")
{
  failDirect(3);
  const auto peer = *connect(8);
  for (int i = 1; i < EgressSelector::kMaxPeerFailures; ++i) {
    CHECK(egress.tunnelFailed(now, peer));
  }
  CHECK(egress.nextPeer(now) == peer);
  CHECK(egress.tunnelFailed(now, peer));
  CHECK_FALSE(egress.tunnelFailed(now, peer));
  CHECK(egress.nextPeer(now) != peer);
}

// Guards against a VM that goes on to use tunnels after its cut, or returns because of one lucky
// connection.
TEST_CASE_FIXTURE(EgressFixture, "Egress_directConnectionsWorkAgain_endsTunnels")
{
  CHECK_FALSE(egress.takeProbe(now));
  failDirect(3);
  connect(8);
  CHECK_FALSE(egress.takeProbe(now));
  now = now + EgressSelector::kProbeInterval;
  CHECK(egress.takeProbe(now));
  CHECK_FALSE(egress.takeProbe(now));
  egress.probed(now, true);
  egress.probed(now, false);
  egress.probed(now, true);
  CHECK(egress.isTunnelling());
  egress.probed(now, true);
  CHECK_FALSE(egress.isTunnelling());
  CHECK_FALSE(egress.nextPeer(now));
}

// Guards against tunnels without any other entry process.
TEST_CASE_FIXTURE(EgressFixture, "Egress_noPeers_staysDirect")
{
  egress.setPeers({});
  failDirect(12);
  CHECK_FALSE(egress.isTunnelling());
}
