#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/ByteDelta.h"

#include "core/Random.h"

#include <doctest/doctest.h>
#include <limits>

using namespace figchute;
using namespace figchute::fleet;

namespace {

constexpr std::size_t kMaxBytes = 1024 * 1024;

std::string randomText(Random& random, std::size_t size, std::uint64_t letters)
{
  std::string text;
  while (text.size() < size) {
    text.push_back(static_cast<char>('a' + random.below(letters)));
  }
  return text;
}

/** Inserts, removes or moves a range of the text. */
std::string randomEdit(Random& random, std::string text)
{
  const auto offset = random.below(text.size() + 1);
  const auto length = random.below(std::min<std::uint64_t>(text.size() - offset, 300) + 1);
  const auto range = text.substr(offset, length);
  const auto kind = random.below(3);
  if (kind == 0) {
    return text.insert(offset, randomText(random, random.below(200), 26));
  }
  text.erase(offset, length);
  return kind == 1 ? text : text.insert(random.below(text.size() + 1), range);
}

} // namespace

// Guards against a delta whose result differs from the new bytes, for any kind of change.
TEST_CASE("ByteDelta_randomEdits_restoresTheNewBytes")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const auto letters = 1 + random.below(26);
    const auto oldBytes = randomText(random, random.below(4000), letters);
    auto newBytes = oldBytes;
    for (auto edits = random.below(6); edits > 0; --edits) {
      newBytes = randomEdit(random, newBytes);
    }
    REQUIRE(applyDelta(oldBytes, makeDelta(oldBytes, newBytes), kMaxBytes) == newBytes);
    REQUIRE(applyDelta(newBytes, makeDelta(newBytes, oldBytes), kMaxBytes) == oldBytes);
  }
}

// Guards against deltas that contain ranges that both texts have, in another place or order.
TEST_CASE("ByteDelta_rangesAreInsertedAndMoved_containsOnlyNewBytes")
{
  Random random(1);
  const auto first = randomText(random, 50'000, 26);
  const auto second = randomText(random, 50'000, 26);
  const auto inserted = randomText(random, 100, 26);
  const auto delta = makeDelta(first + second, inserted + second + inserted + first);
  CHECK(delta.encodedBytes() < 500);
  CHECK(makeDelta(first, first).encodedBytes() < 100);
}

// Guards against reading beyond the old bytes and against unbounded memory for a delta from another
// process.
TEST_CASE("ByteDelta_malformed_isRejected")
{
  const std::string oldBytes = "0123456789";
  auto delta = makeDelta(oldBytes, "0123x56789");
  CHECK(applyDelta(oldBytes, delta, 10).has_value());
  CHECK_FALSE(applyDelta(oldBytes, delta, 9).has_value());
  CHECK_FALSE(applyDelta("other bytes", delta, kMaxBytes).has_value());
  for (const auto offset : { std::uint64_t{ 11 }, std::numeric_limits<std::uint64_t>::max() }) {
    auto outside = delta;
    outside.parts.push_back({ offset, 1, {} });
    CHECK_FALSE(applyDelta(oldBytes, outside, kMaxBytes).has_value());
  }
  delta.parts.push_back({ 0, std::numeric_limits<std::uint64_t>::max(), {} });
  CHECK_FALSE(applyDelta(oldBytes, delta, kMaxBytes).has_value());
}
