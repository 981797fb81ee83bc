#pragma once

#include "fleet/fleet.h"
#include "router/EntryLink.h"
#include "router/Exchange.h"
#include "router/LinkBudget.h"
#include "router/LoadMonitor.h"
#include "router/Role.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace figchute::router {

/** An entry process: accepts the requests of callers, subscribes to the fleet state, reserves
   budget tokens and dispatches the requests to endpoints. Thread safety: use it on the thread of
   the event loop only. */
class EntryRole final : public Role
{
public:
  explicit EntryRole(const RoleContext& context);

  Expected<void> start() override;
  void receive(const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string body) override;
  void setSeeds(const std::vector<ProcessId>& seeds) override;
  void explain(http::ServerRequest& request) override;
  void beginStop() override;
  [[nodiscard]] bool isStopped() const override;
  void abortRequests(Time now) override;

private:
  void handle(std::shared_ptr<http::ServerRequest> request);
  void sendReadiness(http::ServerRequest& request) const;
  [[nodiscard]] bool isReady() const;
  void scheduleTick();
  void onTimer(Time now);
  void stopServing(Time now);
  void returnTokens(Time now);
  void update(Time now);
  void applyUpdates(Time now);
  void applyConfiguration(Time now);
  void applyEndpoints(Time now);
  void applyEvacuations(Time now);
  /** Counts the endpoints to which connections are expected to succeed. */
  void updateEgressEndpoints();
  void applyControl(Time now);
  void applyEntryProcesses(Time now);
  /** Returns the status with which a tunnel for another entry process is opened or refused. */
  [[nodiscard]] int authorizeTunnel(const http::TunnelRequest& request) const;
  /** Attempts a direct connection while tunnels are used. */
  void probeDirectPath(Time now);
  void applyEgressChange(Time now);
  void setQuotaPeers(Time now);
  /** Sends crashes and rate limits that this process observed to control. */
  void reportObservations(Time now);
  void reportRateLimits(Time now);
  void logRestrictions(Time now);
  void logConditions(Time now);
  /** Counts and logs what the even distribution of load did, every few seconds. */
  void reportEvenLoad(Time now);
  /** Attempts to connect to the endpoints that may have crashed. */
  void probeEndpoints();
  void updateQuotaManager(Time now);
  /** Passes the origins that were found to their exchanges. */
  void updateOrigins(Time now);
  void sendOriginMessages();
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  /** Returns the bytes that passed the network link since the start. */
  [[nodiscard]] http::Traffic linkTraffic() const;
  /** Returns how long the traffic on the link allows no further work. */
  [[nodiscard]] Duration linkDelay(Time now);
  /** Returns the same, and counts and logs that no connection is accepted. */
  [[nodiscard]] Duration connectionDelay(Time now);
  /** Limits what is accepted and admitted to what the network link carries. */
  void limitLinkTraffic();
  void updateLink(Time now);
  void sendLedger(const std::vector<ledger::OutgoingMessage>& messages);
  void logEndpointEvents(Time now);

  RoleContext context_;
  fleet::FleetSubscriber subscriber_;
  ledger::QuotaManager quotaManager_;
  /** Records how much of their reserves other entry processes have unlocked. */
  ledger::Witness witness_;
  dispatch::Dispatcher dispatcher_;
  fleet::StreamOriginClient origins_;
  http::ClientPool pool_;
  EgressSelector egress_;
  EntryServices services_;
  http::Server callers_;
  http::Server readiness_;
  /** Opens tunnels to endpoints for other entry processes. */
  http::TunnelServer tunnels_;
  /** Limits the accepted connections; set if the bandwidth of the network link is known and
      requests are not admitted to it one by one. */
  std::optional<LinkBudget> linkBudget_;
  /** Set if requests are admitted to the network link one by one. */
  std::optional<EntryLink> link_;
  /** Bytes of the messages from other processes. */
  std::uint64_t receivedMessageBytes_ = 0;
  LoadMonitor load_;
  boost::asio::steady_timer timer_;
  Time tickDueAt_;
  /** The earliest time of the next tick of the subscriber and the quota manager. */
  Time nextTickAt_;
  Time nextEvenLoadReportAt_;
  /** Pauses of accepting connections since the last log line about them. */
  std::uint64_t acceptPauses_ = 0;
  Time nextAcceptReportAt_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
  std::uint64_t lastExchangeId_ = 0;
  /** Addresses of the endpoints in the registry, and their zones. */
  std::map<boost::asio::ip::tcp::endpoint, ZoneId> endpointZones_;
  /** The evacuated zones in force, in order of their names. */
  std::vector<ZoneId> evacuatedZones_;
  std::size_t endpointCount_ = 0;
  bool wasTunnelling_ = false;
  Random random_;
  /** The control process that this process subscribes to. */
  std::optional<ProcessId> control_;
  bool stopping_ = false;
  bool servingStopped_ = false;
  bool updating_ = false;
  bool quotaManagerDraining_ = false;
  Time stopStartedAt_;
};

} // namespace figchute::router
