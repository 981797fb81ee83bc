#include "entry/EntryHandler.h"

#include <algorithm>

namespace figchute::entry {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPeerRefreshInterval = 250ms;
constexpr Duration kDocumentPollInterval = 500ms;
/** Timeout of an operator's command, after which it can be sent again with the same change id. */
constexpr Duration kCommandTimeout = 5s;
/** First proposal id of the quota manager, chosen so that its ids differ from those of requests. */
constexpr std::uint64_t kQuotaProposalIdBase = 1ULL << 62U;

ledger::QuotaSettings quotaSettings(const EntrySettings& settings)
{
  ledger::QuotaSettings result;
  result.self = { settings.self.id, settings.incarnation };
  result.zone = settings.self.zone;
  result.hasJournal = settings.dataFolder.has_value();
  result.proposalIdBase = kQuotaProposalIdBase;
  return result;
}

std::vector<membership::KnownPeer> knownEntryVms(const EntrySettings& settings)
{
  std::vector<membership::KnownPeer> knownPeers;
  for (const auto& peer : settings.peers) {
    if (peer.entry) {
      knownPeers.push_back({ peer.id, peer.zone });
    }
  }
  return knownPeers;
}

} // namespace

EntryHandler::EntryHandler(EntrySettings settings, EntryService::Environment environment)
  : settings_(std::move(settings))
  , environment_(std::move(environment))
  , self_{ settings_.self.id, settings_.incarnation }
  , quotaManager_(quotaSettings(settings_))
  , witness_(self_)
  // Starts above the proposal ids of earlier incarnations, to which replies may still arrive.
  , proposer_(settings_.incarnation.number << 16U >> 2U)
  , router_({ settings_.self.id, settings_.self.zone, settings_.seed })
  , membership_({ settings_.self.id, settings_.self.zone, settings_.incarnation, settings_.seed },
                knownEntryVms(settings_))
  , coordinator_({ self_,
                   quotaManager_,
                   proposer_,
                   router_,
                   { [this](gateway::UpstreamCall call, std::uint32_t attempt) {
                      startCall(std::move(call), attempt);
                    },
                     [this](const RequestId& id) { environment_.cancelCall(id); } },
                   *environment_.metrics,
                   environment_.log })
{
}

Expected<void> EntryHandler::recover(EntryDisk::SyncedHandler onSynced)
{
  if (!settings_.dataFolder) {
    return {};
  }
  auto disk = EntryDisk::open(*settings_.dataFolder, std::move(onSynced), environment_.failed);
  if (!disk) {
    return tl::unexpected(disk.error());
  }
  disk_ = std::move(*disk);
  const auto records = disk_->readJournal();
  if (!records) {
    return tl::unexpected(records.error());
  }
  quotaManager_.recover(kernel::currentTime(), *records);
  if (auto replaceResult = disk_->replaceJournal(quotaManager_.compactJournal()); !replaceResult) {
    return replaceResult;
  }
  const auto savedDocuments = disk_->readDocuments();
  if (!savedDocuments) {
    return tl::unexpected(savedDocuments.error());
  }
  if (!savedDocuments->empty() && documents_.decode(*savedDocuments)) {
    updateDirectory();
  }
  return {};
}

void EntryHandler::startDisk()
{
  if (disk_) {
    disk_->start();
  }
}

void EntryHandler::stopDisk()
{
  if (disk_) {
    disk_->stop();
  }
}

void EntryHandler::receive(Time now, Message message)
{
  std::visit([&](auto& typed) { handle(now, typed); }, message);
}

void EntryHandler::finishBatch(Time now)
{
  refreshPeers(now);
  pollDocuments(now);
  expireCommands(now);
  proposer_.tick(now);
  reports_.tick(now);
  quotaManager_.tick(now);
  router_.tick(now);
  coordinator_.processPending(now);
  if (settings_.self.entry) {
    membership_.tick(now);
  }
  writeJournal();
  sendAll();
  drained_ = draining_ && quotaManager_.isDrained();
}

