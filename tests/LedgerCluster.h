#pragma once

#include "ledger/ledger.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::ledger::test {

constexpr Duration kMs{ 1000 };
constexpr Duration kSecond{ 1'000'000 };
const Time kStart{ 1'700'000'000'000'000 };

/** One entry VM: a quota manager, a witness and a journal that is kept across restarts. */
struct Entry
{
  std::uint64_t incarnation = 1;
  ZoneId zone{ "z1" };
  bool hasJournal = false;
  bool alive = true;
  std::unique_ptr<QuotaManager> quotaManager;
  std::unique_ptr<Witness> witness;
  std::vector<JournalRecord> journal;
  std::uint64_t syncedRecordCount = 0;
};

/** Quota managers and witnesses of several entry VMs and one ControlState, connected by a simulated
   network in virtual time that can drop, duplicate and delay messages. Messages are encoded and
   decoded. */
class Cluster
{
public:
  struct Packet
  {
    std::string from;
    std::string to;
    std::string bytes;
  };

  explicit Cluster(std::uint64_t seed = 1)
    : random(seed)
  {
  }

  HolderId holder(const std::string& name) const
  {
    return { ProcessId(name), Incarnation{ entries.at(name).incarnation } };
  }

  /** Starts a new process or the next incarnation of an existing one. */
  void start(const std::string& name, bool hasJournal = false, const std::string& zone = "z1")
  {
    auto& entry = entries[name];
    entry.hasJournal = hasJournal;
    entry.zone = ZoneId(zone);
    entry.alive = true;
    entry.syncedRecordCount = 0;
    auto settings = makeSettings(holder(name), entry.zone);
    settings.hasJournal = hasJournal;
    entry.quotaManager = std::make_unique<QuotaManager>(settings);
    entry.witness = std::make_unique<Witness>(settings.self);
    entry.quotaManager->recover(now, entry.journal);
    updatePeers();
  }

  void crash(const std::string& name)
  {
    entries.at(name).alive = false;
    entries.at(name).quotaManager.reset();
    entries.at(name).witness.reset();
    ++entries.at(name).incarnation;
    updatePeers();
  }

  void updatePeers()
  {
    std::vector<Peer> peers;
    for (const auto& [name, entry] : entries) {
      peers.push_back({ holder(name), entry.zone, true, false, entry.alive });
    }
    peers.push_back({ { ProcessId("ctl"), Incarnation{ 1 } }, ZoneId("z9"), false, true, true });
    for (auto& [name, entry] : entries) {
      if (entry.quotaManager) {
        entry.quotaManager->setPeers(now, peers);
      }
    }
  }

  /** Returns a reading of the control VM's clock. */
  ClockReading readClock() const { return { controlClock, now }; }

  Result apply(const Command& command) { return control.apply(++index, now, command); }

  template<typename R>
  R run(const Command& command)
  {
    return std::get<R>(apply(command));
  }

  void buy(std::int64_t amount, const std::string& name = "w:t/x")
  {
    const auto view = control.document(TeamId("t"));
    ApplyDocument command{ TeamId("t"),
                           view ? view->version : 0,
                           ChangeId("buy" + std::to_string(index)),
                           "text",
                           { { BudgetId(name), Tokens{ amount } } } };
    apply(command);
  }

  bool connected(const std::string& from, const std::string& to) const
  {
    return !disconnectedLinks.contains({ from, to }) && !disconnectedLinks.contains({ to, from });
  }

  void send(const std::string& from, const OutgoingMessage& outgoing)
  {
    const auto& to = outgoing.to.value;
    const int copies = random.chance(duplicationProbability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!connected(from, to) || random.chance(lossProbability)) {
        continue;
      }
      const auto delay = Duration(random.between(500, 500 + maxExtraDelay.count()));
      packetQueue.emplace(now + delay, Packet{ from, to, wire::encode(outgoing.message) });
    }
  }

  void deliver(const Packet& packet);

  /** Runs the network and all processes for a duration, in steps of 1 ms. */
  void advance(Duration duration)
  {
    for (const auto end = now + duration; now < end;) {
      now = now + kMs;
      while (!packetQueue.empty() && packetQueue.begin()->first <= now) {
        const auto packet = packetQueue.begin()->second;
        packetQueue.erase(packetQueue.begin());
        deliver(packet);
      }
      step();
    }
  }

  void step();

  Decision reserve(const std::string& name,
                   const std::string& request,
                   std::int64_t bound,
                   const std::string& key = {})
  {
    const std::vector<BudgetId> budgets{ BudgetId("w:t/x") };
    std::optional<RequestKey> requestKey;
    if (!key.empty()) {
      requestKey = RequestKey{ CallerId("t/c"), key };
    }
    return entries.at(name).quotaManager->reserve(
      now, RequestId(request), requestKey, budgets, Tokens{ bound });
  }

  /** Reserves tokens and runs the network until the decision is made, for at most 600 ms. */
  Decision decide(const std::string& name,
                  const std::string& request,
                  std::int64_t bound,
                  const std::string& key = {})
  {
    auto decision = reserve(name, request, bound, key);
    for (int i = 0; decision.status == ReserveStatus::waiting && i < 600; ++i) {
      advance(kMs);
      for (const auto& candidate : decisions[name]) {
        decision = candidate.request.value == request ? candidate : decision;
      }
    }
    return decision;
  }

  /** Charges a request and runs the network until the charge is recorded, for at most 50 ms. */
  bool charge(const std::string& name, const std::string& request, std::int64_t amount)
  {
    const bool charged =
      entries.at(name).quotaManager->charge(now, RequestId(request), Tokens{ amount }).has_value();
    for (int i = 0; charged && i < 50 && !recordedRequests.contains(request); ++i) {
      advance(kMs);
    }
    return recordedRequests.contains(request);
  }

  BudgetView budget(const std::string& name = "w:t/x") const
  {
    return *control.budget(BudgetId(name));
  }

  /** Returns the settings of a quota manager. Tests of another mode replace it before start(). */
  std::function<QuotaSettings(const HolderId&, const ZoneId&)> makeSettings =
    [](const HolderId& self, const ZoneId& zone) {
      QuotaSettings settings;
      settings.self = self;
      settings.zone = zone;
      settings.idleTimeout = 5 * kSecond;
      return settings;
    };
  Random random;
  Time now = kStart;
  std::uint64_t index = 0;
  ControlState control;
  Witness controlWitness{ { ProcessId("ctl"), Incarnation{ 1 } } };
  std::map<std::string, Entry> entries;
  std::multimap<Time, Packet> packetQueue;
  std::set<std::pair<std::string, std::string>> disconnectedLinks;
  double lossProbability = 0;
  double duplicationProbability = 0;
  Duration maxExtraDelay{ 0 };
  bool controlDown = false;
  /** The identity of the control VM's clock. It changes when that VM is restarted. */
  std::uint64_t controlClock = 1;
  /** Whether grant requests are lost on their way to control. */
  bool losesGrants = false;
  /** The minimum time between two grant requests that control states. */
  Duration grantInterval{ 0 };
  /** The commands that reached control. */
  int grantCommands = 0;
  int settleCommands = 0;
  /** Whether processes call setControlLost() when their link to control is cut. */
  bool reportsControlLost = false;
  std::map<std::string, std::vector<Decision>> decisions;
  std::set<std::string> recordedRequests;
  std::set<std::string> unresponsiveWitnesses;
  /** Processes whose VM is suspended. They lose the messages that arrive meanwhile. */
  std::set<std::string> suspended;
};

