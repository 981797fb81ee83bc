#pragma once

#include "core/Types.h"
#include "routing/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figchute::routing {

/** An announcement that is not repeated within this time expires. */
constexpr Duration kAnnouncementLife = std::chrono::seconds(6);

/** One endpoint as the registry knows it. */
struct Endpoint
{
  Announcement announcement;
  /** Changes when the place of a removed endpoint is taken by another one. */
  std::uint64_t generation = 0;
  /** Seed for rendezvous hashing, the same on every VM. */
  std::uint64_t hash = 0;
  /** When this VM learned that the endpoint leaves; 0 while it does not. */
  Time leavingSince;
  /** When the endpoint was last known to be alive, by an announcement or a summary. */
  Time confirmed;
  bool live = false;
};

/** Keeps what endpoints announce and exchanges the changes with other VMs.

    Changes go over the links of Peers: whole announcements when something other than the load
    changed, load reports otherwise. Small load changes are held back. In the zone each load is
    refreshed in time for the expiry; between zones a summary of the relay does that for all
    endpoints of its zone at once, which keeps the cost per VM bounded. A leaving endpoint is passed
    on at once.

    Clocks of the VMs may differ by up to a second. An announcement received first-hand always
    replaces what other VMs said.
    Thread safety: use one instance from one thread at a time. */
class EndpointRegistry
{
public:
  /** Creates an empty registry.
      @param zone  the zone of this VM */
  explicit EndpointRegistry(ZoneId zone)
    : zone_(std::move(zone))
  {
  }

  /** Replaces the links to other VMs. */
  void setPeers(Peers peers) { peers_ = std::move(peers); }

  /** Takes an announcement first-hand.
      @param now           the current time
      @param announcement  what the endpoint sent; its field announced is ignored */
  void announce(Time now, Announcement announcement);

  /** Handles changes from another VM. Older statements than the known ones have no effect. */
  void receive(Time now, const ProcessId& from, const RegistryDelta& delta);

  /** Answers a request with the live endpoints of the zone in question. */
  void receive(Time now, const ProcessId& from, const RegistryRequest& request);

  /** Removes expired endpoints and prepares the messages that are due. */
  void tick(Time now);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the places of the live endpoints of a model, leaving ones included.
      @returns a view that the next non-const call invalidates */
  [[nodiscard]] std::span<const std::uint32_t> endpointsServing(const ModelName& model) const;

  /** Returns the places of the live endpoints of a plain service, leaving ones included.
      @returns a view that the next non-const call invalidates */
  [[nodiscard]] std::span<const std::uint32_t> endpointsServing(const ServiceName& service) const;

  /** Returns whether the model was ever served, by endpoints that may be gone now. */
  [[nodiscard]] bool knows(const ModelName& model) const { return byModel_.contains(model); }

  /** Returns whether the service was ever served, by endpoints that may be gone now. */
  [[nodiscard]] bool knows(const ServiceName& service) const
  {
    return byService_.contains(service);
  }

  /** Calls @p visit with the places of each model and each service in turn. */
  template<typename Visit>
  void forEachGroup(Visit visit) const
  {
    for (const auto& [model, places] : byModel_) {
      visit(std::span<const std::uint32_t>(places));
    }
    for (const auto& [service, places] : byService_) {
      visit(std::span<const std::uint32_t>(places));
    }
  }

  /** Returns the endpoint at a place below size(). Removed ones have live == false. */
  [[nodiscard]] const Endpoint& at(std::uint32_t place) const { return endpoints_[place]; }

  /** Returns the place of a live endpoint, or nullopt. */
  [[nodiscard]] std::optional<std::uint32_t> find(const EndpointId& id) const;

  /** Returns the number of places, those of removed endpoints included. */
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

private:
  /** A change that waits to be sent. */
  struct Pending
  {
    /** Whether more than the load changed. */
    bool whole = false;
    /** The VM the change came from, which does not get it back. */
    ProcessId source;
  };
  using PendingMap = std::map<std::uint32_t, Pending>;

  /** What was last passed on for an endpoint, to hold back small changes. */
  struct Forwarded
  {
    Time at;
    std::uint32_t load = 0;
  };

  std::uint32_t place(const Announcement& announcement);
  void store(Time now, const Announcement& announcement, const ProcessId& source);
  void storeLoad(Time now, const LoadReport& report, const ProcessId& source, bool& unknown);
  void compare(Time now, const ZoneSummary& summary, const ProcessId& source);
  void removeMissing(const RegistryDelta& delta);
  void removeGone(const RegistryDelta& delta);
  void request(Time now, const ProcessId& from, const ZoneId& zone);
  void enqueue(Time now, std::uint32_t place, const ProcessId& source, bool whole);
  void remove(std::uint32_t place);
  void index(std::uint32_t place, bool add);
  void flush(Time now, const std::vector<ProcessId>& links, PendingMap& pending);
  void flushToNeighbours(Time now);
  void flushToRelays(Time now);
  [[nodiscard]] RegistryDelta makeDelta(Time now,
                                        const ProcessId& link,
                                        const PendingMap& pending) const;
  [[nodiscard]] bool isRelay(const ProcessId& source) const;
  [[nodiscard]] bool loadWorthSending(Time now, std::uint32_t place, bool toRelays);

  /** A zone as its summaries describe it. */
  struct ZoneState
  {
    /** Digest of the live endpoints here, kept up to date by index(). */
    std::uint32_t digest = 0;
    /** Since when the digest of the summaries differs; 0 while it does not. */
    Time differsSince;
    /** Second of the newest summary. */
    std::uint32_t second = 0;
  };

  ZoneId zone_;
  Peers peers_;
  std::map<ZoneId, ZoneState> zones_;
  std::vector<ZoneSummary> summariesToPass_;
  std::vector<EndpointId> goneToPass_;
  std::vector<EndpointId> expiredHere_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::uint32_t> freePlaces_;
  std::map<EndpointId, std::uint32_t> byId_;
  std::map<ModelName, std::vector<std::uint32_t>> byModel_;
  std::map<ServiceName, std::vector<std::uint32_t>> byService_;
  std::multimap<std::uint16_t, std::uint32_t> byHandle_;
  PendingMap forNeighbours_;
  PendingMap forRelays_;
  std::map<std::uint32_t, Forwarded> sentToNeighbours_;
  std::map<std::uint32_t, Forwarded> sentToRelays_;
  std::vector<Outgoing> outgoing_;
  std::uint64_t generations_ = 0;
  Time nextNeighbourFlush_;
  Time nextRelayFlush_;
  Time nextRequest_;
};

} // namespace figchute::routing