void EntryHandler::handle(Time now, RequestReceived& message)
{
  if (draining_) {
    message.sink->fail(Error{ ErrorKind::shuttingDown, "this VM is shutting down" },
                       std::nullopt,
                       message.request.id);
    return;
  }
  coordinator_.handleRequest(now, std::move(message.request), std::move(message.sink));
}

void EntryHandler::handle(Time now, CallerDisconnected& message)
{
  coordinator_.handleDisconnect(now, message.request);
}

void EntryHandler::handle(Time now, UpstreamEventReceived& message)
{
  coordinator_.handleUpstreamEvent(now, message.request, message.attempt, std::move(message.event));
}

void EntryHandler::handle(Time now, transport::ReceivedMessage& message)
{
  switch (message.channel) {
    case wire::Channel::ledger:
      handleLedger(now, message);
      return;
    case wire::Channel::routing:
      if (const auto routingMessage = wire::decode<routing::Message>(message.body)) {
        router_.receive(now, message.from, *routingMessage);
      }
      return;
    case wire::Channel::membership:
      if (const auto membershipMessage = wire::decode<membership::Message>(message.body)) {
        membership_.receive(now, message.from, *membershipMessage);
      }
      return;
    case wire::Channel::report: {
      const auto reportMessage = wire::decode<control::ReportMessage>(message.body);
      if (reportMessage && std::holds_alternative<control::ReportReply>(*reportMessage)) {
        reports_.receive(now, std::get<control::ReportReply>(*reportMessage));
      }
      return;
    }
    case wire::Channel::heartbeat:
    case wire::Channel::replication:
    case wire::Channel::fleet:
    case wire::Channel::join:
      return;
  }
  environment_.metrics->count("peer_messages_malformed");
}

void EntryHandler::handleLedger(Time now, const transport::ReceivedMessage& message)
{
  const auto ledgerMessage = wire::decode<ledger::Message>(message.body);
  if (!ledgerMessage) {
    environment_.metrics->count("peer_messages_malformed");
    return;
  }
  if (const auto* push = std::get_if<ledger::DocumentPush>(&*ledgerMessage)) {
    applyDocuments(now, *push);
    return;
  }
  if (const auto* proposeReply = std::get_if<ledger::ProposeReply>(&*ledgerMessage)) {
    if (const auto reply = proposer_.receive(now, message.from, *proposeReply)) {
      const auto commandEntry = commands_.find(reply->proposalId);
      if (commandEntry != commands_.end()) {
        const auto onResult = std::move(commandEntry->second.onResult);
        commands_.erase(commandEntry);
        onResult(reply->result);
      } else {
        coordinator_.handleProposalReply(now, *reply);
      }
    }
  }
  quotaManager_.receive(now, message.from, *ledgerMessage);
  witness_.receive(now, message.from, *ledgerMessage);
}

void EntryHandler::handle(Time now, EndpointAnnounced& message)
{
  router_.announce(now, std::move(message.announcement));
}

void EntryHandler::handle(Time now, OperatorCommand& message)
{
  const auto id = proposer_.propose(now, message.command);
  commands_[id] = { std::move(message.done), now + kCommandTimeout };
}

void EntryHandler::handle(Time now, OperatorReport& message)
{
  reports_.requestReport(now, message.kind, std::move(message.argument), std::move(message.done));
}

void EntryHandler::handle(Time now, EntryQuery& message)
{
  message.callback(dump(now));
}

void EntryHandler::handle(Time now, JournalSynced& message)
{
  quotaManager_.journalSynced(now, message.recordCount);
}

void EntryHandler::handle(Time now, BeginShutdown& /*message*/)
{
  draining_ = true;
  quotaManager_.drain(now);
}

void EntryHandler::applyDocuments(Time /*now*/, const ledger::DocumentPush& push)
{
  const bool changed = documents_.apply(push);
  coordinator_.setQuarantine(documents_.quarantine());
  if (!changed) {
    return;
  }
  updateDirectory();
  environment_.metrics->count("documents_taken");
  environment_.log({ LogSeverity::info,
                     "documents_in_force",
                     { { "revision", std::to_string(documents_.revision()) } } });
  if (disk_) {
    disk_->post(SaveDocuments{ documents_.encode() });
  }
}

