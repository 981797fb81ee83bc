#include "ControlProcess.h"

#include "router/WorkspaceBudgets.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::simulation {
namespace {

/** The largest step of a VM's wall clock between two starts of its process. */
constexpr std::int64_t kMaxClockStepMicros = 2'500'000;

// Same as in router::ControlRole.
constexpr Duration kMinTickInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
constexpr Duration kProposalTimeout = std::chrono::milliseconds(900);

ledger::Command toCommand(const fleet::EndpointCommand& command)
{
  return std::visit([](const auto& typed) { return ledger::Command(typed); }, command);
}

} // namespace

ControlProcess::ControlProcess(World& world, ProcessId id, int zone, Duration clockOffset)
  : world_(world)
  , id_(std::move(id))
  , clockOffset_(clockOffset)
{
  wipeDisk();
  world_.network.setZone(id_, zone);
  world_.network.setReceiver(
    id_, [this](const Packet& packet) { runOrQueue([this, packet] { receive(packet); }); });
}

void ControlProcess::wipeDisk()
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
  clockOffset_ = std::max(Duration{ 0 }, clockOffset_ + randomClockStep());
  settings.bootClock = bootClock();
  settings.openDataFolder = [disk = disk_]() -> Expected<std::unique_ptr<control::DataFolder>> {
    return std::make_unique<control::DiskDataFolder<replication::MemoryDisk>>(disk);
  };
  configurationVersion_ = 0;
  checkedIndex_ = 0;
  checkedRevision_ = 0;
  nextExpiryAt_ = {};
  frozen_ = false;
  queuedActions_.clear();
  node_ = std::make_unique<Node>(std::move(settings), now());
  update();
  scheduleTick();
}

Duration ControlProcess::randomClockStep()
{
  return Duration(world_.random.chance(0.3)
                    ? world_.random.between(-kMaxClockStepMicros, kMaxClockStepMicros)
                    : 0);
}

control::BootClock ControlProcess::bootClock() const
{
  return { std::hash<std::string>()(fmt::format("{}/{}", id_.value, bootCount_)) | 1U,
           Time{} + clockOffset_ };
}

void ControlProcess::kill(bool losesPower)
{
  publisher_.reset();
  announcementTracker_.reset();
  state_ = nullptr;
  services_.clear();
  node_.reset();
  pendingReads_.clear();
  queuedActions_.clear();
  frozen_ = false;
  if (losesPower) {
    ++bootCount_;
    disk_->crash(world_.random);
  }
}

void ControlProcess::freeze(Duration duration)
{
  frozen_ = true;
  const auto freezeId = ++freezeCount_;
  world_.schedule.callAfter(duration, [this, freezeId] {
    if (freezeId == freezeCount_) {
      thaw();
    }
  });
}

void ControlProcess::thaw()
{
  frozen_ = false;
  if (!isRunning()) {
    return;
  }
  for (auto& action : std::exchange(queuedActions_, {})) {
    action();
  }
  update();
}

