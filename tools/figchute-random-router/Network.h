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

/** Thrown when a tally finds that a rule does not hold. */
struct Violation
{
  std::string detail;
};

/** Throws a Violation unless a condition holds. */
inline void require(bool holds, const std::string& detail)
{
  if (!holds) {
    throw Violation{ detail };
  }
}

/** A virtual clock with the actions that are due on it. */
class Schedule
{
public:
  /** Runs an action at @p at, after all actions that were scheduled for the same time before. */
  void add(Time at, std::function<void()> action);

  /** Runs an action after a span. */
  void after(Duration span, std::function<void()> action) { add(now_ + span, std::move(action)); }

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
  Incarnation incarnation;
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
  /** Tells whether messages from one process to another are cut. */
  using Cut = std::function<bool(const ProcessId& from, const ProcessId& to)>;

  /** @param betweenZones  the one-way delay between two zones
      @param traceLength   how many of the last messages trace() returns */
  Network(Schedule& schedule, Random& random, Duration betweenZones, std::size_t traceLength)
    : schedule_(schedule)
    , random_(random)
    , betweenZones_(betweenZones)
    , traceLength_(traceLength)
  {
  }

  /** Places a process in a zone. */
  void place(const ProcessId& process, int zone) { zones_[process] = zone; }

  /** Sets who gets the messages to a process. */
  void attach(const ProcessId& process, Receiver receiver);

  /** Sends a message, which may be lost, repeated or delayed. */
  void send(const Packet& packet);

  /** Carries bytes of a TCP connection: an action at the other end, which happens once unless the
      way is cut when they arrive. */
  void call(const ProcessId& from, const ProcessId& to, std::function<void()> action);

  /** Cuts the network until the span ends or heal(). */
  void cut(Duration span, Cut cut);

  /** Ends all cuts. */
  void heal() { cuts_.clear(); }

  void setFaults(const NetworkFaults& faults) { faults_ = faults; }

  /** Tells whether messages may be lost or late without a cut. */
  [[nodiscard]] bool lossy() const { return faults_.loss > 0 || faults_.longDelay > 0; }

  [[nodiscard]] bool isCut(const ProcessId& from, const ProcessId& to) const;
  [[nodiscard]] int zoneOf(const ProcessId& process) const { return zones_.at(process); }

  /** Changes messages before they are delivered; used to break a rule on purpose. */
  void setTamper(std::function<void(Packet&)> tamper) { tamper_ = std::move(tamper); }

  /** Describes the last delivered messages, one line each. */
  [[nodiscard]] std::vector<std::string> trace() const;

  /** Adds a call that is no packet to the trace. */
  void note(const ProcessId& from, const ProcessId& to, std::string text);

  /** Returns how many messages were delivered. */
  [[nodiscard]] std::uint64_t delivered() const { return delivered_; }

private:
  struct Trace
  {
    Time time;
    Packet packet;
    /** Set for calls. */
    std::string text;
  };

  [[nodiscard]] Duration delay(const ProcessId& from, const ProcessId& to);
  void deliverAfterDelay(const Packet& packet);
  void deliver(Packet packet);
  void remember(Trace trace);

  Schedule& schedule_;
  Random& random_;
  Duration betweenZones_;
  std::size_t traceLength_;
  NetworkFaults faults_;
  std::map<ProcessId, int> zones_;
  std::map<ProcessId, Receiver> receivers_;
  std::map<std::uint64_t, Cut> cuts_;
  std::uint64_t lastCut_ = 0;
  std::function<void(Packet&)> tamper_;
  std::deque<Trace> trace_;
  std::uint64_t delivered_ = 0;
};

} // namespace figchute::simulation
