#pragma once

#include "control/control.h"

#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/** Several ControlNodes on MemoryDisks with simulated time and network. It checks that no
    acknowledged command is lost, that no read is stale, and that there is only one group and at
    most one leader per term. */
class ControlCluster
{
public:
  using Node = figchute::control::ControlNode;
  using ProcessId = figchute::ProcessId;
  using Time = figchute::Time;
  using Duration = figchute::Duration;

  struct Process
  {
    std::unique_ptr<Node> node;
    std::shared_ptr<figchute::replication::MemoryDisk> disk;
    std::vector<std::string> seeds;
    std::uint64_t incarnation = 0;
    Time pausedUntil;
    bool tickNeeded = false;
  };

  /** Makes read() check the state without a barrier, so that a test can show that the check detects
      stale reads. */
  bool readWithoutBarrier = false;
  /** The probability that a message is lost. */
  double messageLossProbability = 0;

  explicit ControlCluster(std::uint64_t seed = 1)
    : random_(seed)
    , seed_(seed)
  {
  }

  /** Starts a process. It keeps the disk of an earlier start unless @p newDisk is set. */
  void start(const std::string& name,
             const std::vector<std::string>& seeds,
             bool bootstrap = false,
             bool newDisk = false)
  {
    Process& process = processes[name];
    if (!process.disk || newDisk) {
      process.disk = std::make_shared<figchute::replication::MemoryDisk>();
      process.disk->setIgnoreSync(ignoreSync);
    }
    process.seeds = seeds;
    process.incarnation = ++incarnations_;
    process.pausedUntil = {};
    process.tickNeeded = true;
    figchute::control::ControlNodeSettings settings;
    settings.self = ProcessId(name);
    for (const auto& seed : seeds) {
      settings.seeds.emplace_back(seed);
    }
    settings.bootstrap = bootstrap;
    settings.seed = random_.next();
    settings.openDataFolder =
      [disk =
         process.disk]() -> figchute::Expected<std::unique_ptr<figchute::control::DataFolder>> {
      using Folder = figchute::control::DiskDataFolder<figchute::replication::MemoryDisk>;
      return std::make_unique<Folder>(disk);
    };
    process.node = std::make_unique<Node>(std::move(settings), now);
  }

  /** Starts several processes with the same seeds. */
  void startAll(const std::vector<std::string>& names, const std::vector<std::string>& seeds)
  {
    for (const auto& name : names) {
      start(name, seeds, true);
    }
  }

  void kill(const std::string& name)
  {
    processes[name].node.reset();
    inbox_.erase(name);
  }

  void losePower(const std::string& name)
  {
    kill(name);
    processes[name].disk->crash(random_);
  }

  void restart(const std::string& name, bool newDisk = false)
  {
    kill(name);
    const auto seeds = processes[name].seeds;
    start(name, seeds, false, newDisk);
  }

  void remove(const std::string& name)
  {
    kill(name);
    processes.erase(name);
  }

  void pause(const std::string& name, Duration span) { processes[name].pausedUntil = now + span; }

  /** Drops all messages from one process to another, in this direction only. */
  void blockLink(const std::string& from, const std::string& to) { blockedLinks.emplace(from, to); }

  void isolate(const std::string& name)
  {
    for (const auto& [other, process] : processes) {
      blockLink(name, other);
      blockLink(other, name);
    }
  }

  void unblockLinks() { blockedLinks.clear(); }

  void run(Duration span)
  {
    for (const Time end = now + span; now < end;) {
      step();
    }
  }

  bool runUntil(const std::function<bool()>& done, Duration limit)
  {
    for (const Time end = now + limit; now < end && !done();) {
      step();
    }
    return done();
  }

  /** Proposes a command at a process and records it when it is acknowledged. */
  void write(const std::string& name, Duration timeout = std::chrono::milliseconds(900))
  {
    const std::string id = fmt::format("op{}", ++operations_);
    figchute::ledger::ApplyDocument command;
    command.team = figchute::TeamId(id);
    command.change = figchute::ChangeId(id);
    command.text = std::string(20, 'x');
    processes[name].tickNeeded = true;
    processes[name].node->proposeLocal(now, command, timeout, [this, id](auto result) {
      if (result) {
        acknowledged.push_back(id);
      } else {
        ++rejected;
      }
    });
  }