void EntryHandler::updateDirectory()
{
  const auto documents = documents_.documents();
  coordinator_.setDirectory(
    std::make_shared<const Directory>(Directory::build(documents, *environment_.metrics)));
}

void EntryHandler::refreshPeers(Time now)
{
  if (now < nextPeerRefresh_) {
    return;
  }
  nextPeerRefresh_ = now + kPeerRefreshInterval;
  std::vector<ledger::Peer> peers;
  std::vector<ProcessId> liveControls;
  std::vector<ProcessId> allControls;
  const auto addPeer =
    [&](const transport::PeerAddress& peer, Incarnation incarnation, bool alive) {
      peers.push_back({ { peer.id, incarnation }, peer.zone, peer.entry, peer.control, alive });
      if (peer.control) {
        allControls.push_back(peer.id);
        if (alive) {
          liveControls.push_back(peer.id);
        }
      }
    };
  addPeer(settings_.self, settings_.incarnation, true);
  for (const auto& status : environment_.peers()) {
    addPeer(status.peer, status.incarnation, status.alive);
  }
  controlVms_ = liveControls.empty() ? allControls : liveControls;
  proposer_.setControls(controlVms_);
  reports_.setControls(controlVms_);
  if (settings_.self.entry) {
    quotaManager_.setPeers(now, peers);
    router_.setPeers(membership_.peers());
  }
}

void EntryHandler::pollDocuments(Time now)
{
  if (now < nextDocumentPoll_ || controlVms_.empty()) {
    return;
  }
  nextDocumentPoll_ = now + kDocumentPollInterval;
  const auto& controlVm = controlVms_[nextControlIndex_++ % controlVms_.size()];
  environment_.send(
    { controlVm, wire::Channel::ledger, wire::encode(ledger::Message(documents_.makePoll())) });
}

void EntryHandler::expireCommands(Time now)
{
  for (auto entry = commands_.begin(); entry != commands_.end();) {
    if (now < entry->second.deadline) {
      ++entry;
      continue;
    }
    const auto onResult = std::move(entry->second.onResult);
    proposer_.abandon(entry->first);
    entry = commands_.erase(entry);
    onResult(fail(ErrorKind::timeout, "control did not answer; send the same change id again"));
  }
}

void EntryHandler::writeJournal()
{
  auto records = quotaManager_.takeJournal();
  if (records.empty() || !disk_) {
    return;
  }
  journalRecordCount_ += records.size();
  disk_->post(AppendJournal{ std::move(records), journalRecordCount_ });
}

template<typename OutgoingMessage>
void EntryHandler::sendMessages(wire::Channel channel, const std::vector<OutgoingMessage>& messages)
{
  for (const auto& [to, message] : messages) {
    environment_.send({ to, channel, wire::encode(message) });
  }
}

void EntryHandler::sendAll()
{
  sendMessages(wire::Channel::ledger, proposer_.takeOutgoing());
  sendMessages(wire::Channel::ledger, quotaManager_.takeOutgoing());
  sendMessages(wire::Channel::ledger, witness_.takeOutgoing());
  sendMessages(wire::Channel::routing, router_.takeOutgoing());
  sendMessages(wire::Channel::membership, membership_.takeOutgoing());
  sendMessages(wire::Channel::report, reports_.takeOutgoing());
}

void EntryHandler::startCall(gateway::UpstreamCall call, std::uint32_t attempt)
{
  const RequestId request = call.request;
  environment_.startCall(std::move(call), [this, request, attempt](gateway::UpstreamEvent event) {
    post_(UpstreamEventReceived{ request, attempt, std::move(event) });
  });
}

EntryDump EntryHandler::dump(Time now) const
{
  EntryDump dump;
  dump.revision = documents_.revision();
  dump.requests = coordinator_.inProgress();
  dump.quotaManagerReady = quotaManager_.isReady();
  dump.isControlReachable = quotaManager_.isControlReachable(now);
  dump.accounts = quotaManager_.accounts();
  dump.witnessLines = witness_.size();
  dump.members = membership_.members();
  dump.router = router_.dump(now);
  dump.quarantine = documents_.quarantine();
  return dump;
}

} // namespace figchute::entry
