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

/** A control process of the router daemon with an in-memory disk. It behaves like
    router::ControlRole, with the simulated network in place of sockets. */
class ControlProcess
{
public:
  using Node = control::ControlNode;
  /** Receives the result of a call: no value, or the reason for the refusal. */
  using Reply = std::function<void(const Expected<void>&)>;
  using ReadReply = std::function<void(const Expected<std::string>&)>;

  /** @param clockOffset  how far this VM's clock is ahead of the schedule at first; it changes at
                          each restart, as after a step of the wall clock */
  ControlProcess(World& world, ProcessId id, int zone, Duration clockOffset);

  /** Starts the process from its disk. */
  void start(bool bootstrap);

  /** Terminates the process. With a power loss, unsynced writes are lost. */
  void kill(bool losesPower);

  /** Replaces the disk with an empty one. Precondition: the process is not running. */
  void wipeDisk();

  /** Suspends the process for a duration; messages are queued. */
  void freeze(Duration duration);
  void thaw();

  void setSeeds(const std::vector<ProcessId>& seeds);
  [[nodiscard]] const std::vector<ProcessId>& seeds() const { return seeds_; }

  [[nodiscard]] bool isRunning() const { return node_ != nullptr; }
  [[nodiscard]] bool isResponsive() const { return isRunning() && !frozen_; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] const Node& node() const { return *node_; }
  [[nodiscard]] replication::MemoryDisk& disk() { return *disk_; }
  [[nodiscard]] bool isLeader() const { return isResponsive() && node_->isLeader(now()); }
  [[nodiscard]] bool hasLeaderContact() const
  {
    return isResponsive() && node_->hasLeaderContact(now());
  }

  /** Returns a description of the state of the process, printed with a violation. */
  [[nodiscard]] std::string describe() const;

  // Calls from operators and endpoints. The reply is lost if the process ends.

  void putConfiguration(const std::string& bytes, Reply reply);
  void readConfiguration(ReadReply reply);
  void announce(const fleet::Announcement& announcement, Reply reply);
  void withdraw(const EndpointId& id, Reply reply);

private:
  struct PendingRead
  {
    std::uint64_t index = 0;
    Time deadline;
    ReadReply reply;
  };

  [[nodiscard]] Time now() const { return world_.schedule.now() + clockOffset_; }
  /** Runs an action now, or as soon as the process is no longer frozen. Queued actions are dropped
      when the process ends. */
  void runOrQueue(std::function<void()> action);
  void receive(const Packet& packet);
  void propose(const ledger::Command& command, Reply reply);
  void scheduleTick();
  void update();
  void updateNode();
  void rebindState();
  void onApplied();
  void answerReads();
  void answerRead(const ReadReply& reply);
  void expireEndpoints();
  void send(const ProcessId& to, wire::Channel channel, std::string body);
  void checkState();
  void checkRetirements();
  [[nodiscard]] control::BootClock bootClock() const;
  [[nodiscard]] Duration randomClockStep();

  World& world_;
  ProcessId id_;
  Duration clockOffset_;
  /** The number of times that the VM lost power. */
  std::uint64_t bootCount_ = 0;
  std::vector<ProcessId> seeds_;
  std::shared_ptr<replication::MemoryDisk> disk_;
  Incarnation incarnation_;
  std::unique_ptr<Node> node_;
  const fleet::FleetState* state_ = nullptr;
  std::unique_ptr<fleet::AnnouncementTracker> announcementTracker_;
  std::unique_ptr<fleet::FleetPublisher> publisher_;
  std::set<std::string> services_;
  std::uint64_t configurationVersion_ = 0;
  std::vector<PendingRead> pendingReads_;
  bool updating_ = false;
  bool frozen_ = false;
  std::uint64_t freezeCount_ = 0;
  std::vector<std::function<void()>> queuedActions_;
  Time nextExpiryAt_;
  std::uint64_t checkedIndex_ = 0;
  std::uint64_t checkedRevision_ = 0;
};

} // namespace figchute::simulation
