#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "control/CommandPacer.h"
#include "ledger/Message.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace figchute;
using namespace figchute::control;
using namespace std::chrono_literals;

namespace {

/** A leader whose holders send as many commands as the pacer allows, and always want to. */
struct PacedHolders
{
  static constexpr Duration kTimePerCommand = 200us;
  static constexpr Duration kStep = 10ms;

  explicit PacedHolders(int holders)
    : holders_(holders)
  {
  }

  /** Lets each holder send what it may for some time. Returns the share of that time that the
      commands took. */
  double run(Duration elapsed)
  {
    Duration busy{ 0 };
    for (const auto end = now + elapsed; now < end; now = now + kStep) {
      const auto interval = std::max(pacer.grantInterval(now, Duration{ 0 }), Duration{ kStep });
      // Each command stands for one grant request and its part of a settlement.
      due_ += holders_ * 1.125 * (static_cast<double>(kStep.count()) / interval.count());
      for (; due_ >= 1; due_ -= 1) {
        pacer.addHolder(now, ProcessId(fmt::format("{}", nextHolder_++ % holders_)));
        pacer.addCommand(now);
        pacer.addTime(now, kTimePerCommand);
        busy += kTimePerCommand;
      }
    }
    return static_cast<double>(busy.count()) / static_cast<double>(elapsed.count());
  }

  CommandPacer pacer;
  Time now{ 1'000'000'000 };

private:
  int holders_;
  int nextHolder_ = 0;
  double due_ = 0;
};

} // namespace

TEST_CASE("CommandPacer_nothingHappened_doesNotLimitHolders")
{
  CommandPacer pacer;
  CHECK(pacer.grantInterval(Time{ 1'000'000 }, 1s) == Duration{ 0 });
  CHECK(pacer.takeRecall(Time{ 1'000'000 }, 1s));
}

TEST_CASE("CommandPacer_commandsTakeLittleTime_doesNotLimitHolders")
{
  PacedHolders holders(10);
  // Ten holders with one command each 10 ms take a fifth of the time.
  CHECK(holders.run(2s) < CommandPacer::kUnlimitedShare + 0.05);
  CHECK(holders.pacer.grantInterval(holders.now, Duration{ 0 }) < 5ms);
}

// Guards against work of the leader that grows with the number of holders.
TEST_CASE("CommandPacer_anyNumberOfHolders_keepsTheShareOfTheirCommands")
{
  for (const int count : { 30, 100, 300, 1000 }) {
    PacedHolders holders(count);
    holders.run(3s);
    CAPTURE(count);
    CHECK(holders.run(3s) <= CommandPacer::kMaxShare * 1.1);
  }
}

TEST_CASE("CommandPacer_proposalsWaitInTheQueue_limitsHoldersBeforeTheShareIsKnown")
{
  CommandPacer pacer;
  Time now{ 1'000'000'000 };
  for (int holder = 0; holder < 100; ++holder) {
    pacer.addHolder(now, ProcessId(fmt::format("{}", holder)));
    pacer.addCommand(now);
    pacer.addTime(now, 200us);
  }
  now = now + 100ms;
  CHECK(pacer.grantInterval(now, Duration{ 0 }) == Duration{ 0 });
  const auto half = pacer.grantInterval(now, CommandPacer::kMaxQueueTime / 2);
  const auto full = pacer.grantInterval(now, CommandPacer::kMaxQueueTime);
  // 100 holders with 1.125 commands of 200 us in each interval take 0.4 of the time.
  CHECK(full == Duration{ 56'250 });
  CHECK(half == full / 2);
  CHECK(pacer.grantInterval(now, 10 * CommandPacer::kMaxQueueTime) == full);
}

// Guards against holders that stop for minutes after the process of the leader was suspended.
TEST_CASE("CommandPacer_processWasSuspendedInATurn_intervalIsBounded")
{
  PacedHolders holders(300);
  holders.run(1s);
  holders.now = holders.now + 7s;
  holders.pacer.addTime(holders.now, 7s);
  holders.pacer.addCommand(holders.now);
  holders.pacer.addHolder(holders.now, ProcessId("0"));
  holders.now = holders.now + 100ms;
  CHECK(holders.pacer.grantInterval(holders.now, 7s) == ledger::kMaxGrantInterval);
}

TEST_CASE("CommandPacer_holdersAreSilent_liftsTheLimit")
{
  PacedHolders holders(1000);
  holders.run(3s);
  CHECK(holders.pacer.grantInterval(holders.now, Duration{ 0 }) > 100ms);
  CHECK(holders.pacer.grantInterval(holders.now + 600ms, Duration{ 0 }) == Duration{ 0 });
}

TEST_CASE("CommandPacer_proposalsWaitInTheQueue_allowsFewRecalls")
{
  PacedHolders holders(100);
  holders.run(1s);
  int recalls = 0;
  const auto end = holders.now + 1s;
  for (; holders.now < end; holders.now = holders.now + 1ms) {
    holders.pacer.addCommand(holders.now);
    holders.pacer.addTime(holders.now, PacedHolders::kTimePerCommand);
    recalls += holders.pacer.takeRecall(holders.now, CommandPacer::kMaxQueueTime) ? 1 : 0;
  }
  // A tenth of a second, at 200 us for the settlement of each recalled holder, and what one bucket
  // of 100 ms may be ahead.
  CHECK(recalls <= 500 + 50 + 1);
  CHECK(recalls >= 450);
}