  /** Starts a linearizable read at a process. step() checks the result. */
  void read(const std::string& name)
  {
    const std::size_t acknowledgedCount = acknowledged.size();
    if (readWithoutBarrier) {
      checkContains(name, acknowledgedCount, "read");
      return;
    }
    auto& process = processes[name];
    process.tickNeeded = true;
    process.node->proposeLocal(
      now,
      figchute::ledger::ReadBarrier{},
      std::chrono::milliseconds(900),
      [this, name, acknowledgedCount, incarnation = process.incarnation](auto result) {
        if (result) {
          const auto index = std::get<figchute::ledger::BarrierResult>(*result).index;
          pendingReads_.push_back({ name, incarnation, acknowledgedCount, index });
        }
      });
  }

  /** Returns true when a write at the process is acknowledged within @p limit. */
  bool canCommit(const std::string& name, Duration limit = std::chrono::seconds(5))
  {
    const auto before = acknowledged.size();
    const Time end = now + limit;
    while (now < end && acknowledged.size() == before) {
      write(name, std::chrono::milliseconds(400));
      runUntil([&] { return acknowledged.size() > before; }, std::chrono::milliseconds(450));
    }
    return acknowledged.size() > before;
  }

  std::string leader()
  {
    for (auto& [name, process] : processes) {
      if (isRunning(process) && process.node->isLeader(now)) {
        return name;
      }
    }
    return {};
  }

  Node& node(const std::string& name) { return *processes.at(name).node; }

  std::vector<std::string> names() const
  {
    std::vector<std::string> names;
    for (const auto& [name, process] : processes) {
      names.push_back(name);
    }
    return names;
  }

  /** Returns true when all processes run, are voters of one group and have applied the same
      entries. */
  bool isStable()
  {
    const std::string leaderName = leader();
    if (leaderName.empty()) {
      return false;
    }
    const auto& members = node(leaderName).members();
    for (auto& [name, process] : processes) {
      if (!isRunning(process) || !process.node->log() || !process.node->hasLeaderContact(now) ||
          process.node->members() != members ||
          process.node->appliedIndex() != node(leaderName).appliedIndex()) {
        return false;
      }
      const auto* member = members.find(ProcessId(name));
      if (member == nullptr || !member->voter ||
          member->id.diskId != process.node->log()->diskId()) {
        return false;
      }
    }
    return members.voterCount() == processes.size();
  }

  bool waitUntilStable(Duration limit = std::chrono::seconds(15))
  {
    return runUntil([&] { return isStable(); }, limit);
  }

  /** Describes the state of the processes for the output of a failed test. */
  std::string describe()
  {
    std::string text;
    for (auto& [name, process] : processes) {
      text += name + ":";
      if (!isRunning(process)) {
        text += " stopped or paused\n";
        continue;
      }
      if (process.node->storageError()) {
        text += " " + process.node->storageError()->detail;
      }
      if (const auto* log = process.node->log()) {
        text += fmt::format(" disk {:.4} {} term {} applied {}/{} contact {}",
                            log->diskId(),
                            toString(log->state().role),
                            log->term(),
                            process.node->appliedIndex(),
                            log->lastIndex(),
                            process.node->hasLeaderContact(now));
      }
      for (const auto& member : process.node->members().members) {
        text += fmt::format(" {}={:.4}{}",
                            member.id.process.value,
                            member.id.diskId,
                            member.voter ? "" : "(learner)");
      }
      text += "\n";
    }
    return text;
  }

  /** Returns the violations, one per line. */
  std::string violationReport() const
  {
    std::string text;
    for (const auto& violation : violations) {
      text += violation + "\n";
    }
    return text;
  }

  /** Checks that every running process has applied all acknowledged commands. */
  void checkAllProcesses()
  {
    for (auto& [name, process] : processes) {
      if (process.node) {
        checkContains(name, acknowledged.size(), "state");
      }
    }
  }

  std::map<std::string, Process> processes;
  std::set<std::pair<std::string, std::string>> blockedLinks;
  std::vector<std::string> acknowledged;
  std::size_t rejected = 0;
  std::vector<std::string> violations;
  Time now{ 1'000'000 };
  std::uint64_t steps = 0;
  bool ignoreSync = false;
  std::uint64_t checkedReads = 0;

  figchute::Random& random() { return random_; }

private:
  struct Packet
  {
    std::string from;
    std::uint64_t incarnation = 0;
    figchute::control::OutgoingMessage message;
  };
  struct PendingRead
  {
    std::string name;
    std::uint64_t incarnation = 0;
    std::size_t acknowledgedCount = 0;
    std::uint64_t index = 0;
  };

  bool isRunning(const Process& process) const
  {
    return process.node && process.pausedUntil <= now;
  }

