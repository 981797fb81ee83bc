#include "ControlProcess.h"

#include "router/Exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::simulation {
namespace {

// As in router::ControlRole.
constexpr Duration kShortestTick = std::chrono::milliseconds(5);
constexpr Duration kLongestTick = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
constexpr Duration kProposalLimit = std::chrono::milliseconds(900);

ledger::Command toCommand(const fleet::EndpointCommand& command)
{
  return std::visit([](const auto& typed) { return ledger::Command(typed); }, command);
}

} // namespace

ControlProcess::ControlProcess(World& world, ProcessId id, int zone, Duration clock)
  : world_(world)
  , id_(std::move(id))
  , clock_(clock)
{
  wipe();
  world_.network.place(id_, zone);
  world_.network.attach(
    id_, [this](const Packet& packet) { handle([this, packet] { receive(packet); }); });
}

void ControlProcess::wipe()
{
  disk_ = std::make_shared<replication::MemoryDisk>();
  disk_->setIgnoreSync(world_.breakName == "lost_configuration");
}

void ControlProcess::start(bool bootstrap)
{
  incarnation_ = world_.nextIncarnation();
  control::ControlNodeSettings settings;
  settings.self = id_;
  settings.seeds = seeds_;
  settings.bootstrap = bootstrap;
  settings.seed = world_.random.next();
  settings.openDataFolder = [disk = disk_]() -> Expected<std::unique_ptr<control::DataFolder>> {
    return std::make_unique<control::DiskDataFolder<replication::MemoryDisk>>(disk);
  };
  configurationVersion_ = 0;
  observedIndex_ = 0;
  observedRevision_ = 0;
  nextExpiry_ = {};
  frozen_ = false;
  inbox_.clear();
  node_ = std::make_unique<Node>(std::move(settings), now());
  settle();
  schedule();
}

void ControlProcess::kill(bool powerLoss)
{
  publisher_.reset();
  desk_.reset();
  state_ = nullptr;
  services_.clear();
  node_.reset();
  reads_.clear();
  inbox_.clear();
  frozen_ = false;
  if (powerLoss) {
    disk_->crash(world_.random);
  }
}

void ControlProcess::freeze(Duration span)
{
  frozen_ = true;
  const auto freeze = ++freezes_;
  world_.schedule.after(span, [this, freeze] {
    if (freeze == freezes_) {
      thaw();
    }
  });
}

void ControlProcess::thaw()
{
  frozen_ = false;
  if (!running()) {
    return;
  }
  for (auto& action : std::exchange(inbox_, {})) {
    action();
  }
  settle();
}

void ControlProcess::handle(std::function<void()> action)
{
  if (frozen_) {
    inbox_.push_back(std::move(action));
  } else if (running()) {
    action();
  }
}

void ControlProcess::setSeeds(const std::vector<ProcessId>& seeds)
{
  seeds_ = seeds;
  if (node_) {
    node_->setSeeds(seeds);
  }
}

void ControlProcess::schedule()
{
  const Duration wait =
    std::clamp<Duration>(node_->nextTick() - now(), kShortestTick, kLongestTick);
  world_.schedule.after(wait, [this, incarnation = incarnation_] {
    if (!running() || incarnation != incarnation_) {
      return;
    }
    if (!frozen_) {
      settle();
    }
    schedule();
  });
}

void ControlProcess::receive(const Packet& packet)
{
  if (packet.channel == wire::Channel::fleet) {
    if (const auto message = wire::decode<fleet::Message>(packet.bytes)) {
      publisher_->receive(now(), packet.from, *message);
    }
  } else {
    node_->receive(now(), packet.from, packet.incarnation, packet.channel, packet.bytes);
  }
  settle();
}

void ControlProcess::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  if (to != id_) {
    world_.network.send({ id_, incarnation_, to, channel, std::move(body) });
  }
}

