#pragma once

#include "ledger/ledger.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace figchute::measure {

/** Entry processes of the router daemon around one control state, joined by a network with delay,
    jitter and loss. A cut separates all of them from control.
    Thread safety: use one instance from one thread only. */
class RouterBudgetFleet
{
public:
  /** What the fleet has sent and committed so far. */
  struct Traffic
  {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t commands = 0;
  };

  RouterBudgetFleet(int holders, std::uint64_t seed, Time start);

  /** Puts amounts in force at control; the entry processes learn them as far as they are in reach.
   */
  void prepay(Time now, std::vector<ledger::PrepaidBudget> budgets);

  /** Runs everything up to a time. */
  void advance(Time now);

  /** Stops a process without warning; its next incarnation starts after @p pause. */
  void crash(Time now, int holder, Duration pause);

  /** Stops a process after it has returned its tokens. */
  void drain(Time now, int holder, Duration pause);

  /** Cuts all entry processes off from control, or heals the network.
      @param fromEachOther  cuts them off from each other too */
  void cut(Time now, bool fromControl, bool fromEachOther);

  /** Tells whether a process takes requests: it runs, knows a configuration and is not stopping. */
  [[nodiscard]] bool serves(int holder) const;

  /** Returns the number of starts of a process. */
  [[nodiscard]] std::uint64_t life(int holder) const;

  /** Returns the wallet of a running process. */
  [[nodiscard]] ledger::Wallet& wallet(int holder);

  /** Returns the decisions of a process on waiting requests. */
  std::vector<ledger::Decision> takeDecisions(int holder);

  [[nodiscard]] int holders() const { return static_cast<int>(entries_.size()); }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }
  [[nodiscard]] const ledger::ControlState& control() const { return control_; }

private:
  struct Entry
  {
    Incarnation incarnation{ 1 };
    std::unique_ptr<ledger::Wallet> wallet;
    bool configured = false;
    bool draining = false;
    Duration pause{ 0 };
  };

  struct Packet
  {
    int from = 0;
    int to = 0;
    std::string bytes;
  };

  [[nodiscard]] int controlIndex() const { return holders(); }
  [[nodiscard]] static ProcessId nameOf(int process);
  [[nodiscard]] static int processOf(const ProcessId& name);
  void start(Time now, int holder);
  void configure(Time now);
  void send(Time now, int from, const ledger::Outgoing& outgoing, Duration extra = Duration{ 0 });
  void flush(Time now, int process);
  void deliver(Time now, const Packet& packet);
  void stopDrained(Time now);

  Random random_;
  ledger::ControlState control_;
  std::vector<ledger::PrepaidBudget> budgets_;
  std::vector<Entry> entries_;
  std::multimap<Time, Packet> packets_;
  std::multimap<Time, int> restarts_;
  Time nextTick_;
  bool controlCut_ = false;
  bool entriesCut_ = false;
  Traffic traffic_;
};

} // namespace figchute::measure
