#include "control/LogWork.h"

#include <type_traits>

namespace figchute::control {
namespace {

template<typename Command>
constexpr CommandKind kKindOf = CommandKind::other;
template<>
constexpr CommandKind kKindOf<ledger::Grant> = CommandKind::grant;
template<>
constexpr CommandKind kKindOf<ledger::Settle> = CommandKind::settle;
template<>
constexpr CommandKind kKindOf<ledger::RegisterHolder> = CommandKind::registration;
template<>
constexpr CommandKind kKindOf<ledger::Retire> = CommandKind::retirement;
template<>
constexpr CommandKind kKindOf<ledger::PutConfiguration> = CommandKind::configuration;
template<>
constexpr CommandKind kKindOf<ledger::PutEndpoint> = CommandKind::endpoint;
template<>
constexpr CommandKind kKindOf<ledger::RemoveEndpoint> = CommandKind::endpoint;
template<>
constexpr CommandKind kKindOf<ledger::ExpireEndpoint> = CommandKind::endpoint;
template<>
constexpr CommandKind kKindOf<ledger::ReadBarrier> = CommandKind::barrier;

std::size_t itemsOf(const ledger::Command& command)
{
  if (const auto* grant = std::get_if<ledger::Grant>(&command)) {
    return grant->items.size();
  }
  if (const auto* settle = std::get_if<ledger::Settle>(&command)) {
    return settle->totals.size();
  }
  return 0;
}

} // namespace

CommandKind kindOf(const ledger::Command& command)
{
  return std::visit([](const auto& typed) { return kKindOf<std::remove_cvref_t<decltype(typed)>>; },
                    command);
}

std::string_view toString(CommandKind kind)
{
  switch (kind) {
    case CommandKind::grant:
      return "grant";
    case CommandKind::settle:
      return "settle";
    case CommandKind::registration:
      return "registration";
    case CommandKind::retirement:
      return "retirement";
    case CommandKind::configuration:
      return "configuration";
    case CommandKind::endpoint:
      return "endpoint";
    case CommandKind::barrier:
      return "barrier";
    case CommandKind::other:
      break;
  }
  return "other";
}

void LogWork::addCommand(const ledger::Command& command,
                         const ledger::Result& result,
                         std::size_t bytes,
                         Duration time)
{
  auto& work = applied.at(static_cast<std::size_t>(kindOf(command)));
  ++work.commands;
  work.items += itemsOf(command);
  work.bytes += bytes;
  work.time += time;
  const auto* grant = std::get_if<ledger::Grant>(&command);
  const auto* granted = std::get_if<ledger::GrantResult>(&result);
  if (grant == nullptr || granted == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < grant->items.size() && i < granted->items.size(); ++i) {
    const bool isWaiting = grant->items[i].minimum > Tokens{ 0 };
    waitingItems += isWaiting ? 1 : 0;
    lowItems += isWaiting && granted->items[i].budgetLow ? 1 : 0;
  }
}

LogWork& LogWork::operator+=(const LogWork& other)
{
  for (std::size_t i = 0; i < kCommandKinds; ++i) {
    applied.at(i).commands += other.applied.at(i).commands;
    applied.at(i).items += other.applied.at(i).items;
    applied.at(i).bytes += other.applied.at(i).bytes;
    applied.at(i).time += other.applied.at(i).time;
  }
  waitingItems += other.waitingItems;
  lowItems += other.lowItems;
  saves += other.saves;
  saveTime += other.saveTime;
  snapshots += other.snapshots;
  snapshotBytes += other.snapshotBytes;
  snapshotTime += other.snapshotTime;
  return *this;
}

} // namespace figchute::control
