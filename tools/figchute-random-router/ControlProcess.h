#pragma once

#include "control/control.h"
#include "fleet/fleet.h"
#include "World.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figchute::simulation {

/** A control process of the router daemon on a disk in memory: what router::ControlRole does, with
    the simulated network in place of sockets. */
class ControlProcess
{
public:
  using Node = control::ControlNode;
  /** Gets the end of a call: nothing, or why it was refused. */
  using Reply = std::function<void(const Expected<void>&)>;
  using ReadReply = std::function<void(const Expected<std::string>&)>;

  /** @param clock  what this VM's clock shows more than the schedule */
  ControlProcess(World& world, ProcessId id, int zone, Duration clock);

  /** Starts the process on its disk. */
  void start(bool bootstrap);

  /** Ends the process; with a loss of power, unsynced writes are lost. */
  void kill(bool powerLoss);

  /** Replaces the disk by an empty one. Precondition: the process does not run. */
  void wipe();

  /** Stops the process for a time; messages wait. */
  void freeze(Duration span);
  void thaw();

  void setSeeds(const std::vector<ProcessId>& seeds);
  [[nodiscard]] const std::vector<ProcessId>& seeds() const { return seeds_; }

  [[nodiscard]] bool running() const { return node_ != nullptr; }
  [[nodiscard]] bool awake() const { return running() && !frozen_; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] const Node& node() const { return *node_; }
  [[nodiscard]] replication::MemoryDisk& disk() { return *disk_; }
  [[nodiscard]] bool leads() const { return awake() && node_->isLeader(now()); }
  [[nodiscard]] bool hasContact() const { return awake() && node_->hasLeaderContact(now()); }

  /** Describes the state of the process for a violation. */
  [[nodiscard]] std::string describe() const;

  // The calls of operators and endpoints. A reply is lost when the process ends.

  void putConfiguration(const std::string& bytes, Reply reply);
  void readConfiguration(ReadReply reply);
  void announce(const fleet::Announcement& announcement, Reply reply);
  void withdraw(const EndpointId& id, Reply reply);

private:
  struct Read
  {
    std::uint64_t index = 0;
    Time until;
    ReadReply reply;
  };

  [[nodiscard]] Time now() const { return world_.schedule.now() + clock_; }
  /** Runs an action now, or when the process is no longer frozen; drops it when it ends. */
  void handle(std::function<void()> action);
  void receive(const Packet& packet);
  void propose(const ledger::Command& command, Reply reply);
  void schedule();
  void settle();
  void settleNode();
  void followState();
  void onApplied();
  void answerReads();
  void answerRead(const ReadReply& reply);
  void expireEndpoints();
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  void observe();

  World& world_;
  ProcessId id_;
  Duration clock_;
  std::vector<ProcessId> seeds_;
  std::shared_ptr<replication::MemoryDisk> disk_;
  Incarnation incarnation_;
  std::unique_ptr<Node> node_;
  const fleet::FleetState* state_ = nullptr;
  std::unique_ptr<fleet::AnnouncementDesk> desk_;
  std::unique_ptr<fleet::FleetPublisher> publisher_;
  std::set<std::string> services_;
  std::uint64_t configurationVersion_ = 0;
  std::vector<Read> reads_;
  bool settling_ = false;
  bool frozen_ = false;
  std::uint64_t freezes_ = 0;
  std::vector<std::function<void()>> inbox_;
  Time nextExpiry_;
  std::uint64_t observedIndex_ = 0;
  std::uint64_t observedRevision_ = 0;
};

} // namespace figchute::simulation
