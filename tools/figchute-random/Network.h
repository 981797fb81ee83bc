#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::simulation {

/** Thrown when an invariant does not hold. */
struct Violation
{
  std::string detail;
};

/** Throws a Violation unless a condition holds. */
void require(bool holds, const std::string& detail);

/** A virtual clock with the actions that are due on it. */
class Schedule
{
public:
  /** Runs an action at @p at, after all actions that were scheduled for the same time before. */
  void add(Time at, std::function<void()> action);

  /** Advances the clock to the next action and runs it; there must be one. */
  void step();

  /** Returns the time of the running action. */
  [[nodiscard]] Time now() const { return now_; }

  /** Returns how many actions were run. */
  [[nodiscard]] std::uint64_t steps() const { return steps_; }

private:
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> actions_;
  Time now_{ 1'700'000'000'000'000 };
  std::uint64_t sequence_ = 0;
  std::uint64_t steps_ = 0;
};

/** A message on its way, encoded as on the wire. */
struct Packet
{
  ProcessId from;
  ProcessId to;
  wire::Channel channel = wire::Channel::heartbeat;
  std::string bytes;
};

/** How the network treats messages at the moment. */
struct NetworkFaults
{
  double loss = 0.0;
  double duplication = 0.0;
  /** The share of messages that are delayed by up to a second, which reorders them. */
  double longDelay = 0.0;
};

/** A network of availability zones with loss, duplication, delay, reordering and partitions. */
class Network
{
public:
  using Receiver = std::function<void(const Packet&)>;

  /** @param betweenZones  the one-way delay between two zones */
  Network(Schedule& schedule, Random& random, Duration betweenZones);

  /** Adds a process; its receiver is called for each message that arrives. */
  void addProcess(const ProcessId& process, int zone, const Receiver& receiver);

  /** Sends a message, which may be lost. */
  void send(const Packet& packet);

  /** Cuts all messages from one zone to another one. */
  void cutZones(int from, int to) { cutZones_.insert({ from, to }); }

  /** Cuts a process off from all others. */
  void isolate(const ProcessId& process) { isolated_.insert(process); }

  /** Ends all cuts. */
  void heal();

  void setFaults(const NetworkFaults& faults) { faults_ = faults; }
  [[nodiscard]] int zoneOf(const ProcessId& process) const { return processes_.at(process).zone; }
  [[nodiscard]] bool isCut(const ProcessId& from, const ProcessId& to) const;

  /** Changes messages before they are delivered; used to break an invariant on purpose. */
  void setTamper(std::function<void(Packet&)> tamper) { tamper_ = std::move(tamper); }

  /** Describes the last 50 delivered messages, one line each. */
  [[nodiscard]] std::vector<std::string> trace() const;

  /** Returns how many messages were delivered. */
  [[nodiscard]] std::uint64_t delivered() const { return delivered_; }

private:
  struct Process
  {
    int zone = 0;
    Receiver receiver;
  };

  void deliverAfterDelay(const Packet& packet);
  void deliver(Packet packet);

  Schedule& schedule_;
  Random& random_;
  Duration betweenZones_;
  NetworkFaults faults_;
  std::map<ProcessId, Process> processes_;
  std::set<std::pair<int, int>> cutZones_;
  std::set<ProcessId> isolated_;
  std::function<void(Packet&)> tamper_;
  std::deque<std::pair<Time, Packet>> trace_;
  std::uint64_t delivered_ = 0;
};

/** Describes the body of a packet. */
std::string describe(const Packet& packet);

} // namespace figchute::simulation
