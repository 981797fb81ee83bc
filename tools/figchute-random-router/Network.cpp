#include "Network.h"

#include "control/control.h"
#include "fleet/fleet.h"
#include "ledger/ledger.h"
#include "replication/replication.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr Duration kIntraZoneDelay{ 200 };
constexpr std::int64_t kMaxLongDelayMicros = 1'000'000;

std::string describeLedger(const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (!message) {
    return message.error().detail;
  }
  if (const auto* propose = std::get_if<ledger::Propose>(&*message)) {
    const auto command = wire::decode<ledger::Command>(propose->command);
    return fmt::format(
      "Propose id={} command={}", propose->proposalId, command ? command->index() : 999);
  }
  if (const auto* reply = std::get_if<ledger::ProposeReply>(&*message)) {
    return fmt::format("ProposeReply id={} accepted={}", reply->proposalId, reply->accepted);
  }
  return fmt::format("ledger message={} bytes={}", message->index(), packet.bytes.size());
}

std::string describeFleet(const Packet& packet)
{
  const auto message = wire::decode<fleet::Message>(packet.bytes);
  if (!message) {
    return message.error().detail;
  }
  if (const auto* subscribe = std::get_if<fleet::Subscribe>(&*message)) {
    return fmt::format("Subscribe version={} revision={}",
                       subscribe->configurationVersion,
                       subscribe->endpointRevision);
  }
  if (const auto* update = std::get_if<fleet::FleetUpdate>(&*message)) {
    return fmt::format("FleetUpdate version={} revision={} since={} contact={}",
                       update->configurationVersion,
                       update->endpointRevision,
                       update->sinceRevision,
                       update->leaderContact);
  }
  return fmt::format("fleet message={} bytes={}", message->index(), packet.bytes.size());
}

std::string describe(const Packet& packet)
{
  if (packet.channel == wire::Channel::replication) {
    const auto message = wire::decode<replication::Message>(packet.bytes);
    return message ? replication::describe(*message) : message.error().detail;
  }
  if (packet.channel == wire::Channel::ledger) {
    return describeLedger(packet);
  }
  if (packet.channel == wire::Channel::fleet) {
    return describeFleet(packet);
  }
  return fmt::format("channel={} bytes={}", static_cast<int>(packet.channel), packet.bytes.size());
}

} // namespace

void Schedule::callAt(Time time, std::function<void()> action)
{
  actions_.emplace(std::pair(std::max(time, now_), ++sequence_), std::move(action));
}

void Schedule::step()
{
  auto nextAction = actions_.extract(actions_.begin());
  now_ = nextAction.key().first;
  ++stepCount_;
  nextAction.mapped()();
}

void Network::setReceiver(const ProcessId& process, Receiver receiver)
{
  receivers_[process] = std::move(receiver);
}

bool Network::isBlocked(const ProcessId& from, const ProcessId& to) const
{
  for (const auto& [id, isLinkBlocked] : partitions_) {
    if (isLinkBlocked(from, to)) {
      return true;
    }
  }
  return false;
}

void Network::addPartition(Duration duration, LinkPredicate isLinkBlocked)
{
  const auto id = ++lastPartitionId_;
  partitions_.emplace(id, std::move(isLinkBlocked));
  schedule_.callAfter(duration, [this, id] { partitions_.erase(id); });
}

Duration Network::randomDelay(const ProcessId& from, const ProcessId& to)
{
  const Duration base = zoneOf(from) == zoneOf(to) ? kIntraZoneDelay : interZoneDelay_;
  Duration delay = base + Duration(random_.between(0, base.count()));
  if (random_.chance(faults_.longDelay)) {
    delay += Duration(random_.between(0, kMaxLongDelayMicros));
  }
  return delay;
}

void Network::send(const Packet& packet)
{
  if (receivers_.count(packet.to) == 0 || random_.chance(faults_.loss)) {
    return;
  }
  if (random_.chance(faults_.duplication)) {
    deliverAfterDelay(packet);
  }
  deliverAfterDelay(packet);
}

void Network::call(const ProcessId& from, const ProcessId& to, std::function<void()> action)
{
  schedule_.callAfter(randomDelay(from, to), [this, from, to, action = std::move(action)] {
    if (!isBlocked(from, to)) {
      action();
    }
  });
}

void Network::deliverAfterDelay(const Packet& packet)
{
  schedule_.callAfter(randomDelay(packet.from, packet.to), [this, packet] { deliver(packet); });
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
  addToTrace({ schedule_.now(), packet, {} });
  receivers_.at(packet.to)(packet);
}

void Network::traceCall(const ProcessId& from, const ProcessId& to, std::string text)
{
  addToTrace({ schedule_.now(), { from, {}, to, {}, {} }, std::move(text) });
}

void Network::addToTrace(TraceEntry entry)
{
  trace_.push_back(std::move(entry));
  if (trace_.size() > traceLength_) {
    trace_.pop_front();
  }
}

std::vector<std::string> Network::trace() const
{
  std::vector<std::string> lines;
  for (const auto& entry : trace_) {
    lines.push_back(fmt::format("{} {} -> {} {}",
                                entry.time.micros,
                                entry.packet.from.value,
                                entry.packet.to.value,
                                entry.text.empty() ? describe(entry.packet) : entry.text));
  }
  return lines;
}

} // namespace figchute::simulation
