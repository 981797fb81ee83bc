#pragma once

#include "LoadedFleet.h"
#include "NodeLeader.h"

#include <cstdlib>
#include <iostream>

namespace figchute::ledger::test {

inline constexpr Duration kSecond{ 1'000'000 };
/** The other half of the processor time of control remains for elections, configurations and
    updates. */
inline constexpr Duration kLedgerTimePerSecond = kSecond / 2;
/** The time after a partition or a restart of all processes in which control may be busier. */
inline constexpr int kRecoverySeconds = 2;

/** Runs the phases of a day and checks each second that control has time for its other work. */
class LoadedDay
{
public:
  explicit LoadedDay(int entries)
    : fleet(1, entries)
    , entries_(entries)
  {
  }

  void run(const std::string& phase, int seconds, bool withRequests = true)
  {
    for (int second = 0; second < seconds; ++second) {
      const auto tally = fleet.run(kSecond, withRequests);
      const auto text = fmt::format("{} entry processes, {} +{}: {}; pairs {}",
                                    entries_,
                                    phase,
                                    second,
                                    tally.text(),
                                    fleet.transferPairs());
      if (std::getenv("CONTROL_LOAD_TRACE") != nullptr) {
        std::cout << text << '\n';
      }
      INFO(text);
      checkOtherWork(tally);
      if (second >= kRecoverySeconds && phase != "cut off") {
        checkCalm(tally);
      }
    }
  }

  LoadedFleet<NodeLeader> fleet;

private:
  /** Operators get answers, and no turn of the event loop is so long that heartbeats are late. */
  static void checkOtherWork(const Tally& tally)
  {
    CHECK(tally.failedReads == 0);
    CHECK(tally.longestRead <= NodeLeader::kReadTimeout);
    CHECK(tally.longestTurn <= control::ControlTimings{}.heartbeatInterval);
  }

  /** Control has no more work than it can do, and no holder considers it unreachable. */
  static void checkCalm(const Tally& tally)
  {
    CHECK(tally.busy <= kLedgerTimePerSecond);
    CHECK(tally.longestQueueTime < Proposer::kResendAfter);
    CHECK(tally.transferRequests == 0);
    CHECK(tally.noQuorum == 0);
  }

  int entries_;
};

/** Partitions all entry processes from control for some seconds. */
inline void runDayWithPartition(int entries)
{
  LoadedDay day(entries);
  day.run("idle", 2, false);
  day.run("load", 3);
  day.fleet.setControlCut(true);
  day.run("cut off", 8);
  day.fleet.setControlCut(false);
  day.run("returned", 5);
}

/** Ends all entry processes and starts them again. */
inline void runDayWithRestart(int entries)
{
  LoadedDay day(entries);
  day.run("idle", 2, false);
  day.run("load", 3);
  day.fleet.restartEntries();
  day.run("restarted", 5);
}

} // namespace figchute::ledger::test
