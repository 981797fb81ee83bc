#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figchute::simulation {

/** Thrown when a check finds that a rule does not hold. */
struct Violation
{
  std::string detail;
};

/** Throws a Violation if a condition is false. */
inline void require(bool condition, const std::string& detail)
{
  if (!condition) {
    throw Violation{ detail };
  }
}

/** A virtual clock with the actions that are scheduled on it. */
class Schedule
{
public:
  /** Schedules an action. Actions with the same time run in the order in which they were added;
      a time in the past counts as the current time. */
  void callAt(Time time, std::function<void()> action);

  /** Schedules an action that runs after a delay. */
  void callAfter(Duration delay, std::function<void()> action)
  {
    callAt(now_ + delay, std::move(action));
  }

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
  Incarnation incarnation;
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
  /** Returns true if messages from one process to another are blocked. */
  using LinkPredicate = std::function<bool(const ProcessId& from, const ProcessId& to)>;

  /** @param interZoneDelay  the minimum one-way delay between two zones
      @param traceLength     the number of most recent messages that trace() returns */
  Network(Schedule& schedule, Random& random, Duration interZoneDelay, std::size_t traceLength)
    : schedule_(schedule)
    , random_(random)
    , interZoneDelay_(interZoneDelay)
    , traceLength_(traceLength)
  {
  }

  /** Assigns a process to a zone. */
  void setZone(const ProcessId& process, int zone) { zones_[process] = zone; }

  /** Sets the callback that receives the messages sent to a process. */
  void setReceiver(const ProcessId& process, Receiver receiver);

  /** Sends a message, which may be lost, duplicated or delayed. */
  void send(const Packet& packet);

  /** Models bytes on a TCP connection: runs an action at the other end exactly once, unless the
     link is blocked when the bytes arrive. */
  void call(const ProcessId& from, const ProcessId& to, std::function<void()> action);

  /** Blocks links until the duration has passed or heal() is called. */
  void addPartition(Duration duration, LinkPredicate isLinkBlocked);

  /** Ends all partitions. */
  void heal() { partitions_.clear(); }

  void setFaults(const NetworkFaults& faults) { faults_ = faults; }

  /** Returns true if messages may be lost or delayed without a partition. */
  [[nodiscard]] bool isLossy() const { return faults_.loss > 0 || faults_.longDelay > 0; }

  [[nodiscard]] bool isBlocked(const ProcessId& from, const ProcessId& to) const;
  [[nodiscard]] int zoneOf(const ProcessId& process) const { return zones_.at(process); }

  /** Sets a function that modifies messages before delivery, to break a rule on purpose. */
  void setPacketModifier(std::function<void(Packet&)> modifyPacket)
  {
    modifyPacket_ = std::move(modifyPacket);
  }

  /** Returns the most recent delivered messages and traced calls, one line each. */
  [[nodiscard]] std::vector<std::string> trace() const;

  /** Adds a call, which is not a packet, to the trace. */
  void traceCall(const ProcessId& from, const ProcessId& to, std::string text);

  /** Returns the number of delivered messages. */
  [[nodiscard]] std::uint64_t deliveredCount() const { return deliveredCount_; }

private:
  struct TraceEntry
  {
    Time time;
    Packet packet;
    /** The text of a call; empty for a packet. */
    std::string text;
  };

  [[nodiscard]] Duration randomDelay(const ProcessId& from, const ProcessId& to);
  void deliverAfterDelay(const Packet& packet);
  void deliver(Packet packet);
  void addToTrace(TraceEntry entry);

  Schedule& schedule_;
  Random& random_;
  Duration interZoneDelay_;
  std::size_t traceLength_;
  NetworkFaults faults_;
  std::map<ProcessId, int> zones_;
  std::map<ProcessId, Receiver> receivers_;
  std::map<std::uint64_t, LinkPredicate> partitions_;
  std::uint64_t lastPartitionId_ = 0;
  std::function<void(Packet&)> modifyPacket_;
  std::deque<TraceEntry> trace_;
  std::uint64_t deliveredCount_ = 0;
};

} // namespace figchute::simulation
