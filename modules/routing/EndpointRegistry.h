#pragma once

#include "core/Types.h"
#include "routing/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figchute::routing {

/** An endpoint expires if it is not confirmed within this time. */
constexpr Duration kAnnouncementTtl = std::chrono::seconds(6);

/** The state of an endpoint in the registry. */
struct Endpoint
{
  Announcement announcement;
  /** Distinguishes this endpoint from earlier ones that used the same index. */
  std::uint64_t generation = 0;
  /** Hash for rendezvous hashing, the same on every VM. */
  std::uint64_t hash = 0;
  /** Time at which this VM first received an announcement that the endpoint is leaving; 0 if the
      endpoint is not leaving. */
  Time leavingSince;
  /** Time of the last announcement or summary that showed the endpoint to be alive. */
  Time lastConfirmed;
  bool live = false;
};

/** Stores the announcements of endpoints and exchanges changes with other VMs.

    Changes are sent over the links of Peers: as a load report if only the load changed, as a full
    announcement otherwise. Small load changes are not sent. Within the zone, each load is refreshed
    before the endpoint would expire. Between zones, a summary from the relay confirms all endpoints
    of its zone at once, which bounds the traffic per VM. The announcement of a leaving endpoint is
    forwarded immediately.

    The clocks of the VMs may differ by up to a second. An announcement that this VM receives from
    the endpoint itself always replaces those forwarded by other VMs.
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

  /** Sets the links to other VMs. */
  void setPeers(Peers peers) { peers_ = std::move(peers); }

  /** Processes an announcement received from the endpoint itself.
      @param now           the current time
      @param announcement  the announcement; its field announcedAt is ignored */
  void announce(Time now, Announcement announcement);

  /** Processes changes from another VM. Announcements older than the stored ones are ignored. */
  void receive(Time now, const ProcessId& from, const RegistryDelta& delta);

  /** Responds to a request with the live endpoints of the requested zone. */
  void receive(Time now, const ProcessId& from, const RegistryRequest& request);

  /** Removes expired endpoints and queues the messages that are due. */
  void tick(Time now);

  /** Returns the queued messages and clears the queue. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns the indexes of the live endpoints of a model, including leaving ones.
      @returns a view that is valid until the next non-const call */
  [[nodiscard]] std::span<const std::uint32_t> endpointsServing(const ModelName& model) const;

  /** Returns the indexes of the live endpoints of a plain service, including leaving ones.
      @returns a view that is valid until the next non-const call */
  [[nodiscard]] std::span<const std::uint32_t> endpointsServing(const ServiceName& service) const;

  /** Returns whether any endpoint has served the model since the registry was created. */
  [[nodiscard]] bool hasServed(const ModelName& model) const { return byModel_.contains(model); }

  /** Returns whether any endpoint has served the service since the registry was created. */
  [[nodiscard]] bool hasServed(const ServiceName& service) const
  {
    return byService_.contains(service);
  }

  /** Calls @p visit with the endpoint indexes of each model and each service in turn. */
  template<typename Visit>
  void forEachServiceGroup(Visit visit) const
  {
    for (const auto& [model, indexes] : byModel_) {
      visit(std::span<const std::uint32_t>(indexes));
    }
    for (const auto& [service, indexes] : byService_) {
      visit(std::span<const std::uint32_t>(indexes));
    }
  }

  /** Returns the endpoint at an index below size(). Removed endpoints have live == false. */
  [[nodiscard]] const Endpoint& at(std::uint32_t index) const { return endpoints_[index]; }

  /** Returns the index of a live endpoint, or nullopt if there is none with this id. */
  [[nodiscard]] std::optional<std::uint32_t> find(const EndpointId& id) const;

  /** Returns the number of indexes, including those of removed endpoints. */
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

private:
  /** A change that is waiting to be sent. */
  struct Pending
  {
    /** Whether more than the load changed, so that the full announcement is sent. */
    bool fullAnnouncement = false;
    /** The VM that sent the change, which must not receive it again; empty if there is none. */
    ProcessId source;
  };
  using PendingMap = std::map<std::uint32_t, Pending>;

  /** The load last sent for an endpoint, used to suppress small changes. */
  struct LastSent
  {
    Time sentAt;
    std::uint32_t load = 0;
  };

  std::uint32_t findOrAddIndex(const Announcement& announcement);
  void store(Time now, const Announcement& announcement, const ProcessId& source);
  void storeLoad(Time now, const LoadReport& report, const ProcessId& source, bool& unknownHandle);
  void compareDigest(Time now, const ZoneSummary& summary, const ProcessId& source);
  void removeMissing(const RegistryDelta& delta);
  void removeExpired(const RegistryDelta& delta);
  void requestZone(Time now, const ProcessId& from, const ZoneId& zone);
  void enqueue(Time now, std::uint32_t index, const ProcessId& source, bool fullAnnouncement);
  void remove(std::uint32_t index);
  void updateLookups(std::uint32_t index, bool add);
  void flush(Time now, const std::vector<ProcessId>& links, PendingMap& pending);
  void flushToNeighbours(Time now);
  void flushToRelays(Time now);
  [[nodiscard]] RegistryDelta makeDelta(Time now,
                                        const ProcessId& link,
                                        const PendingMap& pending) const;
  [[nodiscard]] bool isRelay(const ProcessId& source) const;
  [[nodiscard]] bool shouldSendLoad(Time now, std::uint32_t index, bool toRelays);

  /** The comparison of a zone's endpoints with its summaries. */
  struct ZoneState
  {
    /** Digest of the zone's live endpoints in this registry; maintained by updateLookups(). */
    std::uint32_t digest = 0;
    /** Start of the current mismatch with the summaries; 0 if there is none. */
    Time mismatchSince;
    /** The field second of the latest summary. */
    std::uint32_t second = 0;
  };

  ZoneId zone_;
  Peers peers_;
  std::map<ZoneId, ZoneState> zones_;
  std::vector<ZoneSummary> summariesToForward_;
  std::vector<EndpointId> expiredToForward_;
  std::vector<EndpointId> expiredInOwnZone_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::uint32_t> freeIndexes_;
  std::map<EndpointId, std::uint32_t> byId_;
  std::map<ModelName, std::vector<std::uint32_t>> byModel_;
  std::map<ServiceName, std::vector<std::uint32_t>> byService_;
  std::multimap<std::uint16_t, std::uint32_t> byHandle_;
  PendingMap forNeighbours_;
  PendingMap forRelays_;
  std::map<std::uint32_t, LastSent> lastSentToNeighbours_;
  std::map<std::uint32_t, LastSent> lastSentToRelays_;
  std::vector<OutgoingMessage> outgoing_;
  std::uint64_t lastGeneration_ = 0;
  Time nextNeighbourFlushAt_;
  Time nextRelayFlushAt_;
  Time nextRequestAt_;
};

} // namespace figchute::routing
