#include "ledger/FleetPeers.h"

#include <algorithm>
#include <iterator>

namespace figchute::ledger::detail {
namespace {

/** The maximum number of holders from which a holder requests tokens. Control keeps the totals of
    each pair of holders and budget, so with all pairs its state would grow with the square of the
    number of holders. */
constexpr std::size_t kMaxTransferPartners = 16;
/** The same for holders without witnesses. They also ask the peers that control names as those with
    the most tokens. */
constexpr std::size_t kMaxRouterTransferPartners = 12;
/** The number of witnesses of a holder's reserves. All of them must acknowledge, so with more it
    would be likelier that a failed witness blocks unlocking while control is unreachable. With only
    one, the reserve would be lost when the witness and the holder fail together. */
constexpr std::size_t kReserveWitnessCount = 2;

bool contains(std::span<const HolderId> ids, const HolderId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Compares a peer with an id, for binary searches in the sorted peers. */
constexpr auto kOrderById = [](const Peer& peer, const HolderId& id) { return peer.id < id; };

} // namespace

FleetPeers::FleetPeers(HolderId self, ZoneId zone, bool usesWitnesses)
  : self_(std::move(self))
  , zone_(std::move(zone))
  , usesWitnesses_(usesWitnesses)
{
}

void FleetPeers::set(std::span<const Peer> peers)
{
  peers_.assign(peers.begin(), peers.end());
  std::sort(peers_.begin(), peers_.end(), [](const Peer& a, const Peer& b) { return a.id < b.id; });
  controls_.clear();
  for (const auto& peer : peers_) {
    if (peer.control) {
      controls_.push_back(peer.id.process);
    }
  }
  zoneEntries_ = liveEntries(true);
  transferPeers_ = usesWitnesses_ ? zoneEntries_ : liveEntries(false);
  transferPartners_ = selectTransferPartners();
  witnessCandidates_ = selectWitnessCandidates();
  reserveWitnesses_ = selectReserveWitnesses();
}

bool FleetPeers::isLive(const HolderId& id) const
{
  const auto peer = std::lower_bound(peers_.begin(), peers_.end(), id, kOrderById);
  return peer != peers_.end() && peer->id == id && peer->live;
}

bool FleetPeers::isTransferPeer(const HolderId& id) const
{
  return std::binary_search(transferPeers_.begin(), transferPeers_.end(), id);
}

bool FleetPeers::isReplaced(const HolderId& id) const
{
  // Peers are sorted by process first, so a later incarnation follows directly.
  const auto next = std::upper_bound(
    peers_.begin(), peers_.end(), id, [](const HolderId& a, const Peer& b) { return a < b.id; });
  return next != peers_.end() && next->id.process == id.process;
}

std::vector<HolderId> FleetPeers::rotateToStartAfterSelf(std::vector<HolderId> peers) const
{
  const auto firstAfterSelf = std::find_if(
    peers.begin(), peers.end(), [this](const HolderId& id) { return id.process > self_.process; });
  std::rotate(peers.begin(), firstAfterSelf, peers.end());
  return peers;
}

std::vector<HolderId> FleetPeers::liveEntries(bool inOwnZoneOnly) const
{
  std::vector<HolderId> entries;
  for (const auto& peer : peers_) {
    const bool usable = peer.entry && peer.live && peer.id.process != self_.process;
    if (usable && (!inOwnZoneOnly || peer.zone == zone_)) {
      entries.push_back(peer.id);
    }
  }
  return entries;
}

std::vector<HolderId> FleetPeers::selectTransferPartners() const
{
  const auto maxPartners = usesWitnesses_ ? kMaxTransferPartners : kMaxRouterTransferPartners;
  if (transferPeers_.size() <= maxPartners) {
    return transferPeers_;
  }
  // Half of the partners are in the same availability zone, which may be isolated. The others are
  // spread evenly over the fleet. Both start after this holder, so they differ between holders.
  auto partners = rotateToStartAfterSelf(zoneEntries_);
  partners.resize(std::min(partners.size(), maxPartners / 2));
  auto peers = rotateToStartAfterSelf(transferPeers_);
  std::erase_if(peers, [&partners](const HolderId& peer) { return contains(partners, peer); });
  const auto others = maxPartners - partners.size();
  for (std::size_t i = 0; i < others; ++i) {
    partners.push_back(peers[i * peers.size() / others]);
  }
  return partners;
}

std::vector<HolderId> FleetPeers::selectWitnessCandidates() const
{
  auto candidates = rotateToStartAfterSelf(zoneEntries_);
  const auto entries = candidates.size();
  for (const bool sameZone : { true, false }) {
    for (const auto& peer : peers_) {
      const bool usable = peer.control && peer.live && peer.id.process != self_.process;
      const bool isEntryOfZone = usable && contains(std::span(candidates).first(entries), peer.id);
      if (usable && (peer.zone == zone_) == sameZone && !isEntryOfZone) {
        candidates.push_back(peer.id);
      }
    }
  }
  return candidates;
}

std::vector<HolderId> FleetPeers::selectReserveWitnesses() const
{
  // Witnesses in the same availability zone stay reachable when the zone is isolated.
  auto witnesses = rotateToStartAfterSelf(zoneEntries_);
  witnesses.resize(std::min(witnesses.size(), kReserveWitnessCount));
  if (witnesses.size() < kReserveWitnessCount) {
    for (auto& peer : rotateToStartAfterSelf(transferPeers_)) {
      if (witnesses.size() < kReserveWitnessCount && !contains(witnesses, peer)) {
        witnesses.push_back(std::move(peer));
      }
    }
  }
  std::sort(witnesses.begin(), witnesses.end());
  return witnesses;
}

} // namespace figchute::ledger::detail