  void step()
  {
    now = now + Duration(5'000);
    ++steps;
    while (!packetsInFlight_.empty() && packetsInFlight_.begin()->first <= now) {
      Packet packet = std::move(packetsInFlight_.begin()->second);
      packetsInFlight_.erase(packetsInFlight_.begin());
      const std::string to = packet.message.to.value;
      const auto target = processes.find(to);
      if (target != processes.end() && target->second.node &&
          !blockedLinks.count({ packet.from, to })) {
        inbox_[to].push_back(std::move(packet));
      }
    }
    for (auto& [name, process] : processes) {
      if (isRunning(process)) {
        runProcess(name, process);
      }
    }
    checkLeaders();
    checkReads();
  }

  void runProcess(const std::string& name, Process& process)
  {
    auto packets = std::exchange(inbox_[name], {});
    for (const auto& packet : packets) {
      process.node->receive(now,
                            ProcessId(packet.from),
                            figchute::Incarnation{ packet.incarnation },
                            packet.message.channel,
                            packet.message.body);
    }
    if (packets.empty() && !process.tickNeeded && now < process.node->nextTick()) {
      return;
    }
    process.tickNeeded = false;
    process.node->tick(now);
    for (auto& message : process.node->takeOutgoing()) {
      if (random_.chance(messageLossProbability) || message.to.value == name) {
        continue;
      }
      const auto delay = Duration(random_.between(500, 9'000));
      packetsInFlight_.emplace(now + delay,
                               Packet{ name, process.incarnation, std::move(message) });
    }
    checkHistory(name, *process.node);
  }

  void addViolation(const std::string& text)
  {
    violations.push_back(
      fmt::format("seed {} step {} time {}: {}", seed_, steps, now.micros, text));
  }

  /** Detects two groups or diverged logs: their states differ at the same revision. */
  void checkHistory(const std::string& name, Node& node)
  {
    const auto& state = node.state();
    if (state.revision() == 0) {
      return;
    }
    auto& checkedRevision = lastCheckedRevision_[name];
    if (checkedRevision == state.revision()) {
      return;
    }
    checkedRevision = state.revision();
    std::string history;
    for (const auto& team : state.teams()) {
      history += team.value + ",";
    }
    const auto [recorded, added] = historyByRevision_.try_emplace(state.revision(), history);
    if (recorded->second != history) {
      addViolation(
        fmt::format("{} has a different history at revision {}", name, state.revision()));
    }
  }

  void checkLeaders()
  {
    std::string leaderName;
    for (auto& [name, process] : processes) {
      if (!isRunning(process) || !process.node->isLeader(now)) {
        continue;
      }
      if (!leaderName.empty()) {
        addViolation(fmt::format("{} and {} are leaders at the same time", leaderName, name));
      }
      leaderName = name;
      const auto leaderIdentity = name + "/" + process.node->log()->diskId();
      const auto [recorded, added] =
        leaderByTerm_.try_emplace(process.node->log()->term(), leaderIdentity);
      if (recorded->second != leaderIdentity) {
        addViolation(
          fmt::format("{} and {} were leaders in the same term", recorded->second, leaderIdentity));
      }
    }
  }

  void checkReads()
  {
    std::erase_if(pendingReads_, [&](const PendingRead& read) {
      const auto processEntry = processes.find(read.name);
      if (processEntry == processes.end() || !processEntry->second.node ||
          processEntry->second.incarnation != read.incarnation) {
        return true;
      }
      if (processEntry->second.node->appliedIndex() < read.index) {
        return false;
      }
      ++checkedReads;
      checkContains(read.name, read.acknowledgedCount, "read");
      return true;
    });
  }

  void checkContains(const std::string& name, std::size_t count, const char* what)
  {
    const auto& teams = node(name).state().teams();
    const std::set<figchute::TeamId> present(teams.begin(), teams.end());
    for (std::size_t i = 0; i < count; ++i) {
      if (!present.count(figchute::TeamId(acknowledged[i]))) {
        addViolation(
          fmt::format("{} at {} lacks acknowledged command {}", what, name, acknowledged[i]));
        return;
      }
    }
  }

  figchute::Random random_;
  std::uint64_t seed_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t operations_ = 0;
  std::multimap<Time, Packet> packetsInFlight_;
  std::map<std::string, std::vector<Packet>> inbox_;
  std::vector<PendingRead> pendingReads_;
  std::map<std::string, std::uint64_t> lastCheckedRevision_;
  std::map<std::uint64_t, std::string> historyByRevision_;
  std::map<std::uint64_t, std::string> leaderByTerm_;
};
