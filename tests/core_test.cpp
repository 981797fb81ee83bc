#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/core.h"
#include "wire/wire.h"

#include <doctest/doctest.h>

#include <set>

using namespace figchute;

// Guards against rows of the error table in a different order than the error kinds, and against two
// kinds with the same name.
TEST_CASE("ErrorTable_everyKind_hasItsOwnRowAndName")
{
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    CHECK(errorTraits(kind).kind == kind);
    names.insert(errorTraits(kind).name);
  }
  CHECK(names.size() == kErrorKindCount);
  CHECK(findErrorTraits("no_such_kind") == nullptr);
}

// Guards against quantiles that differ from the recorded latencies by more than the stated error.
TEST_CASE("Metrics_recordedLatencies_giveQuantilesWithinFivePercent")
{
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.record("wait", Duration(i * 100));
  }
  const auto summary = metrics.latencies().at("wait");
  CHECK(summary.count == 1000);
  CHECK(static_cast<double>(summary.median.count()) == doctest::Approx(50000).epsilon(0.05));
  CHECK(static_cast<double>(summary.p95.count()) == doctest::Approx(95000).epsilon(0.05));
}

// Guards against accepting envelopes that were sealed with another key, changed in transit or
// truncated.
TEST_CASE("Envelope_changedOrSealedWithAnotherKey_isRefused")
{
  const wire::Envelope envelope{ wire::kEnvelopeVersion, ProcessId("a"), Incarnation{ 3 }, 9,
                                 wire::Channel::ledger,  "body" };
  auto bytes = wire::seal(envelope, "key");
  const auto opened = wire::open(bytes, "key");
  REQUIRE(opened);
  CHECK(opened->sender == ProcessId("a"));
  CHECK(opened->body == "body");
  CHECK(wire::open(bytes, "other").error().kind == ErrorKind::unauthenticated);
  bytes.back() ^= 1;
  CHECK(wire::open(bytes, "key").error().kind == ErrorKind::unauthenticated);
  CHECK(wire::open("short", "key").error().kind == ErrorKind::codecError);
}

// Guards against decoding a variant index sent by a newer process that has more alternatives.
TEST_CASE("Codec_unknownVariantIndex_isCodecError")
{
  using OldVariant = std::variant<int, std::string>;
  using NewVariant = std::variant<int, std::string, double>;
  const auto bytes = wire::encode(NewVariant(2.5));
  CHECK(wire::decode<OldVariant>(bytes).error().kind == ErrorKind::codecError);
  CHECK(std::get<std::string>(*wire::decode<OldVariant>(wire::encode(OldVariant("x")))) == "x");
}
