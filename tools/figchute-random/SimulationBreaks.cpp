#include "Simulation.h"

namespace figchute::simulation {
namespace {

/** Changes every refused vote to a granted one. */
void grantEveryVote(Packet& packet)
{
  auto message = wire::decode<replication::Message>(packet.bytes);
  if (packet.channel != wire::Channel::replication || !message) {
    return;
  }
  if (auto* reply = std::get_if<replication::VoteReply>(&*message)) {
    reply->granted = true;
    packet.bytes = wire::encode(*message);
  }
}

/** Increases the returned amount in every report from a quota manager to control. */
void raiseReturned(Packet& packet)
{
  auto message = wire::decode<ledger::Message>(packet.bytes);
  if (packet.channel != wire::Channel::ledger || !message) {
    return;
  }
  auto* propose = std::get_if<ledger::Propose>(&*message);
  auto command = propose == nullptr ? Expected<ledger::Command>(fail(ErrorKind::codecError, ""))
                                    : wire::decode<ledger::Command>(propose->command);
  auto* settle = command ? std::get_if<ledger::Settle>(&*command) : nullptr;
  if (settle != nullptr) {
    for (auto& totals : settle->totals) {
      totals.returned += Tokens{ 1 };
    }
    propose->command = wire::encode(*command);
    packet.bytes = wire::encode(*message);
  }
}

} // namespace

std::vector<std::string> breakNames()
{
  return { "committed_entry", "acknowledged_entry", "one_leader",  "sync", "overspend", "one_bill",
           "one_run",         "revision",           "conservation" };
}

void Simulation::breakInvariant()
{
  ControlFaults controlFaults;
  controlFaults.alterCommittedEntry = options_.breakName == "committed_entry";
  controlFaults.acknowledgeUncommittedEntry = options_.breakName == "acknowledged_entry";
  if (options_.breakName == "one_leader") {
    network_.setPacketModifier(grantEveryVote);
  }
  EntryFaults entryFaults;
  entryFaults.answerRefused = options_.breakName == "overspend";
  entryFaults.billPerAttempt = options_.breakName == "one_bill";
  entryFaults.runAlreadyClaimed = options_.breakName == "one_run";
  entryFaults.applyOldRevision = options_.breakName == "revision";
  for (auto& entry : entries_) {
    entry->setFaults(entryFaults);
  }
  if (options_.breakName == "conservation") {
    network_.setPacketModifier(raiseReturned);
  }
  for (auto& process : controls_) {
    process->setFaults(controlFaults);
    process->disk().setIgnoreSync(options_.breakName == "sync");
  }
}

} // namespace figchute::simulation
