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

/** How a request ended for its caller. */
enum class Answer : std::uint8_t
{
  answered,
  /** The budget does not cover it, or control could not be asked. */
  refusedByBudget,
  /** No endpoint was chosen. */
  refusedByDispatch,
  /** It may have run. */
  failed,
  /** The process does not serve. */
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
  Duration patience = std::chrono::seconds(4);
  std::uint64_t fingerprint = 0;
  bool crashes = false;
  std::function<void(Answer)> done;
};

/** An entry process of the router daemon: what router::EntryRole and router::Exchange do, with the
    simulated network in place of sockets. */
class EntryProcess
{
public:
  /** @param clock     what this VM's clock since its start shows more than the schedule
      @param wallSkew  what its wall clock shows more */
  EntryProcess(World& world, ProcessId id, int zone, Duration clock, Duration wallSkew);

  void start();

  /** Ends the process without warning. */
  void kill();

  /** Stops the process for a time; messages wait. */
  void freeze(Duration span);
  void thaw();

  /** Ends the process as on SIGTERM: it serves 3 s more and gives its tokens back. */
  void stop(std::function<void()> stopped);

  void setSeeds(const std::vector<ProcessId>& seeds);
  [[nodiscard]] const std::vector<ProcessId>& seeds() const { return seeds_; }

  [[nodiscard]] bool running() const { return life_ != nullptr; }
  [[nodiscard]] bool awake() const { return running() && !frozen_; }
  [[nodiscard]] bool stopping() const { return stopped_ != nullptr; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] std::uint64_t version() const;

  /** A request of a caller arrived. */
  void begin(CallerRequest request);

  /** Adds a sentence that shows the state of the process to a violation. */
  [[nodiscard]] std::string describe() const;

private:
  enum class Stage : std::uint8_t
  {
    waitingForGrant,
    sending,
    relaying,
  };

  struct Open
  {
    CallerRequest request;
    dispatch::Work work;
    BudgetId budget;
    Stage stage = Stage::waitingForGrant;
    bool reserved = false;
    bool placed = false;
    bool sent = false;
    bool mayHaveRun = false;
    bool calling = false;
    std::uint64_t call = 0;
    int sends = 0;
    int connectFailures = 0;
    std::int64_t delivered = 0;
    Time limit;
    Time sendStartedAt;
    std::vector<EndpointId> tried;
  };

  /** What one start of the process owns. */
  struct Running
  {
    Running(fleet::SubscriberSettings subscriberSettings,
            const ledger::WalletSettings& walletSettings,
            const dispatch::DispatcherSettings& dispatcherSettings)
      : subscriber(std::move(subscriberSettings))
      , wallet(walletSettings)
      , witness(walletSettings.self)
      , dispatcher(dispatcherSettings)
    {
    }

    fleet::FleetSubscriber subscriber;
    ledger::Wallet wallet;
    ledger::Witness witness;
    dispatch::Dispatcher dispatcher;
    std::shared_ptr<const fleet::RouteTable> table;
    /** The records that the dispatcher has. */
    std::map<EndpointId, fleet::EndpointRecord> records;
    std::map<std::uint64_t, Open> open;
    std::uint64_t lastOpen = 0;
    std::optional<Time> contactSince;
    bool draining = false;
    bool settling = false;
  };

  [[nodiscard]] Time now() const { return world_.schedule.now() + clock_; }
  [[nodiscard]] Time wall() const { return world_.schedule.now() + wallSkew_; }
  [[nodiscard]] fleet::SubscriberSettings subscriberSettings() const;
  void handle(std::function<void()> action);
  void receive(const Packet& packet);
  void schedule();
  void onTimer();
  void settle();
  void applyUpdates();
  void applyConfiguration();
  void applyEndpoints();
  void setWalletPeers();
  void settleWallet();
  void sendLedger(const std::vector<ledger::Outgoing>& messages);
  void noteContact();
  void giveTokensBack();

  void decided(std::uint64_t id, const ledger::Decision& decision);
  void sendNext(std::uint64_t id);
  void noteChoice(Open& open, const dispatch::Choice& choice);
  void startCall(std::uint64_t id, const dispatch::Choice& choice);
  void onEvent(std::uint64_t id, std::uint64_t call, const CallEvent& event);
  void failedSend(std::uint64_t id, dispatch::Outcome outcome, bool mayHaveRun);
  void finishSend(std::uint64_t id, dispatch::Outcome outcome);
  void sweep(std::uint64_t id);
  void end(std::uint64_t id, Answer answer);
  void bill(Open& open, std::uint64_t id);
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  [[nodiscard]] static bool mayRunAgain(const Open& open);

  World& world_;
  ProcessId id_;
  ZoneId zone_;
  Duration clock_;
  Duration wallSkew_;
  std::vector<ProcessId> seeds_;
  Incarnation incarnation_;
  std::unique_ptr<Running> life_;
  bool frozen_ = false;
  std::uint64_t freezes_ = 0;
  std::vector<std::function<void()>> inbox_;
  std::function<void()> stopped_;
  Time stopStartedAt_;
  std::uint64_t lastCall_ = 0;
};

} // namespace figchute::simulation
