#pragma once

#include "control/ControlNode.h"
#include "fleet/fleet.h"
#include "http/http.h"
#include "router/LoadMonitor.h"
#include "router/Role.h"
#include "router/WorkspaceBudgets.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace figchute::router {

/** A control process: a member of the replicated log that serves requests of operators,
   announcements of endpoints and subscriptions of entry processes. Thread safety: use it on the
   thread of the event loop only. */
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
  void explain(http::ServerRequest& request) override;
  void beginStop() override;
  [[nodiscard]] bool isStopped() const override;
  void abortRequests(Time /*now*/) override {}

private:
  using RequestPointer = std::shared_ptr<http::ServerRequest>;

  /** Called when the state of this process has all that was committed before the read began, or
      with false when that did not happen in time. */
  using StateReader = std::function<void(bool isCurrent)>;

  /** A read that waits until this process has applied the given log entry. */
  struct PendingRead
  {
    std::uint64_t index = 0;
    Time deadline;
    StateReader reader;
  };

  void logRecovery(Time now, Duration elapsed);
  void handle(const RequestPointer& request);
  void putConfiguration(const RequestPointer& request);
  void getConfiguration(const RequestPointer& request);
  void announce(const RequestPointer& request, const EndpointId& id);
  void removeEndpoint(const RequestPointer& request, const EndpointId& id);
  void changeEvacuation(const RequestPointer& request);
  void listEvacuations(const RequestPointer& request);
  void propose(const RequestPointer& request, const ledger::Command& command);
  void scheduleUpdate();
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  void sendFleet(const std::vector<fleet::OutgoingMessage>& messages);
  void publishUpdates(Time now);
  void reportLoad(Time now, Duration timerDelay);
  void update(Time now);
  void updateNode(Time now);
  void onApplied(Time now);
  void expireEndpoints(Time now);
  void readCurrentState(Duration timeout, StateReader reader);
  void finishReads(Time now);
  /** Answers queries for the origins of streams, those without a record from a current registry. */
  void answerOriginQueries();
  void sendConfiguration(http::ServerRequest& request);
  void rebindState();
  [[nodiscard]] std::vector<ProcessId> memberProcesses() const;
  void logChanges(Time now);
  void logRetirements(Time now);
  /** Returns the time of the next call of update() if no message arrives before. */
  [[nodiscard]] Time nextUpdateAt() const;
  void scheduleTick();

  RoleContext context_;
  std::unique_ptr<control::ControlNode> node_;
  /** The state object that announcementTracker_ and publisher_ reference. */
  const fleet::FleetState* state_ = nullptr;
  std::unique_ptr<fleet::AnnouncementTracker> announcementTracker_;
  std::unique_ptr<fleet::FleetPublisher> publisher_;
  fleet::StreamOriginServer origins_;
  http::Server operators_;
  LoadMonitor load_;
  boost::asio::steady_timer timer_;
  Time tickDueAt_;
  /** Service names of the active configuration; empty before the first configuration. */
  std::unordered_set<std::string> services_;
  std::uint64_t configurationVersion_ = 0;
  /** The id of the last evacuation order that this process proposed. */
  std::uint64_t lastOrderId_;
  ProcessId leader_;
  std::vector<ProcessId> members_;
  bool storageFailed_ = false;
  std::vector<PendingRead> pendingReads_;
  /** A read for queries of stream origins is under way. */
  bool isReadingRegistry_ = false;
  bool stopping_ = false;
  bool updating_ = false;
  bool updateQueued_ = false;
  Time stopStartedAt_;
  Time nextExpiryAt_;
};

} // namespace figchute::router
