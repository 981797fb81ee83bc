#pragma once

#include "control/ControlCore.h"
#include "core/core.h"
#include "fleet/fleet.h"
#include "router/LogWriter.h"
#include "wire/wire.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace figchute::router {

/** The work of the event loop that LoadMonitor measures. */
enum class LoopWork : std::uint8_t
{
  /** Messages of the replicated log. */
  replication,
  /** Ledger messages. */
  ledger,
  /** Fleet messages: subscriptions, reports and updates. */
  fleet,
  /** Saving and applying log entries. */
  log,
  /** Encoding and sending fleet updates. */
  publish,
  /** Periodic work of an entry process. */
  timer,
};

constexpr std::size_t kLoopWorkKinds = 6;

/** Measures where a process spends its time: messages by channel, time by kind of work and the
    delay of its timer. The totals are counters of the metrics page; a log line reports them at most
    once a second, and only while the timer or the replies to proposals are late.
    Thread safety: use one instance from one thread only. */
class LoadMonitor
{
public:
  /** Timers that fire later than this are reported. */
  static constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(200);
  /** Proposals that are answered later than this are reported. A holder that waits longer considers
      control unreachable. */
  static constexpr Duration kMaxProposalAge = std::chrono::milliseconds(120);
  /** The minimum interval between two log lines. */
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  /** @param metrics  receives the totals; must outlive this object
      @param log      receives the log lines; must outlive this object */
  LoadMonitor(Metrics& metrics, LogWriter& log);

  void addReceived(wire::Channel channel, std::size_t bytes);
  void addSent(wire::Channel channel, std::size_t bytes);

  /** Adds the time that the event loop spent on one kind of work. */
  void addWork(LoopWork work, Duration elapsed);

  /** Returns the time that the event loop spent on the ledger since the last call, without waiting
      for the disk. */
  [[nodiscard]] Duration takeLedgerTime() { return std::exchange(ledgerTime_, Duration{ 0 }); }

  void addProposals(const control::ProposalCounts& counts);
  void addLogWork(const control::LogWork& work);
  void addPublisherCounts(const fleet::PublisherCounts& counts);

  /** Sets the number of pairs of holders with transfers in the ledger. */
  void setTransferPairs(std::size_t pairs) { transferPairs_ = pairs; }

  /** Records how late the timer fired.
      @returns whether a report is due */
  [[nodiscard]] bool addTimerDelay(Time now, Duration delay);

  /** Adds the totals to the metrics, and writes a log line if the timer or a reply was late. */
  void report(Time now);

private:
  struct ChannelTotals
  {
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
  };

  /** The totals since the last report. */
  struct Totals
  {
    std::array<ChannelTotals, wire::kChannels> channels;
    std::array<Duration, kLoopWorkKinds> work{};
    control::ProposalCounts proposals;
    control::LogWork logWork;
    fleet::PublisherCounts publisher;
    Duration maxTimerDelay{ 0 };
  };

  /** Names an amount for the metrics and for the log line. */
  using AddAmount = std::function<void(const std::string& name, std::uint64_t amount)>;

  static void reportProposals(const control::ProposalCounts& counts, const AddAmount& add);
  static void reportLogWork(const control::LogWork& work, const AddAmount& add);
  static void reportPublisher(const fleet::PublisherCounts& counts, const AddAmount& add);

  Metrics& metrics_;
  LogWriter& log_;
  Time nextReportAt_;
  Totals totals_;
  Duration ledgerTime_{ 0 };
  std::size_t transferPairs_ = 0;
};

/** Measures the time from its construction to its destruction as one kind of work. */
class WorkTimer
{
public:
  WorkTimer(LoadMonitor& monitor, LoopWork work);
  ~WorkTimer();
  WorkTimer(const WorkTimer&) = delete;
  WorkTimer& operator=(const WorkTimer&) = delete;

private:
  LoadMonitor& monitor_;
  LoopWork work_;
  Time startedAt_;
};

} // namespace figchute::router