void ControlProcess::settle()
{
  if (settling_) {
    return;
  }
  settling_ = true;
  settleNode();
  followState();
  std::vector<ProcessId> members;
  for (const auto& member : node_->members().members) {
    members.push_back(member.id.process);
  }
  publisher_->setControls(now(), members, node_->leaderHint().value_or(ProcessId()));
  publisher_->setLeaderContact(now(), node_->hasLeaderContact(now()));
  desk_->setLeader(now(), node_->isLeader(now()));
  expireEndpoints();
  publisher_->tick(now());
  for (auto& message : publisher_->takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
  observe();
  settling_ = false;
}

void ControlProcess::settleNode()
{
  const auto before = node_->appliedIndex();
  node_->tick(now());
  for (auto& message : node_->takeOutgoing()) {
    send(message.to, message.channel, std::move(message.body));
  }
  if (node_->appliedIndex() != before) {
    onApplied();
  }
  answerReads();
}

void ControlProcess::followState()
{
  const auto* state = &node_->state().fleet();
  if (state == state_) {
    return;
  }
  state_ = state;
  desk_ = std::make_unique<fleet::AnnouncementDesk>(*state_);
  publisher_ = std::make_unique<fleet::FleetPublisher>(id_, *state_, *desk_);
}

void ControlProcess::onApplied()
{
  const auto& configuration = node_->state().fleet().configuration;
  if (configuration.version() != configurationVersion_) {
    configurationVersion_ = configuration.version();
    services_.clear();
    if (const auto parsed = world_.dialect->parseConfiguration(*configuration.bytes())) {
      for (const auto& service : parsed->services) {
        services_.insert(service.name.value);
      }
    }
  }
  followState();
  publisher_->publishChanges(now());
}

void ControlProcess::observe()
{
  const Life life{ id_, incarnation_ };
  if (node_->isLeader(now())) {
    world_.tally.leads(life, node_->log()->diskId(), node_->log()->term());
  }
  if (node_->appliedIndex() == observedIndex_) {
    return;
  }
  observedIndex_ = node_->appliedIndex();
  const auto& fleet = node_->state().fleet();
  const auto version = fleet.configuration.version();
  world_.tally.inForce(life, version, *fleet.configuration.bytes());
  world_.tally.applied(id_, observedIndex_, version, fleet.endpoints.revision());
  if (fleet.endpoints.revision() != observedRevision_) {
    observedRevision_ = fleet.endpoints.revision();
    world_.tally.registry(life, fleet.endpoints.records());
  }
}

void ControlProcess::expireEndpoints()
{
  if (now() < nextExpiry_) {
    return;
  }
  nextExpiry_ = now() + kExpiryInterval;
  for (const auto& command : desk_->proposeExpirations(now())) {
    node_->proposeLocal(
      now(), command, kProposalLimit, [](const Expected<ledger::Result>& /*result*/) {});
  }
}

void ControlProcess::propose(const ledger::Command& command, Reply reply)
{
  node_->proposeLocal(now(),
                      command,
                      kProposalLimit,
                      [reply = std::move(reply)](const Expected<ledger::Result>& result) {
                        if (result) {
                          reply({});
                        } else {
                          reply(tl::unexpected(result.error()));
                        }
                      });
}

void ControlProcess::putConfiguration(const std::string& bytes, Reply reply)
{
  handle([this, bytes, reply = std::move(reply)] {
    const auto parsed = world_.dialect->parseConfiguration(bytes);
    if (!parsed && world_.breaks("invalid")) {
      const auto version = node_->state().fleet().configuration.version() + 1;
      propose(ledger::PutConfiguration{ version, bytes, {} }, reply);
    } else if (!parsed) {
      reply(tl::unexpected(parsed.error()));
    } else {
      propose(ledger::PutConfiguration{ parsed->version, bytes, router::budgetsOf(*parsed) },
              reply);
    }
    settle();
  });
}

void ControlProcess::readConfiguration(ReadReply reply)
{
  handle([this, reply = std::move(reply)] {
    if (world_.breaks("stale_read")) {
      answerRead(reply);
      return;
    }
    node_->proposeLocal(
      now(),
      ledger::ReadBarrier{},
      kProposalLimit,
      [this, reply, until = now() + kProposalLimit](const Expected<ledger::Result>& result) {
        const auto* barrier = result ? std::get_if<ledger::BarrierResult>(&*result) : nullptr;
        if (barrier == nullptr) {
          reply(fail(ErrorKind::noQuorum, "no leader with a majority answers"));
          return;
        }
        reads_.push_back({ barrier->index, until, reply });
      });
    settle();
  });
}

void ControlProcess::answerRead(const ReadReply& reply)
{
  reply(*node_->state().fleet().configuration.bytes());
}

void ControlProcess::answerReads()
{
  const auto applied = node_->appliedIndex();
  std::erase_if(reads_, [&](const Read& read) {
    if (read.index <= applied) {
      answerRead(read.reply);
      return true;
    }
    if (now() >= read.until) {
      read.reply(fail(ErrorKind::noQuorum, "the index was not applied in time"));
      return true;
    }
    return false;
  });
}

std::string ControlProcess::describe() const
{
  if (!running()) {
    return id_.value + " does not run";
  }
  std::string text =
    fmt::format("{}{} applied {}", id_.value, frozen_ ? " (frozen)" : "", node_->appliedIndex());
  if (node_->storageError()) {
    text += " storage: " + node_->storageError()->detail;
  }
  if (const auto* log = node_->log()) {
    text += fmt::format(" disk {:.6} {} term {} last {}",
                        log->diskId(),
                        toString(log->state().role),
                        log->term(),
                        log->lastIndex());
  }
  for (const auto& member : node_->members().members) {
    text += fmt::format(
      " {}={:.6}{}", member.id.process.value, member.id.diskId, member.voter ? "" : "(learner)");
  }
  text += " seeds";
  for (const auto& seed : seeds_) {
    text += " " + seed.value;
  }
  return text;
}

void ControlProcess::announce(const fleet::Announcement& announcement, Reply reply)
{
  handle([this, announcement, reply = std::move(reply)] {
    if (!services_.empty() && services_.count(announcement.service.value) == 0) {
      reply(fail(ErrorKind::badRequest, "the service is not in the configuration"));
      return;
    }
    const auto command = desk_->announce(now(), announcement);
    if (command) {
      propose(toCommand(*command), reply);
    } else {
      reply({});
    }
    settle();
  });
}

void ControlProcess::withdraw(const EndpointId& id, Reply reply)
{
  handle([this, id, reply = std::move(reply)] {
    const auto& endpoints = node_->state().fleet().endpoints;
    const auto* record = endpoints.find(id);
    const auto command = desk_->withdraw(
      { id, record != nullptr ? record->startedAtMs : 0, endpoints.sequenceOf(id) });
    if (command) {
      propose(toCommand(*command), reply);
    } else {
      reply({});
    }
    settle();
  });
}

} // namespace figchute::simulation
