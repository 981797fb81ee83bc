#pragma once

#include "control/ControlNode.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "router/Exchange.h"
#include "router/Role.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_set>

namespace figchute::router {

/** A member of the log that serves operators, endpoints and the subscriptions of entry processes.
    Thread safety: use it on the thread of the event loop only. */
class ControlRole final : public Role
{
public:
  explicit ControlRole(const RoleContext& context);

  Expected<void> start() override;
  void receive(const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string body) override;
  void setSeeds(const std::vector<ProcessId>& seeds) override;
  void beginStop() override;
  [[nodiscard]] bool stopped() const override;

private:
  using RequestPointer = std::shared_ptr<http::ServerRequest>;

  /** A read that waits until an entry of the log is applied here. */
  struct Read
  {
    std::uint64_t index = 0;
    Time until;
    RequestPointer request;
  };

  void handle(const RequestPointer& request);
  void putConfiguration(const RequestPointer& request);
  void getConfiguration(const RequestPointer& request);
  void announce(const RequestPointer& request, const EndpointId& id);
  void removeEndpoint(const RequestPointer& request, const EndpointId& id);
  void propose(const RequestPointer& request, const ledger::Command& command);
  void settleSoon();
  void settle(Time now);
  void settleNode(Time now);
  void onApplied(Time now);
  void expireEndpoints(Time now);
  void answerReads(Time now);
  void answerConfiguration(http::ServerRequest& request);
  void followState();
  [[nodiscard]] std::vector<ProcessId> memberProcesses() const;
  void logChanges(Time now);
  void logRetirements(Time now);
  void schedule();

  RoleContext context_;
  std::unique_ptr<control::ControlNode> node_;
  /** What desk and publisher refer to. */
  const fleet::FleetState* state_ = nullptr;
  std::unique_ptr<fleet::AnnouncementDesk> desk_;
  std::unique_ptr<fleet::FleetPublisher> publisher_;
  http::Server operators_;
  boost::asio::steady_timer timer_;
  /** Services of the configuration in force; empty before the first one. */
  std::unordered_set<std::string> services_;
  std::uint64_t configurationVersion_ = 0;
  ProcessId leader_;
  std::vector<ProcessId> members_;
  bool storageFailed_ = false;
  std::vector<Read> reads_;
  bool stopping_ = false;
  bool settling_ = false;
  bool settleQueued_ = false;
  Time stopStartedAt_;
  Time nextExpiry_;
};

} // namespace figchute::router
