#include "ControlProcess.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr std::int64_t kMaxClockOffsetMicros = 500'000;

/** The contents of a snapshot. */
struct SnapshotState
{
  /** The hash of all entries that the snapshot covers. */
  Fingerprint hash = 0;
  std::string ledger;

  MSGPACK_DEFINE(hash, ledger)
};

/** A command with the leader's time, which every replica uses when it applies the command. */
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
  appliedIndex_ = recovered->snapshot.meta.index;
  hash_ = 0;
  pendingProposals_.clear();
  state_ = ledger::ControlState();
  ++startCount_;
  witness_ = std::make_unique<ledger::Witness>(holder());
  tallies_.log.recordRestart(id_, appliedIndex_);
  if (appliedIndex_ > 0) {
    restore(appliedIndex_, recovered->snapshot.data);
  }
  replication::LogConfig config;
  config.self = id_;
  config.initialMembers = settings_.initialMembers;
  config.seed = random_.next();
  config.maxAppendBytes = settings_.maxAppendBytes;
  config.trailingEntries = settings_.entriesPerSnapshot / 4;
  node_.emplace(config, std::move(*recovered), localNow());
}

void ControlProcess::crash()
{
  node_.reset();
  storage_.reset();
  disk_->crash(random_);
}

void ControlProcess::crashAndWipeDisk()
{
  crash();
  disk_ = std::make_unique<replication::MemoryDisk>();
}

void ControlProcess::tick()
{
  if (node_) {
    node_->tick(localNow());
    processReady();
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
  processReady();
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
  for (const auto& [index, pending] : pendingProposals_) {
    if (pending.from == from && pending.proposalId == propose.proposalId) {
      return;
    }
  }
  const auto index = append(propose.command);
  if (index) {
    pendingProposals_[*index].from = from;
    pendingProposals_[*index].proposalId = propose.proposalId;
    return;
  }
  const ProcessId leaderHint = node_->leaderHint().value_or(ProcessId());
  sendLedger({ from, ledger::ProposeReply{ propose.proposalId, false, leaderHint, {} } });
}

std::optional<replication::LogIndex> ControlProcess::append(const std::string& command)
{
  const auto bytes = wire::encode(TimedCommand{ schedule_.now(), command });
  const auto index = node_->propose(localNow(), bytes);
  if (!index) {
    return std::nullopt;
  }
  pendingProposals_[*index] = PendingProposal{ node_->term(), {}, 0 };
  if (faults_.acknowledgeUncommittedEntry) {
    tallies_.log.checkAcknowledged(
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

void ControlProcess::sendLedger(const ledger::OutgoingMessage& outgoing)
{
  network_.send(Packet{ id_, outgoing.to, wire::Channel::ledger, wire::encode(outgoing.message) });
}

bool ControlProcess::proposeMembershipChange(const replication::MembershipChange& change)
{
  return node_ && node_->proposeMembershipChange(localNow(), change).has_value();
}

void ControlProcess::processReady()
{
  while (node_ && processNextReady()) {
  }
  if (node_ && appliedIndex_ >= node_->snapshotIndex() + settings_.entriesPerSnapshot) {
    const auto compactResult = node_->compact(appliedIndex_, snapshotState());
    require(compactResult.has_value(), "compact: " + id_.value);
    processReady();
  }
}

bool ControlProcess::processNextReady()
{
  replication::Ready ready = node_->takeReady();
  if (ready.empty()) {
    return false;
  }
  if (node_->state().role == replication::Role::leader) {
    tallies_.log.checkLeader(id_, node_->term());
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
    ++restoreCount_;
  }
  for (const auto& entry : ready.committed) {
    apply(entry);
  }
  return true;
}

void ControlProcess::apply(const replication::Entry& entry)
{
  replication::Entry reportedEntry = entry;
  if (faults_.alterCommittedEntry && entry.kind == replication::EntryKind::command) {
    reportedEntry.payload += "!";
    faults_.alterCommittedEntry = false;
  }
  tallies_.log.checkApplied(id_, reportedEntry);
  appliedIndex_ = entry.index;
  hash_ = fingerprintOf(entry.payload, hash_);
  const std::string result =
    entry.kind == replication::EntryKind::command ? applyCommand(entry) : std::string();
  replyToProposer(entry, result);
  const auto outgoingMessages = state_.takeOutgoing();
  if (isLeader()) {
    for (const auto& outgoing : outgoingMessages) {
      sendLedger(outgoing);
    }
  }
}

std::string ControlProcess::applyCommand(const replication::Entry& entry)
{
  const auto timedCommand = wire::decode<TimedCommand>(entry.payload);
  require(timedCommand.has_value(), "codec: a committed command cannot be decoded");
  const auto result = state_.applyEncoded(entry.index, timedCommand->time, timedCommand->command);
  if (!result) {
    return {};
  }
  const auto command = wire::decode<ledger::Command>(timedCommand->command);
  tallies_.ledger.checkApplied(entry.index, *command, *result, state_);
  return *result;
}

void ControlProcess::replyToProposer(const replication::Entry& entry, const std::string& result)
{
  const auto pendingIt = pendingProposals_.find(entry.index);
  if (pendingIt == pendingProposals_.end()) {
    return;
  }
  const PendingProposal pending = pendingIt->second;
  pendingProposals_.erase(pendingIt);
  if (pending.term != entry.term) {
    return;
  }
  tallies_.log.checkAcknowledged(entry);
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
  appliedIndex_ = index;
  tallies_.log.checkRestored(id_, index, hash_);
}

std::string ControlProcess::snapshotState() const
{
  return wire::encode(SnapshotState{ hash_, state_.snapshot() });
}

} // namespace figchute::simulation
