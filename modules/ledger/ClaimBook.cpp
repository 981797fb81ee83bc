#include "ledger/ClaimBook.h"

#include <charconv>
#include <fmt/format.h>

namespace figchute::ledger::detail {
namespace {

/** Twelve digits reach the year 33658; more would overflow a count of microseconds. */
constexpr std::size_t kMaxSecondsDigits = 12;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/** A caller that retries while control is out of reach leaves one abandoned request per attempt. */
constexpr std::size_t kMaxAbandoned = 256;

std::optional<Time> keyTimeOf(std::string_view key)
{
  const auto dash = key.find('-');
  if (dash == std::string_view::npos || dash == 0 || dash > kMaxSecondsDigits) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto* end = key.data() + dash;
  const auto [stop, error] = std::from_chars(key.data(), end, seconds);
  if (error != std::errc{} || stop != end || seconds < 0) {
    return std::nullopt;
  }
  return Time{ seconds * kMicrosPerSecond };
}

ClaimResult refuse(ErrorKind kind, std::string detail)
{
  ClaimResult result;
  result.verdict = Verdict{ kind, std::move(detail) };
  return result;
}

} // namespace

Expected<Time> checkKeyTime(Time now, std::string_view key)
{
  const auto time = keyTimeOf(key);
  if (!time) {
    return fail(ErrorKind::keyRequired,
                fmt::format("key \"{}\" does not begin with <unix seconds>-", key));
  }
  if (*time + kKeyRetention < now) {
    return fail(ErrorKind::keyExpired, fmt::format("key \"{}\" is older than 24 h", key));
  }
  if (*time > now + kKeyFutureLimit) {
    return fail(ErrorKind::badRequest,
                fmt::format("key \"{}\" is more than 5 min in the future", key));
  }
  return *time;
}

ClaimEntry& ClaimBook::insert(const KeyName& name, Time keyTime)
{
  ages_.emplace(keyTime, name);
  return claims_[name];
}

ClaimResult ClaimBook::claim(std::uint64_t index,
                             Time time,
                             const Claim& command,
                             const Verdict& holderVerdict)
{
  const auto keyTime = checkKeyTime(time, command.key);
  if (!keyTime) {
    return refuse(keyTime.error().kind, keyTime.error().detail);
  }
  const KeyName name{ command.caller, command.key };
  const auto found = claims_.find(name);
  const bool open = found == claims_.end() || found->second.state == ClaimState::open;
  if (open && !holderVerdict.ok()) {
    return refuse(*holderVerdict.error, holderVerdict.detail);
  }
  return decide(index, command, found == claims_.end() ? insert(name, *keyTime) : found->second);
}

ClaimResult ClaimBook::decide(std::uint64_t index, const Claim& command, ClaimEntry& entry)
{
  if (entry.abandoned.contains(command.request)) {
    return refuse(ErrorKind::noQuorum, "the claim was abandoned before it was committed");
  }
  if (entry.state == ClaimState::open) {
    entry.state = ClaimState::inProgress;
    entry.holder = command.holder;
    entry.request = command.request;
    entry.content = command.content;
    entry.fencing = index;
  }
  if (entry.content != command.content) {
    return refuse(ErrorKind::keyConflict,
                  fmt::format("key \"{}\" was used with another content", command.key));
  }
  const bool own = entry.request == command.request && entry.holder == command.holder;
  if (entry.state == ClaimState::inProgress && !own) {
    return refuse(ErrorKind::inProgress, fmt::format("key \"{}\" is in progress", command.key));
  }
  if (entry.state == ClaimState::unknown) {
    return refuse(ErrorKind::outcomeUnknown,
                  fmt::format("the outcome of key \"{}\" is unknown", command.key));
  }
  ClaimResult result;
  result.fencing = entry.fencing;
  result.replay = entry.state == ClaimState::done;
  if (result.replay) {
    result.status = entry.status;
    result.body = entry.body;
  }
  return result;
}

OutcomeResult ClaimBook::outcome(Time time, const Outcome& command)
{
  const auto keyTime = checkKeyTime(time, command.key);
  if (!keyTime) {
    return { Verdict{ keyTime.error().kind, keyTime.error().detail } };
  }
  const KeyName name{ command.caller, command.key };
  const auto found = claims_.find(name);
  const bool owner = found != claims_.end() && found->second.request == command.request &&
                     found->second.state != ClaimState::open;
  if (command.kind == OutcomeKind::notRun) {
    auto& entry = found == claims_.end() ? insert(name, *keyTime) : found->second;
    if (entry.abandoned.size() < kMaxAbandoned) {
      entry.abandoned.insert(command.request);
    }
    if (owner && entry.state != ClaimState::done) {
      entry.state = ClaimState::open;
    }
    return {};
  }
  if (!owner) {
    return { Verdict{ ErrorKind::notFound,
                      fmt::format("request {} does not hold the claim of key \"{}\"",
                                  command.request.value,
                                  command.key) } };
  }
  auto& entry = found->second;
  if (command.kind == OutcomeKind::unknown && entry.state == ClaimState::inProgress) {
    entry.state = ClaimState::unknown;
  }
  if (command.kind == OutcomeKind::done && entry.state != ClaimState::done) {
    entry.state = ClaimState::done;
    entry.status = command.status;
    entry.body = command.body.substr(0, kMaxOutcomeBody);
  }
  return {};
}

void ClaimBook::abandonHolder(const HolderId& holder)
{
  for (auto& [name, entry] : claims_) {
    if (entry.state == ClaimState::inProgress && entry.holder == holder) {
      entry.state = ClaimState::unknown;
    }
  }
}

void ClaimBook::expire(Time time)
{
  while (!ages_.empty() && ages_.begin()->first + kKeyRetention < time) {
    claims_.erase(ages_.begin()->second);
    ages_.erase(ages_.begin());
  }
}

void ClaimBook::rebuildIndex()
{
  ages_.clear();
  for (const auto& [name, entry] : claims_) {
    ages_.emplace(keyTimeOf(name.second).value_or(Time{}), name);
  }
}

} // namespace figchute::ledger::detail
