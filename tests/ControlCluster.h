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

/** Several ControlNodes on MemoryDisks with simulated time and network, and the checks that no
    acknowledged command is lost, that no read is stale and that there is one group and one leader
    in each term. */
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
    bool dirty = false;
  };

  /** Makes a read answer without a barrier; shows that the check can fail. */
  bool readWithoutBarrier = false;
  /** Probability that a message is lost. */
  double loss = 0;

  explicit ControlCluster(std::uint64_t seed = 1)
    : random_(seed)
    , seed_(seed)
  {
  }

  /** Starts a process; the disk is kept from an earlier start unless @p wiped. */
  void start(const std::string& name,
             const std::vector<std::string>& seeds,
             bool bootstrap = false,
             bool wiped = false)
  {
    Process& process = processes[name];
    if (!process.disk || wiped) {
      process.disk = std::make_shared<figchute::replication::MemoryDisk>();
      process.disk->setIgnoreSync(ignoreSync);
    }
    process.seeds = seeds;
    process.incarnation = ++incarnations_;
    process.pausedUntil = {};
    process.dirty = true;
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

  void powerLoss(const std::string& name)
  {
    kill(name);
    processes[name].disk->crash(random_);
  }

  void restart(const std::string& name, bool wiped = false)
  {
    kill(name);
    const auto seeds = processes[name].seeds;
    start(name, seeds, false, wiped);
  }

  void remove(const std::string& name)
  {
    kill(name);
    processes.erase(name);
  }

  void pause(const std::string& name, Duration span) { processes[name].pausedUntil = now + span; }

  /** Cuts the messages from one process to another, in this direction only. */
  void cut(const std::string& from, const std::string& to) { cuts.emplace(from, to); }

  void isolate(const std::string& name)
  {
    for (const auto& [other, process] : processes) {
      cut(name, other);
      cut(other, name);
    }
  }

  void heal() { cuts.clear(); }

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

  /** Proposes one command at a process and remembers it when it is acknowledged. */
  void write(const std::string& name, Duration timeout = std::chrono::milliseconds(900))
  {
    const std::string id = fmt::format("op{}", ++operations_);
    figchute::ledger::ApplyDocument command;
    command.team = figchute::TeamId(id);
    command.change = figchute::ChangeId(id);
    command.text = std::string(20, 'x');
    processes[name].dirty = true;
    processes[name].node->proposeLocal(now, command, timeout, [this, id](auto result) {
      if (result) {
        acknowledged.push_back(id);
      } else {
        ++refused;
      }
    });
  }

  /** Starts a linearizable read at a process; the result is checked by step(). */
  void read(const std::string& name)
  {
    const std::size_t needed = acknowledged.size();
    if (readWithoutBarrier) {
      checkContains(name, needed, "read");
      return;
    }
    auto& process = processes[name];
    process.dirty = true;
    process.node->proposeLocal(
      now,
      figchute::ledger::ReadBarrier{},
      std::chrono::milliseconds(900),
      [this, name, needed, incarnation = process.incarnation](auto result) {
        if (result) {
          const auto index = std::get<figchute::ledger::BarrierResult>(*result).index;
          reads_.push_back({ name, incarnation, needed, index });
        }
      });
  }

  /** Tells whether a write at the process is acknowledged within the time. */
  bool commits(const std::string& name, Duration limit = std::chrono::seconds(5))
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
      if (runs(process) && process.node->isLeader(now)) {
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

  /** Tells whether all processes run, are voters of one group and have applied the same entries. */
  bool settled()
  {
    const std::string first = leader();
    if (first.empty()) {
      return false;
    }
    const auto& members = node(first).members();
    for (auto& [name, process] : processes) {
      if (!runs(process) || !process.node->log() || !process.node->hasLeaderContact(now) ||
          process.node->members() != members ||
          process.node->appliedIndex() != node(first).appliedIndex()) {
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

  bool settles(Duration limit = std::chrono::seconds(15))
  {
    return runUntil([&] { return settled(); }, limit);
  }

  /** Describes the processes for the output of a failed test. */
  std::string describe()
  {
    std::string text;
    for (auto& [name, process] : processes) {
      text += name + ":";
      if (!runs(process)) {
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

  /** Returns the violations, one a line. */
  std::string report() const
  {
    std::string text;
    for (const auto& violation : violations) {
      text += violation + "\n";
    }
    return text;
  }

  /** Checks that every process has every acknowledged command. */
  void checkAll()
  {
    for (auto& [name, process] : processes) {
      if (process.node) {
        checkContains(name, acknowledged.size(), "state");
      }
    }
  }

  std::map<std::string, Process> processes;
  std::set<std::pair<std::string, std::string>> cuts;
  std::vector<std::string> acknowledged;
  std::size_t refused = 0;
  std::vector<std::string> violations;
  Time now{ 1'000'000 };
  std::uint64_t steps = 0;
  bool ignoreSync = false;
  std::uint64_t checkedReads = 0;

  figchute::Random& random() { return random_; }

private:
  struct Letter
  {
    std::string from;
    std::uint64_t incarnation = 0;
    figchute::control::Outgoing message;
  };
  struct Read
  {
    std::string name;
    std::uint64_t incarnation = 0;
    std::size_t needed = 0;
    std::uint64_t index = 0;
  };

  bool runs(const Process& process) const { return process.node && process.pausedUntil <= now; }

  void step()
  {
    now = now + Duration(5'000);
    ++steps;
    while (!network_.empty() && network_.begin()->first <= now) {
      Letter letter = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      const std::string to = letter.message.to.value;
      const auto target = processes.find(to);
      if (target != processes.end() && target->second.node && !cuts.count({ letter.from, to })) {
        inbox_[to].push_back(std::move(letter));
      }
    }
    for (auto& [name, process] : processes) {
      if (runs(process)) {
        serve(name, process);
      }
    }
    checkLeaders();
    checkReads();
  }

  void serve(const std::string& name, Process& process)
  {
    auto letters = std::exchange(inbox_[name], {});
    for (const auto& letter : letters) {
      process.node->receive(now,
                            ProcessId(letter.from),
                            figchute::Incarnation{ letter.incarnation },
                            letter.message.channel,
                            letter.message.body);
    }
    if (letters.empty() && !process.dirty && now < process.node->nextTick()) {
      return;
    }
    process.dirty = false;
    process.node->tick(now);
    for (auto& message : process.node->takeOutgoing()) {
      if (random_.chance(loss) || message.to.value == name) {
        continue;
      }
      const auto delay = Duration(random_.between(500, 9'000));
      network_.emplace(now + delay, Letter{ name, process.incarnation, std::move(message) });
    }
    checkHistory(name, *process.node);
  }

  void violate(const std::string& text)
  {
    violations.push_back(
      fmt::format("seed {} step {} time {}: {}", seed_, steps, now.micros, text));
  }

  /** Two groups, or two histories, give different states at the same index. */
  void checkHistory(const std::string& name, Node& node)
  {
    const auto& state = node.state();
    if (state.revision() == 0) {
      return;
    }
    auto& seen = historySeen_[name];
    if (seen == state.revision()) {
      return;
    }
    seen = state.revision();
    std::string text;
    for (const auto& team : state.teams()) {
      text += team.value + ",";
    }
    const auto [at, added] = histories_.try_emplace(state.revision(), text);
    if (at->second != text) {
      violate(fmt::format("{} has another history at revision {}", name, state.revision()));
    }
  }

  void checkLeaders()
  {
    std::string first;
    for (auto& [name, process] : processes) {
      if (!runs(process) || !process.node->isLeader(now)) {
        continue;
      }
      if (!first.empty()) {
        violate(fmt::format("{} and {} lead at the same time", first, name));
      }
      first = name;
      const auto identity = name + "/" + process.node->log()->diskId();
      const auto [at, added] = leaders_.try_emplace(process.node->log()->term(), identity);
      if (at->second != identity) {
        violate(fmt::format("{} and {} led in one term", at->second, identity));
      }
    }
  }

  void checkReads()
  {
    std::erase_if(reads_, [&](const Read& read) {
      const auto found = processes.find(read.name);
      if (found == processes.end() || !found->second.node ||
          found->second.incarnation != read.incarnation) {
        return true;
      }
      if (found->second.node->appliedIndex() < read.index) {
        return false;
      }
      ++checkedReads;
      checkContains(read.name, read.needed, "read");
      return true;
    });
  }

  void checkContains(const std::string& name, std::size_t count, const char* what)
  {
    const auto& teams = node(name).state().teams();
    const std::set<figchute::TeamId> present(teams.begin(), teams.end());
    for (std::size_t i = 0; i < count; ++i) {
      if (!present.count(figchute::TeamId(acknowledged[i]))) {
        violate(fmt::format("{} at {} lacks acknowledged {}", what, name, acknowledged[i]));
        return;
      }
    }
  }

  figchute::Random random_;
  std::uint64_t seed_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t operations_ = 0;
  std::multimap<Time, Letter> network_;
  std::map<std::string, std::vector<Letter>> inbox_;
  std::vector<Read> reads_;
  std::map<std::string, std::uint64_t> historySeen_;
  std::map<std::uint64_t, std::string> histories_;
  std::map<std::uint64_t, std::string> leaders_;
};
