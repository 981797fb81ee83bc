#pragma once

#include "dispatch/dispatch.h"
#include "World.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace figchute::simulation {

/** An event of one call that an endpoint reports to an entry process. */
struct CallEvent
{
  enum class Kind : std::uint8_t
  {
    head,
    tokens,
    done,
    serverError,
    notExecuted,
    wrongEndpoint,
    broken,
  };

  Kind kind = Kind::broken;
  std::int64_t tokens = 0;
  std::optional<dispatch::LoadReport> load;
};

/** One call to an endpoint. */
struct EndpointCall
{
  ProcessId entry;
  EndpointId expectedId;
  std::int64_t outputTokens = 0;
  /** The endpoint crashes when it runs this call. */
  bool crashesEndpoint = false;
  /** Called at the entry process for each event. */
  std::function<void(const CallEvent&)> onEvent;
};

/** The endpoint processes of one VM: one at a time, each with its own start time. */
class EndpointProcess
{
public:
  /** @param clockOffset  how far this VM's clock is ahead of the schedule */
  EndpointProcess(World& world,
                  std::string address,
                  int zone,
                  ServiceName service,
                  int slots,
                  Duration clockOffset);

  void start(const EndpointId& id);

  /** Terminates the process without a drain; its connections break. */
  void crash();

  /** Announces the drain, lets running calls finish, withdraws from the registry and stops. */
  void drain();

  /** Sets the ratio of the calls that fail from now on. */
  void setFailureRatio(double ratio) { failureRatio_ = ratio; }

  [[nodiscard]] bool isRunning() const { return running_; }
  [[nodiscard]] bool isDraining() const { return draining_; }
  [[nodiscard]] const EndpointId& id() const { return id_; }
  [[nodiscard]] ProcessId process() const { return ProcessId(address_); }
  [[nodiscard]] const ServiceName& service() const { return service_; }

  /** Handles a call that arrived. */
  void receiveCall(const EndpointCall& call);

private:
  void announcePeriodically();
  void announce();
  void finishDrain();
  void withdraw();
  void runCall(std::uint64_t callId);
  void produceTokens(std::uint64_t callId, std::int64_t tokensLeft);
  void sendEvent(const EndpointCall& call, CallEvent event);
  [[nodiscard]] dispatch::LoadReport loadReport() const;
  [[nodiscard]] bool isCurrentRun(std::uint64_t runNumber) const
  {
    return running_ && runNumber == runNumber_;
  }

  World& world_;
  std::string address_;
  ZoneId zone_;
  ServiceName service_;
  int slots_;
  Duration clockOffset_;
  EndpointId id_;
  bool running_ = false;
  bool draining_ = false;
  std::optional<Time> drainAcknowledgedAt_;
  std::int64_t startedAtMs_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t runNumber_ = 0;
  double failureRatio_ = 0;
  std::map<std::uint64_t, EndpointCall> calls_;
  std::uint64_t lastCallId_ = 0;
};

} // namespace figchute::simulation
