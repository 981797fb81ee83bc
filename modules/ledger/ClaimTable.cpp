#include "ledger/ClaimTable.h"

#include <charconv>
#include <fmt/format.h>

namespace figchute::ledger::detail {
namespace {

/** Twelve digits of seconds reach the year 33658. More digits could overflow a 64-bit count of
    microseconds. */
constexpr std::size_t kMaxSecondsDigits = 12;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/** The maximum number of abandoned requests kept per key. A caller that retries while control is
    unreachable adds one per attempt. */
constexpr std::size_t kMaxAbandoned = 256;

std::optional<Time> parseKeyTime(std::string_view key)
{
  const auto dashPosition = key.find('-');
  if (dashPosition == std::string_view::npos || dashPosition == 0 ||
      dashPosition > kMaxSecondsDigits) {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto* secondsEnd = key.data() + dashPosition;
  const auto [parsedEnd, error] = std::from_chars(key.data(), secondsEnd, seconds);
  if (error != std::errc{} || parsedEnd != secondsEnd || seconds < 0) {
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
  const auto time = parseKeyTime(key);
  if (!time) {
    return fail(ErrorKind::keyRequired,
                fmt::format("key \"{}\" does not start with \"<unix seconds>-\"", key));
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

ClaimEntry& ClaimTable::insert(const CallerKey& callerKey, Time keyTime)
{
  keysByTime_.emplace(keyTime, callerKey);
  return claims_[callerKey];
}

ClaimResult ClaimTable::claim(std::uint64_t index,
                              Time time,
                              const Claim& command,
                              const Verdict& holderVerdict)
{
  const auto keyTime = checkKeyTime(time, command.key);
  if (!keyTime) {
    return refuse(keyTime.error().kind, keyTime.error().detail);
  }
  const CallerKey callerKey{ command.caller, command.key };
  const auto claimEntry = claims_.find(callerKey);
  const bool claimable =
    claimEntry == claims_.end() || claimEntry->second.state == ClaimState::open;
  if (claimable && !holderVerdict.ok()) {
    return refuse(*holderVerdict.error, holderVerdict.detail);
  }
  return applyClaim(
    index, command, claimEntry == claims_.end() ? insert(callerKey, *keyTime) : claimEntry->second);
}

ClaimResult ClaimTable::applyClaim(std::uint64_t index, const Claim& command, ClaimEntry& entry)
{
  if (entry.abandoned.contains(command.request)) {
    return refuse(ErrorKind::noQuorum, "the claim was abandoned before it was committed");
  }
  if (entry.state == ClaimState::open) {
    entry.state = ClaimState::inProgress;
    entry.holder = command.holder;
    entry.request = command.request;
    entry.content = command.content;
    entry.fencingToken = index;
  }
  if (entry.content != command.content) {
    return refuse(ErrorKind::keyConflict,
                  fmt::format("key \"{}\" was used with another content", command.key));
  }
  const bool sameRequest = entry.request == command.request && entry.holder == command.holder;
  if (entry.state == ClaimState::inProgress && !sameRequest) {
    return refuse(ErrorKind::inProgress, fmt::format("key \"{}\" is in progress", command.key));
  }
  if (entry.state == ClaimState::unknown) {
    return refuse(ErrorKind::outcomeUnknown,
                  fmt::format("the outcome of key \"{}\" is unknown", command.key));
  }
  ClaimResult result;
  result.fencingToken = entry.fencingToken;
  result.replay = entry.state == ClaimState::done;
  if (result.replay) {
    result.status = entry.status;
    result.body = entry.body;
  }
  return result;
}

OutcomeResult ClaimTable::recordOutcome(Time time, const Outcome& command)
{
  const auto keyTime = checkKeyTime(time, command.key);
  if (!keyTime) {
    return { Verdict{ keyTime.error().kind, keyTime.error().detail } };
  }
  const CallerKey callerKey{ command.caller, command.key };
  const auto claimEntry = claims_.find(callerKey);
  const bool ownsClaim = claimEntry != claims_.end() &&
                         claimEntry->second.request == command.request &&
                         claimEntry->second.state != ClaimState::open;
  if (command.kind == OutcomeKind::notRun) {
    auto& entry = claimEntry == claims_.end() ? insert(callerKey, *keyTime) : claimEntry->second;
    if (entry.abandoned.size() < kMaxAbandoned) {
      entry.abandoned.insert(command.request);
    }
    if (ownsClaim && entry.state != ClaimState::done) {
      entry.state = ClaimState::open;
    }
    return {};
  }
  if (!ownsClaim) {
    return { Verdict{ ErrorKind::notFound,
                      fmt::format("request {} does not hold the claim of key \"{}\"",
                                  command.request.value,
                                  command.key) } };
  }
  auto& entry = claimEntry->second;
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

void ClaimTable::markHolderClaimsUnknown(const HolderId& holder)
{
  for (auto& [callerKey, entry] : claims_) {
    if (entry.state == ClaimState::inProgress && entry.holder == holder) {
      entry.state = ClaimState::unknown;
    }
  }
}

void ClaimTable::expire(Time time)
{
  while (!keysByTime_.empty() && keysByTime_.begin()->first + kKeyRetention < time) {
    claims_.erase(keysByTime_.begin()->second);
    keysByTime_.erase(keysByTime_.begin());
  }
}

void ClaimTable::rebuildIndex()
{
  keysByTime_.clear();
  for (const auto& [callerKey, entry] : claims_) {
    keysByTime_.emplace(parseKeyTime(callerKey.second).value_or(Time{}), callerKey);
  }
}

} // namespace figchute::ledger::detail