inline void Cluster::deliver(const Packet& packet)
{
  const auto message = *wire::decode<Message>(packet.bytes);
  const ProcessId from(packet.from);
  if (packet.to != "ctl") {
    const auto& entry = entries.at(packet.to);
    if (entry.alive && !suspended.contains(packet.to)) {
      entry.quotaManager->receive(now, from, message);
      if (!unresponsiveWitnesses.contains(packet.to)) {
        entry.witness->receive(now, from, message);
      }
    }
    return;
  }
  if (controlDown) {
    return;
  }
  if (const auto* propose = std::get_if<Propose>(&message)) {
    const auto command = *wire::decode<Command>(propose->command);
    if (losesGrants && std::holds_alternative<Grant>(command)) {
      return;
    }
    grantCommands += std::holds_alternative<Grant>(command) ? 1 : 0;
    settleCommands += std::holds_alternative<Settle>(command) ? 1 : 0;
    const auto result = *control.applyEncoded(++index, now, propose->command);
    ProposeReply reply{ propose->proposalId, true, ProcessId("ctl"), result, readClock() };
    reply.grantIntervalMicros = grantInterval.count();
    send("ctl", { from, reply });
  }
  if (const auto* report = std::get_if<WitnessReport>(&message)) {
    apply(ControlState::makeRetireCommand(*report));
  }
  if (const auto* request = std::get_if<ClockRequest>(&message)) {
    send("ctl", { from, ClockReply{ request->holder, readClock() } });
  }
  controlWitness.receive(now, from, message);
}

inline void Cluster::step()
{
  for (auto& [name, entry] : entries) {
    if (!entry.alive || suspended.contains(name)) {
      continue;
    }
    if (reportsControlLost) {
      entry.quotaManager->setControlLost(!connected(name, "ctl"));
    }
    entry.quotaManager->tick(now);
    const auto records = entry.quotaManager->takeJournal();
    entry.journal.insert(entry.journal.end(), records.begin(), records.end());
    entry.syncedRecordCount += records.size();
    entry.quotaManager->journalSynced(now, entry.syncedRecordCount);
    for (const auto& outgoing : entry.quotaManager->takeOutgoing()) {
      send(name, outgoing);
    }
    for (const auto& outgoing : entry.witness->takeOutgoing()) {
      send(name, outgoing);
    }
    for (const auto& decision : entry.quotaManager->takeDecisions()) {
      decisions[name].push_back(decision);
    }
    for (const auto& request : entry.quotaManager->takeRecordedCharges()) {
      recordedRequests.insert(request.value);
    }
  }
  for (const auto& outgoing : controlWitness.takeOutgoing()) {
    send("ctl", outgoing);
  }
  auto controlMessages = control.takeOutgoing();
  if (!controlDown && now.micros % 100'000 == 0) {
    const auto requests = control.reportRequests();
    controlMessages.insert(controlMessages.end(), requests.begin(), requests.end());
  }
  for (const auto& outgoing : controlMessages) {
    if (outgoing.to.value == "ctl") {
      controlWitness.receive(now, ProcessId("ctl"), outgoing.message);
    } else {
      send("ctl", outgoing);
    }
  }
}

} // namespace figchute::ledger::test
