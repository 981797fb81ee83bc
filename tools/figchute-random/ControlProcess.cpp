#include "ControlProcess.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr std::int64_t kMaxClockOffsetMicros = 500'000;

/** The state of the state machine; the padding makes a snapshot need several chunks. */
struct HashState
{
  Fingerprint hash = 0;
  std::string padding;

  MSGPACK_DEFINE(hash, padding)
};

constexpr std::size_t kPaddingBytes = 10'000;

} // namespace

ControlProcess::ControlProcess(ProcessId id,
                               ControlSettings settings,
                               Schedule& schedule,
                               Random& random,
                               Network& network,
                               LogTally& tally)
  : id_(std::move(id))
  , settings_(std::move(settings))
  , schedule_(schedule)
  , random_(random)
  , network_(network)
  , tally_(tally)
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
  tally_.restarted(id_, applied_);
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
  if (!node_ || packet.channel != wire::Channel::replication) {
    return;
  }
  const auto message = wire::decode<replication::Message>(packet.bytes);
  require(message.has_value(), "codec: a replication message cannot be decoded");
  node_->receive(localNow(), packet.from, *message);
  pump();
}

bool ControlProcess::propose(const std::string& bytes)
{
  if (!node_) {
    return false;
  }
  const auto index = node_->propose(localNow(), bytes);
  if (!index) {
    return false;
  }
  pending_[*index] = Pending{ node_->term() };
  if (broken_.acknowledgedEntry) {
    tally_.acknowledged(
      replication::Entry{ *index, node_->term(), replication::EntryKind::command, bytes });
  }
  return true;
}

bool ControlProcess::change(const replication::MembershipChange& change)
{
  return node_ && node_->proposeMembership(localNow(), change).has_value();
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
    tally_.leads(id_, node_->term());
  }
  if (ready.needsSync()) {
    if (!storage_->save(ready)) {
      crash();
      return false;
    }
    node_->persisted(localNow());
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
  tally_.applied(id_, seen);
  applied_ = entry.index;
  hash_ = fingerprintOf(entry.payload, hash_);
  const auto pending = pending_.find(entry.index);
  if (pending != pending_.end()) {
    if (pending->second.term == entry.term) {
      tally_.acknowledged(entry);
    }
    pending_.erase(pending);
  }
}

void ControlProcess::restore(replication::LogIndex index, const std::string& data)
{
  const auto state = wire::decode<HashState>(data);
  require(state.has_value(), "snapshot: the state of " + id_.value + " cannot be decoded");
  hash_ = state->hash;
  applied_ = index;
  tally_.restored(id_, index, hash_);
}

std::string ControlProcess::snapshotState() const
{
  return wire::encode(HashState{ hash_, std::string(kPaddingBytes, 'p') });
}

} // namespace figchute::simulation
