#pragma once

#include "fleet/fleet.h"
#include "router/Exchange.h"
#include "router/Role.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

namespace figchute::router {

/** Serves callers: owns their requests, the copy of the fleet's state, the grants and the choice of
    endpoints.
    Thread safety: use it on the thread of the event loop only. */
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
  void beginStop() override;
  [[nodiscard]] bool stopped() const override;

private:
  void handle(std::shared_ptr<http::ServerRequest> request);
  void answerReadiness(http::ServerRequest& request) const;
  [[nodiscard]] bool ready() const;
  void schedule();
  void onTimer();
  void endServing(Time now);
  void giveTokensBack(Time now);
  void settle(Time now);
  void applyUpdates(Time now);
  void applyConfiguration(Time now);
  void applyEndpoints(Time now);
  void applyControl(Time now);
  void setWalletPeers(Time now);
  void tellCrashes(Time now);
  void settleWallet(Time now);
  void sendLedger(const std::vector<ledger::Outgoing>& messages);
  void logEvents(Time now);

  RoleContext context_;
  fleet::FleetSubscriber subscriber_;
  ledger::Wallet wallet_;
  /** Keeps what other entry processes opened of their reserves. */
  ledger::Witness witness_;
  dispatch::Dispatcher dispatcher_;
  http::ClientPool pool_;
  EntryServices services_;
  http::Server callers_;
  http::Server readiness_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
  std::uint64_t lastExchange_ = 0;
  std::size_t endpointCount_ = 0;
  /** The control process in use. */
  std::optional<ProcessId> control_;
  bool stopping_ = false;
  bool servingEnded_ = false;
  bool settling_ = false;
  bool draining_ = false;
  Time stopStartedAt_;
};

} // namespace figchute::router
