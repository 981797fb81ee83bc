#include "ControlProcess.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr std::int64_t kMaxClockOffsetMicros = 500'000;

/** What a snapshot contains. */
struct SnapshotState
{
  /** The hash of all entries that the snapshot covers. */
  Fingerprint hash = 0;
  std::string ledger;

  MSGPACK_DEFINE(hash, ledger)
};

/** A command with the leader's time, which every replica applies alike. */
struct TimedCommand
{
  Time time;
  std::string command;

  MSGPACK_DEFINE(time, command)
};

} // namespace

ControlProcess::ControlProcess(ProcessId id,
                               ControlSettings settings,
                               Schedule& schedule,
                               Random& random,
                               Network& network,
                               Tallies& tallies)
  : id_(std::move(id))
  , settings_(std::move(settings))
  , schedule_(schedule)
  , random_(random)
  , network_(network)
  , tallies_(tallies)
  , disk_(std::make_unique<replication::MemoryDisk>())
{
}

void ControlProcess::start()
{
  clockOffset_ = Duration(random_.between(0, kMaxClockOffsetMicros));
  storage_.emplace(*disk_, replication::StorageConfig{ 16UL * 1024 });
  auto recovered = storage_->recover(fmt::format("disk{:016x}", random_.next()));
  require(recovered.has_value(),
          "storage: " + id_.value + ": " + (recovered ? "" : recovered.error().detail));
  applied_ = recovered->snapshot.meta.index;
  hash_ = 0;
  pending_.clear();
  state_ = ledger::ControlState();
  ++starts_;
  witness_ = std::make_unique<ledger::Witness>(holder());
  tallies_.log.restarted(id_, applied_);
  if (applied_ > 0) {
    restore(applied_, recovered->snapshot.data);
  }
  replication::LogConfig config;
  config.self = id_;
  config.initialMembers = settings_.initialMembers;
  config.seed = random_.next();
  config.maxAppendBytes = settings_.maxAppendBytes;
  config.trailingEntries = settings_.snapshotEvery / 4;
  node_.emplace(config, std::move(*recovered), localNow());
}

void ControlProcess::crash()
{
  node_.reset();
  storage_.reset();
  disk_->crash(random_);
}

void ControlProcess::loseDisk()
{
  crash();
  disk_ = std::make_unique<replication::MemoryDisk>();
}

void ControlProcess::tick()
{
  if (node_) {
    node_->tick(localNow());
    pump();
  }
}

void ControlProcess::receive(const Packet& packet)
{
  if (!node_) {
    return;
  }
  if (packet.channel == wire::Channel::ledger) {
    receiveLedger(packet);
    return;
  }
  const auto message = wire::decode<replication::Message>(packet.bytes);
  require(message.has_value(), "codec: a replication message cannot be decoded");
  node_->receive(localNow(), packet.from, *message);
  pump();
}

void ControlProcess::receiveLedger(const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  require(message.has_value(), "codec: a ledger message cannot be decoded");
  if (const auto* propose = std::get_if<ledger::Propose>(&*message)) {
    handlePropose(packet.from, *propose);
  }
  if (const auto* report = std::get_if<ledger::WitnessReport>(&*message)) {
    append(wire::encode(ledger::Command(ledger::ControlState::makeRetireCommand(*report))));
  }
  if (const auto* poll = std::get_if<ledger::DocumentPoll>(&*message)) {
    sendLedger({ packet.from, state_.documentsSince(*poll) });
  }
  witness_->receive(schedule_.now(), packet.from, *message);
  for (const auto& outgoing : witness_->takeOutgoing()) {
    sendLedger(outgoing);
  }
}

void ControlProcess::handlePropose(const ProcessId& from, const ledger::Propose& propose)
{
  for (const auto& [index, pending] : pending_) {
    if (pending.from == from && pending.proposalId == propose.proposalId) {
      return;
    }
  }
  const auto index = append(propose.command);
  if (index) {
    pending_[*index].from = from;
    pending_[*index].proposalId = propose.proposalId;
    return;
  }
  const ProcessId hint = node_->leaderHint().value_or(ProcessId());
  sendLedger({ from, ledger::ProposeReply{ propose.proposalId, false, hint, {} } });
}

