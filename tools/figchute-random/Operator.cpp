#include "Operator.h"

namespace figchute::simulation {

using replication::MembershipChangeKind;

Operator::Operator(Processes& processes, const LogTally& tally)
  : processes_(processes)
  , tally_(tally)
{
}

void Operator::repair(const ProcessId& process)
{
  remove(process);
  add(process);
}

void Operator::add(const ProcessId& process)
{
  steps_.push_back({ MembershipChangeKind::addLearner, { process, "" } });
  steps_.push_back({ MembershipChangeKind::promote, { process, "" } });
}

void Operator::remove(const ProcessId& process)
{
  steps_.push_back({ MembershipChangeKind::remove, { process, "" } });
}

bool Operator::isDone(const replication::MembershipChange& step) const
{
  const auto* member = tally_.members().find(step.member.process);
  switch (step.kind) {
    case MembershipChangeKind::addLearner:
      return member != nullptr;
    case MembershipChangeKind::promote:
      return member != nullptr && member->voter;
    case MembershipChangeKind::remove:
      break;
  }
  return member == nullptr;
}

void Operator::tick()
{
  while (!steps_.empty() && isDone(steps_.front())) {
    steps_.pop_front();
    ++completedCount_;
  }
  if (steps_.empty()) {
    return;
  }
  for (auto& process : processes_) {
    if (process->isLeader() && process->proposeMembershipChange(steps_.front())) {
      return;
    }
  }
}

} // namespace figchute::simulation
