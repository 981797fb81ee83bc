#pragma once

#include "dispatch/dispatch.h"
#include "World.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace figchute::simulation {

/** What an endpoint tells an entry process about one call. */
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
  EndpointId expected;
  std::int64_t outputTokens = 0;
  /** The endpoint goes down when it runs this. */
  bool crashes = false;
  /** Called at the entry process. */
  std::function<void(const CallEvent&)> event;
};

/** The endpoint processes of one VM: one at a time, each with its own start. */
class EndpointProcess
{
public:
  /** @param skew  what this VM's clock shows more than the schedule */
  EndpointProcess(World& world,
                  std::string address,
                  int zone,
                  ServiceName service,
                  int slots,
                  Duration skew);

  void start(const EndpointId& id);

  /** Ends the process without warning; connections break. */
  void crash();

  /** Announces the drain, lets calls finish, leaves the registry and ends. */
  void drain();

  /** A share of the calls fails from now on. */
  void setFailing(double share) { failing_ = share; }

  [[nodiscard]] bool running() const { return running_; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] const EndpointId& id() const { return id_; }
  [[nodiscard]] ProcessId process() const { return ProcessId(address_); }
  [[nodiscard]] const ServiceName& service() const { return service_; }

  /** A call arrived. */
  void accept(const EndpointCall& call);

private:
  void loop();
  void announce();
  void finishDrain();
  void withdraw();
  void run(std::uint64_t call);
  void produce(std::uint64_t call, std::int64_t left);
  void answer(const EndpointCall& call, CallEvent event);
  [[nodiscard]] dispatch::LoadReport load() const;
  [[nodiscard]] bool isLife(std::uint64_t life) const { return running_ && life == life_; }

  World& world_;
  std::string address_;
  ZoneId zone_;
  ServiceName service_;
  int slots_;
  Duration skew_;
  EndpointId id_;
  bool running_ = false;
  bool draining_ = false;
  std::optional<Time> drainedAt_;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t life_ = 0;
  double failing_ = 0;
  std::map<std::uint64_t, EndpointCall> calls_;
  std::uint64_t lastCall_ = 0;
};

} // namespace figchute::simulation
