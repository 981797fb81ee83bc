#include "router/EgressSelector.h"

#include <algorithm>
#include <random>
#include <set>

namespace figchute::router {

EgressSelector::EgressSelector(std::uint64_t seed)
  : seed_(seed)
{
}

void EgressSelector::setPeers(std::span<const Peer> peers)
{
  peers_.assign(peers.begin(), peers.end());
  std::sort(peers_.begin(), peers_.end());
  // Each process has its own order, so that cut-off processes do not all use the same peers.
  std::shuffle(peers_.begin(), peers_.end(), std::mt19937_64(seed_));
  std::erase_if(states_, [this](const auto& item) {
    return std::find(peers_.begin(), peers_.end(), item.first) == peers_.end();
  });
}

std::optional<EgressSelector::Peer> EgressSelector::nextPeer(Time now)
{
  if (!tunnelling_) {
    return std::nullopt;
  }
  ++connections_;
  const auto working = workingPeers();
  const bool triesAnother = working.size() < kPreferredPeers && connections_ % kTrialInterval == 0;
  if (working.empty() || triesAnother) {
    if (auto peer = untriedPeer(now)) {
      return peer;
    }
  }
  if (working.empty()) {
    useDirect();
    holdUntil_ = now + kDirectHold;
    return std::nullopt;
  }
  return working[connections_ % working.size()];
}

std::vector<EgressSelector::Peer> EgressSelector::workingPeers() const
{
  std::vector<Peer> working;
  for (const auto& [peer, state] : states_) {
    if (state.works) {
      working.push_back(peer);
    }
  }
  return working;
}

std::optional<EgressSelector::Peer> EgressSelector::untriedPeer(Time now) const
{
  const auto mayBeTried = [this, now](const Peer& peer) {
    const auto state = states_.find(peer);
    if (state == states_.end()) {
      return true;
    }
    const auto& failedAt = state->second.failedAt;
    return !state->second.works && (!failedAt || now - *failedAt >= kPeerRetryInterval);
  };
  const auto peer = std::find_if(peers_.begin(), peers_.end(), mayBeTried);
  return peer == peers_.end() ? std::nullopt : std::optional(*peer);
}

void EgressSelector::directFailed(Time now, const EndpointId& endpoint)
{
  while (!failures_.empty() && now - failures_.front().at > kFailureWindow) {
    failures_.pop_front();
  }
  failures_.push_back({ now, endpoint });
  if (!tunnelling_ && now >= holdUntil_ && !peers_.empty() && isCutOff(now)) {
    useTunnels(now);
  }
}

bool EgressSelector::isCutOff(Time now) const
{
  if (connectedAt_ && now - *connectedAt_ <= kFailureWindow) {
    return false;
  }
  std::set<EndpointId> endpoints;
  for (const auto& failure : failures_) {
    endpoints.insert(failure.endpoint);
  }
  return endpoints.size() >= std::min(kMinEndpoints, std::max<std::size_t>(endpointCount_, 1));
}

void EgressSelector::useTunnels(Time now)
{
  tunnelling_ = true;
  successfulProbes_ = 0;
  nextProbeAt_ = now + kProbeInterval;
  states_.clear();
}

void EgressSelector::useDirect()
{
  tunnelling_ = false;
  failures_.clear();
}

void EgressSelector::directConnected(Time now)
{
  connectedAt_ = now;
}

void EgressSelector::tunnelOpened(const Peer& peer)
{
  states_[peer] = { true, 0, {} };
}

bool EgressSelector::tunnelFailed(Time now, const Peer& peer)
{
  auto& state = states_[peer];
  const bool didWork = state.works;
  state.failedAt = now;
  if (!didWork || ++state.failures >= kMaxPeerFailures) {
    state.works = false;
    state.failures = 0;
  }
  return didWork;
}

bool EgressSelector::takeProbe(Time now)
{
  if (!tunnelling_ || now < nextProbeAt_) {
    return false;
  }
  nextProbeAt_ = now + kProbeInterval;
  return true;
}

void EgressSelector::probed(Time now, bool connected)
{
  successfulProbes_ = connected ? successfulProbes_ + 1 : 0;
  if (tunnelling_ && successfulProbes_ >= kRequiredProbes) {
    useDirect();
    directConnected(now);
  }
}

} // namespace figchute::router