std::optional<replication::LogIndex> ControlProcess::append(const std::string& command)
{
  const auto bytes = wire::encode(TimedCommand{ schedule_.now(), command });
  const auto index = node_->propose(localNow(), bytes);
  if (!index) {
    return std::nullopt;
  }
  pending_[*index] = Pending{ node_->term(), {}, 0 };
  if (broken_.acknowledgedEntry) {
    tallies_.log.acknowledged(
      replication::Entry{ *index, node_->term(), replication::EntryKind::command, bytes });
  }
  return *index;
}

bool ControlProcess::propose(const std::string& bytes)
{
  return node_ && append(bytes).has_value();
}

void ControlProcess::requestReports()
{
  if (isLeader()) {
    for (const auto& outgoing : state_.reportRequests()) {
      sendLedger(outgoing);
    }
  }
}

void ControlProcess::sendLedger(const ledger::Outgoing& outgoing)
{
  network_.send(Packet{ id_, outgoing.to, wire::Channel::ledger, wire::encode(outgoing.message) });
}

bool ControlProcess::change(const replication::MembershipChange& change)
{
  return node_ && node_->proposeMembershipChange(localNow(), change).has_value();
}

void ControlProcess::pump()
{
  while (node_ && pumpOnce()) {
  }
  if (node_ && applied_ >= node_->snapshotIndex() + settings_.snapshotEvery) {
    const auto compacted = node_->compact(applied_, snapshotState());
    require(compacted.has_value(), "compact: " + id_.value);
    pump();
  }
}

bool ControlProcess::pumpOnce()
{
  replication::Ready ready = node_->takeReady();
  if (ready.empty()) {
    return false;
  }
  if (node_->state().role == replication::Role::leader) {
    tallies_.log.leads(id_, node_->term());
  }
  if (ready.needsSync()) {
    if (!storage_->save(ready)) {
      crash();
      return false;
    }
    node_->confirmPersisted(localNow());
  }
  for (auto& outgoing : ready.messages) {
    network_.send(
      Packet{ id_, outgoing.to, wire::Channel::replication, wire::encode(outgoing.message) });
  }
  if (ready.restoreState) {
    restore(ready.snapshot->meta.index, ready.snapshot->data);
    ++restores_;
  }
  for (const auto& entry : ready.committed) {
    apply(entry);
  }
  return true;
}

void ControlProcess::apply(const replication::Entry& entry)
{
  replication::Entry seen = entry;
  if (broken_.committedEntry && entry.kind == replication::EntryKind::command) {
    seen.payload += "!";
    broken_.committedEntry = false;
  }
  tallies_.log.applied(id_, seen);
  applied_ = entry.index;
  hash_ = fingerprintOf(entry.payload, hash_);
  const std::string result =
    entry.kind == replication::EntryKind::command ? applyCommand(entry) : std::string();
  answer(entry, result);
  const auto caused = state_.takeOutgoing();
  if (isLeader()) {
    for (const auto& outgoing : caused) {
      sendLedger(outgoing);
    }
  }
}

std::string ControlProcess::applyCommand(const replication::Entry& entry)
{
  const auto timed = wire::decode<TimedCommand>(entry.payload);
  require(timed.has_value(), "codec: a committed command cannot be decoded");
  const auto result = state_.applyEncoded(entry.index, timed->time, timed->command);
  if (!result) {
    return {};
  }
  const auto command = wire::decode<ledger::Command>(timed->command);
  tallies_.ledger.applied(entry.index, *command, *result, state_);
  return *result;
}

void ControlProcess::answer(const replication::Entry& entry, const std::string& result)
{
  const auto found = pending_.find(entry.index);
  if (found == pending_.end()) {
    return;
  }
  const Pending pending = found->second;
  pending_.erase(found);
  if (pending.term != entry.term) {
    return;
  }
  tallies_.log.acknowledged(entry);
  if (!pending.from.empty()) {
    sendLedger({ pending.from, ledger::ProposeReply{ pending.proposalId, true, id_, result } });
  }
}

void ControlProcess::restore(replication::LogIndex index, const std::string& data)
{
  const auto snapshot = wire::decode<SnapshotState>(data);
  require(snapshot && state_.restore(snapshot->ledger),
          "snapshot: the state of " + id_.value + " cannot be decoded");
  hash_ = snapshot->hash;
  applied_ = index;
  tallies_.log.restored(id_, index, hash_);
}

std::string ControlProcess::snapshotState() const
{
  return wire::encode(SnapshotState{ hash_, state_.snapshot() });
}

} // namespace figchute::simulation
