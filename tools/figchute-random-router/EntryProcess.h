#pragma once

#include "dispatch/dispatch.h"
#include "EndpointProcess.h"
#include "fleet/fleet.h"
#include "ledger/ledger.h"
#include "World.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figchute::simulation {

/** The outcome of a request as its caller observes it. */
enum class RequestOutcome : std::uint8_t
{
  answered,
  /** The budget does not cover the request, or control could not be reached. */
  refusedByBudget,
  /** No endpoint was chosen. */
  refusedByDispatch,
  /** The request may have run. */
  failed,
  /** The process cannot serve requests. */
  unavailable,
};

/** One request of a caller. */
struct CallerRequest
{
  std::string workspace;
  std::string path;
  std::int64_t promptTokens = 0;
  std::int64_t maxOutputTokens = 0;
  std::int64_t outputTokens = 0;
  Duration timeout = std::chrono::seconds(4);
  std::uint64_t fingerprint = 0;
  bool crashesEndpoint = false;
  std::function<void(RequestOutcome)> onDone;
};

/** An entry process of the router daemon. It behaves like router::EntryRole and router::Exchange,
    with the simulated network in place of sockets. */
class EntryProcess
{
public:
  /** @param clockOffset  how far this VM's clock since its start is ahead of the schedule */
  EntryProcess(World& world, ProcessId id, int zone, Duration clockOffset);

  void start();

  /** Terminates the process without a shutdown. */
  void kill();

  /** Suspends the process for a duration; messages are queued. */
  void freeze(Duration duration);
  void thaw();

  /** Stops the process as on SIGTERM: it keeps serving for 3 s, then returns its tokens. */
  void stop(std::function<void()> onStopped);

  void setSeeds(const std::vector<ProcessId>& seeds);
  [[nodiscard]] const std::vector<ProcessId>& seeds() const { return seeds_; }

  [[nodiscard]] bool isRunning() const { return runState_ != nullptr; }
  [[nodiscard]] bool isResponsive() const { return isRunning() && !frozen_; }
  [[nodiscard]] bool isStopping() const { return onStopped_ != nullptr; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] std::uint64_t version() const;

  /** Handles a request that arrived from a caller. */
  void receiveRequest(CallerRequest request);

  /** Returns a description of the state of the process, printed with a violation. */
  [[nodiscard]] std::string describe() const;

private:
  enum class Stage : std::uint8_t
  {
    waitingForGrant,
    sending,
    relaying,
  };

  struct OpenRequest
  {
    CallerRequest request;
    dispatch::RequestInfo requestInfo;
    BudgetId budget;
    Stage stage = Stage::waitingForGrant;
    bool isReserved = false;
    bool isDispatched = false;
    bool isSent = false;
    bool mayHaveRun = false;
    bool isCalling = false;
    std::uint64_t callId = 0;
    int sendCount = 0;
    int connectFailureCount = 0;
    std::int64_t deliveredTokens = 0;
    Time deadline;
    Time sendStartedAt;
    std::vector<EndpointId> triedEndpoints;
  };

  /** The state of one start of the process. */
  struct RunState
  {
    RunState(fleet::SubscriberSettings subscriberSettings,
             const ledger::QuotaSettings& quotaSettings,
             const dispatch::DispatcherSettings& dispatcherSettings)
      : subscriber(std::move(subscriberSettings))
      , quotaManager(quotaSettings)
      , witness(quotaSettings.self)
      , dispatcher(dispatcherSettings)
    {
    }

    fleet::FleetSubscriber subscriber;
    ledger::QuotaManager quotaManager;
    ledger::Witness witness;
    dispatch::Dispatcher dispatcher;
    std::shared_ptr<const fleet::RouteTable> table;
    /** The endpoint records that were passed to the dispatcher. */
    std::map<EndpointId, fleet::EndpointRecord> endpointRecords;
    std::map<std::uint64_t, OpenRequest> openRequests;
    std::uint64_t lastRequestId = 0;
    std::optional<Time> contactSince;
    bool isDraining = false;
    bool isUpdating = false;
  };

  /** Returns the tokens that the holder can neither have spent nor unlocked. */
  [[nodiscard]] static Tokens unspendableTokens(const ledger::QuotaManager& quotaManager);
  [[nodiscard]] Time now() const { return world_.schedule.now() + clockOffset_; }
  [[nodiscard]] fleet::SubscriberSettings subscriberSettings() const;
  void runOrQueue(std::function<void()> action);
  void receive(const Packet& packet);
  void scheduleTick();
  void onTimer();
  void update();
  void applyUpdates();
  void applyConfiguration();
  void applyEndpoints();
  void setQuotaPeers();
  void updateQuotaManager();
  void sendLedger(const std::vector<ledger::OutgoingMessage>& messages);
  void updateContactTime();
  void returnTokens();

  void handleDecision(std::uint64_t id, const ledger::Decision& decision);
  void sendNext(std::uint64_t id);
  void recordChoice(OpenRequest& openRequest, const dispatch::ChosenEndpoint& choice);
  void startCall(std::uint64_t id, const dispatch::ChosenEndpoint& choice);
  void handleCallEvent(std::uint64_t id, std::uint64_t callId, const CallEvent& event);
  void handleFailedSend(std::uint64_t id, dispatch::Outcome outcome, bool mayHaveRun);
  void endSend(std::uint64_t id, dispatch::Outcome outcome);
  void checkTimeouts(std::uint64_t id);
  void endRequest(std::uint64_t id, RequestOutcome outcome);
  void chargeBudget(OpenRequest& openRequest, std::uint64_t id);
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  [[nodiscard]] static bool canRunAgain(const OpenRequest& openRequest);

  World& world_;
  ProcessId id_;
  ZoneId zone_;
  Duration clockOffset_;
  std::vector<ProcessId> seeds_;
  Incarnation incarnation_;
  std::unique_ptr<RunState> runState_;
  bool frozen_ = false;
  std::uint64_t freezeCount_ = 0;
  std::vector<std::function<void()>> queuedActions_;
  std::function<void()> onStopped_;
  Time stopStartedAt_;
  std::uint64_t lastCallId_ = 0;
};

} // namespace figchute::simulation
