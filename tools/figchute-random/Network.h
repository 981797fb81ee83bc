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

/** Thrown when a check finds that an invariant does not hold. */
struct Violation
{
  std::string detail;
};

/** Throws a Violation if a condition is false. */
void require(bool condition, const std::string& detail);

/** A virtual clock with the actions that are scheduled on it. */
class Schedule
{
public:
  /** Schedules an action. Actions with the same time run in the order in which they were added. */
  void callAt(Time time, std::function<void()> action);

  /** Advances the clock to the next action and runs it. Precondition: an action is scheduled. */
  void step();

  /** Returns the time of the action that is running. */
  [[nodiscard]] Time now() const { return now_; }

  /** Returns the number of actions that have run. */
  [[nodiscard]] std::uint64_t stepCount() const { return stepCount_; }

private:
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> actions_;
  Time now_{ 1'700'000'000'000'000 };
  std::uint64_t sequence_ = 0;
  std::uint64_t stepCount_ = 0;
};

/** A message in transit, encoded as on the wire. */
struct Packet
{
  ProcessId from;
  ProcessId to;
  wire::Channel channel = wire::Channel::heartbeat;
  std::string bytes;
};

/** The faults that the network currently applies to messages. */
struct NetworkFaults
{
  double loss = 0.0;
  double duplication = 0.0;
  /** The ratio of messages that are delayed by up to a second, which reorders them. */
  double longDelay = 0.0;
};

/** A network of availability zones with loss, duplication, delay, reordering and partitions. */
class Network
{
public:
  using Receiver = std::function<void(const Packet&)>;

  /** @param interZoneDelay  the minimum one-way delay between two zones */
  Network(Schedule& schedule, Random& random, Duration interZoneDelay);

  /** Adds a process, whose receiver is called for each message that arrives. */
  void addProcess(const ProcessId& process, int zone, const Receiver& receiver);

  /** Sends a message, which may be lost, duplicated or delayed. */
  void send(const Packet& packet);

  /** Blocks all messages from one zone to another. */
  void blockZones(int from, int to) { blockedZones_.insert({ from, to }); }

  /** Blocks all messages from and to a process. */
  void isolate(const ProcessId& process) { isolatedProcesses_.insert(process); }

  /** Ends all partitions. */
  void heal();

  void setFaults(const NetworkFaults& faults) { faults_ = faults; }
  [[nodiscard]] int zoneOf(const ProcessId& process) const { return processes_.at(process).zone; }
  [[nodiscard]] bool isBlocked(const ProcessId& from, const ProcessId& to) const;

  /** Sets a function that modifies messages before delivery, to break an invariant on purpose. */
  void setPacketModifier(std::function<void(Packet&)> modifyPacket)
  {
    modifyPacket_ = std::move(modifyPacket);
  }

  /** Returns the last 50 delivered messages, one line each. */
  [[nodiscard]] std::vector<std::string> trace() const;

  /** Returns the number of delivered messages. */
  [[nodiscard]] std::uint64_t deliveredCount() const { return deliveredCount_; }

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
  Duration interZoneDelay_;
  NetworkFaults faults_;
  std::map<ProcessId, Process> processes_;
  std::set<std::pair<int, int>> blockedZones_;
  std::set<ProcessId> isolatedProcesses_;
  std::function<void(Packet&)> modifyPacket_;
  std::deque<std::pair<Time, Packet>> trace_;
  std::uint64_t deliveredCount_ = 0;
};

/** Returns a description of the body of a packet. */
std::string describe(const Packet& packet);

} // namespace figchute::simulation