void ControlProcess::runOrQueue(std::function<void()> action)
{
  if (frozen_) {
    queuedActions_.push_back(std::move(action));
  } else if (isRunning()) {
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

void ControlProcess::scheduleTick()
{
  const Duration delay =
    std::clamp<Duration>(node_->nextTick() - now(), kMinTickInterval, kMaxTickInterval);
  world_.schedule.callAfter(delay, [this, incarnation = incarnation_] {
    if (!isRunning() || incarnation != incarnation_) {
      return;
    }
    if (!frozen_) {
      update();
    }
    scheduleTick();
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
  update();
}

void ControlProcess::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  if (to != id_) {
    world_.network.send({ id_, incarnation_, to, channel, std::move(body) });
  }
}

void ControlProcess::update()
{
  if (updating_) {
    return;
  }
  updating_ = true;
  updateNode();
  rebindState();
  std::vector<ProcessId> members;
  for (const auto& member : node_->members().members) {
    members.push_back(member.id.process);
  }
  publisher_->setControls(now(), members, node_->leaderHint().value_or(ProcessId()));
  publisher_->setLeaderContact(now(), node_->hasLeaderContact(now()));
  announcementTracker_->setLeader(now(), node_->isLeader(now()));
  expireEndpoints();
  publisher_->tick(now());
  for (auto& message : publisher_->takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
  checkState();
  updating_ = false;
}

void ControlProcess::updateNode()
{
  const auto previousIndex = node_->appliedIndex();
  node_->tick(now());
  for (auto& message : node_->takeOutgoing()) {
    send(message.to, message.channel, std::move(message.body));
  }
  if (node_->appliedIndex() != previousIndex) {
    onApplied();
    checkRetirements();
  }
  answerReads();
}

void ControlProcess::checkRetirements()
{
  for (const auto& retirement : node_->takeRetirements()) {
    const bool isBroken = world_.isBroken("write_off");
    world_.tally.checkRetirement(retirement.holder, isBroken ? Tokens{} : retirement.returned);
  }
}

void ControlProcess::rebindState()
{
  const auto* state = &node_->state().fleet();
  if (state == state_) {
    return;
  }
  state_ = state;
  announcementTracker_ = std::make_unique<fleet::AnnouncementTracker>(*state_);
  publisher_ = std::make_unique<fleet::FleetPublisher>(id_, *state_, *announcementTracker_);
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
  rebindState();
  publisher_->publishChanges(now());
}

void ControlProcess::checkState()
{
  const ProcessStart processStart{ id_, incarnation_ };
  if (node_->isLeader(now())) {
    world_.tally.checkLeader(processStart, node_->log()->diskId(), node_->log()->term());
  }
  if (node_->appliedIndex() == checkedIndex_) {
    return;
  }
  checkedIndex_ = node_->appliedIndex();
  const auto& fleet = node_->state().fleet();
  const auto version = fleet.configuration.version();
  world_.tally.checkActiveConfiguration(processStart, version, *fleet.configuration.bytes());
  world_.tally.checkApplied(id_, checkedIndex_, version, fleet.endpoints.revision());
  if (fleet.endpoints.revision() != checkedRevision_) {
    checkedRevision_ = fleet.endpoints.revision();
    world_.tally.checkRegistry(processStart, fleet.endpoints.records());
  }
}

void ControlProcess::expireEndpoints()
{
  if (now() < nextExpiryAt_) {
    return;
  }
  nextExpiryAt_ = now() + kExpiryInterval;
  for (const auto& command : announcementTracker_->proposeExpirations(now())) {
    node_->proposeLocal(
      now(), command, kProposalTimeout, [](const Expected<ledger::Result>& /*result*/) {});
  }
}

void ControlProcess::propose(const ledger::Command& command, Reply reply)
{
  node_->proposeLocal(now(),
                      command,
                      kProposalTimeout,
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
  runOrQueue([this, bytes, reply = std::move(reply)] {
    const auto parsed = world_.dialect->parseConfiguration(bytes);
    if (!parsed && world_.isBroken("invalid")) {
      const auto version = node_->state().fleet().configuration.version() + 1;
      propose(ledger::PutConfiguration{ version, bytes, {} }, reply);
    } else if (!parsed) {
      reply(tl::unexpected(parsed.error()));
    } else {
      propose(ledger::PutConfiguration{ parsed->version, bytes, router::budgetsOf(*parsed) },
              reply);
    }
    update();
  });
}

void ControlProcess::readConfiguration(ReadReply reply)
{
  runOrQueue([this, reply = std::move(reply)] {
    if (world_.isBroken("stale_read")) {
      answerRead(reply);
      return;
    }
    node_->proposeLocal(
      now(),
      ledger::ReadBarrier{},
      kProposalTimeout,
      [this, reply, deadline = now() + kProposalTimeout](const Expected<ledger::Result>& result) {
        const auto* barrier = result ? std::get_if<ledger::BarrierResult>(&*result) : nullptr;
        if (barrier == nullptr) {
          reply(fail(ErrorKind::noQuorum, "no leader with a majority responded"));
          return;
        }
        pendingReads_.push_back({ barrier->index, deadline, reply });
      });
    update();
  });
}

void ControlProcess::answerRead(const ReadReply& reply)
{
  reply(*node_->state().fleet().configuration.bytes());
}

void ControlProcess::answerReads()
{
  const auto appliedIndex = node_->appliedIndex();
  std::erase_if(pendingReads_, [&](const PendingRead& read) {
    if (read.index <= appliedIndex) {
      answerRead(read.reply);
      return true;
    }
    if (now() >= read.deadline) {
      read.reply(fail(ErrorKind::noQuorum, "the index was not applied in time"));
      return true;
    }
    return false;
  });
}

std::string ControlProcess::describe() const
{
  if (!isRunning()) {
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
  runOrQueue([this, announcement, reply = std::move(reply)] {
    if (!services_.empty() && services_.count(announcement.service.value) == 0) {
      reply(fail(ErrorKind::badRequest, "the service is not in the configuration"));
      return;
    }
    const auto command = announcementTracker_->announce(now(), announcement);
    if (command) {
      propose(toCommand(*command), reply);
    } else {
      reply({});
    }
    update();
  });
}

void ControlProcess::withdraw(const EndpointId& id, Reply reply)
{
  runOrQueue([this, id, reply = std::move(reply)] {
    if (const auto command = announcementTracker_->withdraw(id)) {
      propose(toCommand(*command), reply);
    } else {
      reply({});
    }
    update();
  });
}

} // namespace figchute::simulation
