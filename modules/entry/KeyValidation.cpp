#include "entry/KeyValidation.h"

#include "ledger/ledger.h"

#include <charconv>
#include <string>

namespace figchute::entry {
namespace {

/** Unix time in seconds has ten digits from 2001 to 2286. */
constexpr std::size_t kTimeDigits = 10;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::optional<Time> timestampOf(std::string_view key)
{
  if (key.size() <= kTimeDigits || key[kTimeDigits] != '-') {
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto* end = key.data() + kTimeDigits;
  const auto result = std::from_chars(key.data(), end, seconds);
  if (result.ec != std::errc() || result.ptr != end || seconds < 0) {
    return std::nullopt;
  }
  return Time{ seconds * kMicrosPerSecond };
}

Expected<void> checkTime(Time now, Time keyTime)
{
  if (now - keyTime > ledger::kKeyRetention) {
    return fail(ErrorKind::keyExpired, "the time of Idempotency-Key is more than 24 h ago");
  }
  if (keyTime - now > ledger::kKeyFutureLimit) {
    return fail(ErrorKind::badRequest, "the time of Idempotency-Key is more than 5 min ahead");
  }
  return {};
}

} // namespace

Expected<void> checkRequiredKey(Time now, std::string_view key)
{
  const auto keyTime = timestampOf(key);
  if (!keyTime) {
    return fail(ErrorKind::keyRequired,
                "this call needs an Idempotency-Key of the form <unix seconds>-<anything>");
  }
  return checkTime(now, *keyTime);
}

Expected<void> checkOptionalKey(Time now, std::string_view key)
{
  const auto keyTime = timestampOf(key);
  return keyTime ? checkTime(now, *keyTime) : Expected<void>();
}

std::optional<Rank> parseRank(std::string_view text)
{
  for (const auto rank : { Rank::urgent, Rank::prompt, Rank::batch }) {
    if (toString(rank) == text) {
      return rank;
    }
  }
  return std::nullopt;
}

} // namespace figchute::entry
