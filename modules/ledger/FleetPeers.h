#pragma once

#include "ledger/QuotaManager.h"

#include <span>
#include <vector>

namespace figchute::ledger::detail {

/** The other processes of the fleet, as a quota manager uses them. A quota manager looks at them
   for each message, so all lists are computed when the peers change: an access must not take time
   in proportion to the size of the fleet. Thread safety: use one instance from one thread only. */
class FleetPeers
{
public:
  /** @param self          the holder that the lists are for; none of them contains it
      @param zone          its availability zone
      @param usesWitnesses QuotaSettings::usesWitnesses */
  FleetPeers(HolderId self, ZoneId zone, bool usesWitnesses);

  /** Replaces the processes and computes all lists. */
  void set(std::span<const Peer> peers);

  /** Returns the control VMs. */
  [[nodiscard]] std::span<const ProcessId> controls() const { return controls_; }

  /** Returns the live entry processes of the own availability zone, sorted. */
  [[nodiscard]] std::span<const HolderId> zoneEntries() const { return zoneEntries_; }

  /** Returns the live entry processes with which tokens can be exchanged, sorted. */
  [[nodiscard]] std::span<const HolderId> transferPeers() const { return transferPeers_; }

  /** Returns the transfer peers that this holder asks for tokens, in that order. */
  [[nodiscard]] std::span<const HolderId> transferPartners() const { return transferPartners_; }

  /** Returns the processes that can record charges, the preferred ones first. */
  [[nodiscard]] std::span<const HolderId> witnessCandidates() const { return witnessCandidates_; }

  /** Returns the witnesses of the reserves of a holder that records no charges, sorted. */
  [[nodiscard]] std::span<const HolderId> reserveWitnesses() const { return reserveWitnesses_; }

  [[nodiscard]] bool isLive(const HolderId& id) const;

  /** Returns whether tokens can be exchanged with a holder. */
  [[nodiscard]] bool isTransferPeer(const HolderId& id) const;

  /** Returns whether a later incarnation of a holder's process is listed. */
  [[nodiscard]] bool isReplaced(const HolderId& id) const;

private:
  /** Rotates a sorted list so that it starts with the first peer after this process, which spreads
      the records and transfers of the fleet over its processes. */
  [[nodiscard]] std::vector<HolderId> rotateToStartAfterSelf(std::vector<HolderId> peers) const;
  [[nodiscard]] std::vector<HolderId> liveEntries(bool inOwnZoneOnly) const;
  [[nodiscard]] std::vector<HolderId> selectTransferPartners() const;
  [[nodiscard]] std::vector<HolderId> selectWitnessCandidates() const;
  [[nodiscard]] std::vector<HolderId> selectReserveWitnesses() const;

  HolderId self_;
  ZoneId zone_;
  bool usesWitnesses_;
  /** Sorted by id. */
  std::vector<Peer> peers_;
  std::vector<ProcessId> controls_;
  std::vector<HolderId> zoneEntries_;
  std::vector<HolderId> transferPeers_;
  std::vector<HolderId> transferPartners_;
  std::vector<HolderId> witnessCandidates_;
  std::vector<HolderId> reserveWitnesses_;
};

} // namespace figchute::ledger::detail
