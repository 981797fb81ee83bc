#include "Network.h"

#include "ledger/ledger.h"
#include "replication/replication.h"

#include <array>
#include <fmt/format.h>
#include <variant>

namespace figchute::simulation {
namespace {

constexpr std::size_t kTraceLength = 50;
constexpr Duration kIntraZoneDelay{ 200 };
constexpr std::int64_t kMaxLongDelayMicros = 1'000'000;

/** The names of the alternatives of ledger::Message and ledger::Command, in declaration order. */
constexpr std::array kMessageNames{ "Propose",         "ProposeReply", "Recall",
                                    "TransferRequest", "Transfer",     "TransferAck",
                                    "WitnessRecord",   "WitnessAck",   "WitnessReportRequest",
                                    "WitnessReport",   "DocumentPoll", "DocumentPush",
                                    "WitnessForget",   "ClockRequest", "ClockReply" };
constexpr std::array kCommandNames{ "ApplyDocument", "Grant",          "Settle",
                                    "Claim",         "Outcome",        "RegisterHolder",
                                    "Retire",        "CrashReport",    "AddMember",
                                    "PromoteMember", "RemoveMember",   "PutConfiguration",
                                    "PutEndpoint",   "RemoveEndpoint", "ExpireEndpoint",
                                    "ReadBarrier",   "SetEvacuation" };
static_assert(kMessageNames.size() == std::variant_size_v<ledger::Message>);
static_assert(kCommandNames.size() == std::variant_size_v<ledger::Command>);

std::string describeCommand(const ledger::Command& command)
{
  return kCommandNames.at(command.index());
}

} // namespace

void require(bool condition, const std::string& detail)
{
  if (!condition) {
    throw Violation{ detail };
  }
}

void Schedule::callAt(Time time, std::function<void()> action)
{
  actions_.emplace(std::pair(time, ++sequence_), std::move(action));
}

void Schedule::step()
{
  auto nextAction = actions_.extract(actions_.begin());
  now_ = nextAction.key().first;
  ++stepCount_;
  nextAction.mapped()();
}

Network::Network(Schedule& schedule, Random& random, Duration interZoneDelay)
  : schedule_(schedule)
  , random_(random)
  , interZoneDelay_(interZoneDelay)
{
}

void Network::addProcess(const ProcessId& process, int zone, const Receiver& receiver)
{
  processes_[process] = Process{ zone, receiver };
}

void Network::heal()
{
  blockedZones_.clear();
  isolatedProcesses_.clear();
}

bool Network::isBlocked(const ProcessId& from, const ProcessId& to) const
{
  return isolatedProcesses_.count(from) > 0 || isolatedProcesses_.count(to) > 0 ||
         blockedZones_.count({ zoneOf(from), zoneOf(to) }) > 0;
}

void Network::send(const Packet& packet)
{
  if (processes_.count(packet.to) == 0 || random_.chance(faults_.loss)) {
    return;
  }
  if (random_.chance(faults_.duplication)) {
    deliverAfterDelay(packet);
  }
  deliverAfterDelay(packet);
}

void Network::deliverAfterDelay(const Packet& packet)
{
  const bool isSameZone = zoneOf(packet.from) == zoneOf(packet.to);
  const Duration base = isSameZone ? kIntraZoneDelay : interZoneDelay_;
  Duration delay = base + Duration(random_.between(0, base.count()));
  if (random_.chance(faults_.longDelay)) {
    delay += Duration(random_.between(0, kMaxLongDelayMicros));
  }
  schedule_.callAt(schedule_.now() + delay, [this, packet] { deliver(packet); });
}

void Network::deliver(Packet packet)
{
  if (isBlocked(packet.from, packet.to)) {
    return;
  }
  if (modifyPacket_) {
    modifyPacket_(packet);
  }
  ++deliveredCount_;
  trace_.emplace_back(schedule_.now(), packet);
  if (trace_.size() > kTraceLength) {
    trace_.pop_front();
  }
  processes_.at(packet.to).receiver(packet);
}

std::vector<std::string> Network::trace() const
{
  std::vector<std::string> lines;
  for (const auto& [time, packet] : trace_) {
    lines.push_back(fmt::format(
      "{} {} -> {} {}", time.micros, packet.from.value, packet.to.value, describe(packet)));
  }
  return lines;
}

std::string describe(const Packet& packet)
{
  if (packet.channel == wire::Channel::replication) {
    const auto message = wire::decode<replication::Message>(packet.bytes);
    return message ? replication::describe(*message) : message.error().detail;
  }
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (packet.channel == wire::Channel::ledger && message) {
    const auto* propose = std::get_if<ledger::Propose>(&*message);
    const auto command = propose == nullptr
                           ? Expected<ledger::Command>(fail(ErrorKind::notFound, ""))
                           : wire::decode<ledger::Command>(propose->command);
    return command
             ? fmt::format("Propose {} {}", propose->proposalId, describeCommand(*command))
             : fmt::format("{} bytes={}", kMessageNames.at(message->index()), packet.bytes.size());
  }
  return fmt::format("channel={} bytes={}", static_cast<int>(packet.channel), packet.bytes.size());
}

} // namespace figchute::simulation
