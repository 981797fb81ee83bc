#include "router/LoadMonitor.h"

#include "router/BootClock.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::router {
namespace {

constexpr std::array<std::string_view, wire::kChannels> kChannelNames = {
  "heartbeat", "replication", "ledger", "membership", "routing", "report", "fleet", "join",
};

constexpr std::array<std::string_view, kLoopWorkKinds> kWorkNames = {
  "replication", "ledger", "fleet", "log", "publish", "timer",
};

std::uint64_t microseconds(Duration duration)
{
  return static_cast<std::uint64_t>(duration.count());
}

} // namespace

LoadMonitor::LoadMonitor(Metrics& metrics, LogWriter& log)
  : metrics_(metrics)
  , log_(log)
{
}

void LoadMonitor::addReceived(wire::Channel channel, std::size_t bytes)
{
  auto& totals = totals_.channels.at(static_cast<std::size_t>(channel));
  ++totals.receivedMessages;
  totals.receivedBytes += bytes;
}

void LoadMonitor::addSent(wire::Channel channel, std::size_t bytes)
{
  auto& totals = totals_.channels.at(static_cast<std::size_t>(channel));
  ++totals.sentMessages;
  totals.sentBytes += bytes;
}

void LoadMonitor::addWork(LoopWork work, Duration elapsed)
{
  totals_.work.at(static_cast<std::size_t>(work)) += elapsed;
  if (work == LoopWork::ledger || work == LoopWork::log) {
    ledgerTime_ += elapsed;
  }
}

void LoadMonitor::addLogWork(const control::LogWork& work)
{
  totals_.logWork += work;
  ledgerTime_ -= work.saveTime;
}

void LoadMonitor::addProposals(const control::ProposalCounts& counts)
{
  totals_.proposals.appended += counts.appended;
  totals_.proposals.repeated += counts.repeated;
  totals_.proposals.redirected += counts.redirected;
  totals_.proposals.maxQueued = std::max(totals_.proposals.maxQueued, counts.maxQueued);
  totals_.proposals.maxQueueTime = std::max(totals_.proposals.maxQueueTime, counts.maxQueueTime);
  totals_.proposals.grants += counts.grants;
  totals_.proposals.grantItems += counts.grantItems;
  totals_.proposals.settles += counts.settles;
  totals_.proposals.settleItems += counts.settleItems;
  totals_.proposals.maxAge = std::max(totals_.proposals.maxAge, counts.maxAge);
}

void LoadMonitor::addPublisherCounts(const fleet::PublisherCounts& counts)
{
  totals_.publisher.updates += counts.updates;
  totals_.publisher.entryLists += counts.entryLists;
  totals_.publisher.listedEntries += counts.listedEntries;
  totals_.publisher.builtLists += counts.builtLists;
  totals_.publisher.subscriptions += counts.subscriptions;
}

bool LoadMonitor::addTimerDelay(Time now, Duration delay)
{
  metrics_.record("timer_delay", std::max(delay, Duration{ 0 }));
  totals_.maxTimerDelay = std::max(totals_.maxTimerDelay, delay);
  return now >= nextReportAt_;
}

void LoadMonitor::report(Time now)
{
  nextReportAt_ = now + kReportInterval;
  const auto totals = std::exchange(totals_, {});
  std::string detail;
  const AddAmount add = [&](const std::string& name, std::uint64_t amount) {
    if (amount > 0) {
      metrics_.count(name, amount);
      detail += fmt::format("{}{}:{}", detail.empty() ? "" : ",", name, amount);
    }
  };
  for (std::size_t i = 0; i < wire::kChannels; ++i) {
    const auto& channel = totals.channels.at(i);
    const auto name = kChannelNames.at(i);
    add(fmt::format("received_messages_{}", name), channel.receivedMessages);
    add(fmt::format("received_bytes_{}", name), channel.receivedBytes);
    add(fmt::format("sent_messages_{}", name), channel.sentMessages);
    add(fmt::format("sent_bytes_{}", name), channel.sentBytes);
  }
  for (std::size_t i = 0; i < kLoopWorkKinds; ++i) {
    add(fmt::format("work_us_{}", kWorkNames.at(i)), microseconds(totals.work.at(i)));
  }
  reportProposals(totals.proposals, add);
  reportLogWork(totals.logWork, add);
  reportPublisher(totals.publisher, add);
  if (totals.maxTimerDelay > kMaxTimerDelay || totals.proposals.maxAge > kMaxProposalAge) {
    log_.line(now,
              "event_loop_late",
              { { "delay_ms", std::to_string(toMillis(totals.maxTimerDelay)) },
                { "proposal_age_ms", std::to_string(toMillis(totals.proposals.maxAge)) },
                { "queued", std::to_string(totals.proposals.maxQueued) },
                { "queue_ms", std::to_string(toMillis(totals.proposals.maxQueueTime)) },
                { "transfer_pairs", std::to_string(transferPairs_) },
                { "detail", detail } });
  }
}

void LoadMonitor::reportProposals(const control::ProposalCounts& counts, const AddAmount& add)
{
  add("proposals_appended", counts.appended);
  add("proposals_repeated", counts.repeated);
  add("proposals_redirected", counts.redirected);
  add("proposals_grant", counts.grants);
  add("grant_items", counts.grantItems);
  add("proposals_settle", counts.settles);
  add("settle_items", counts.settleItems);
}

void LoadMonitor::reportLogWork(const control::LogWork& work, const AddAmount& add)
{
  for (std::size_t i = 0; i < control::kCommandKinds; ++i) {
    const auto& applied = work.applied.at(i);
    const auto name = control::toString(static_cast<control::CommandKind>(i));
    add(fmt::format("applied_{}", name), applied.commands);
    add(fmt::format("applied_{}_items", name), applied.items);
    add(fmt::format("applied_{}_bytes", name), applied.bytes);
    add(fmt::format("applied_{}_us", name), microseconds(applied.time));
  }
  add("grant_items_waiting", work.waitingItems);
  add("grant_items_low", work.lowItems);
  add("log_saves", work.saves);
  add("log_save_us", microseconds(work.saveTime));
  add("log_snapshots", work.snapshots);
  add("log_snapshot_bytes", work.snapshotBytes);
  add("log_snapshot_us", microseconds(work.snapshotTime));
}

void LoadMonitor::reportPublisher(const fleet::PublisherCounts& counts, const AddAmount& add)
{
  add("fleet_subscriptions", counts.subscriptions);
  add("fleet_updates", counts.updates);
  add("fleet_entry_lists", counts.entryLists);
  add("fleet_listed_entries", counts.listedEntries);
  add("fleet_built_lists", counts.builtLists);
}

WorkTimer::WorkTimer(LoadMonitor& monitor, LoopWork work)
  : monitor_(monitor)
  , work_(work)
  , startedAt_(bootTime())
{
}

WorkTimer::~WorkTimer()
{
  monitor_.addWork(work_, bootTime() - startedAt_);
}

} // namespace figchute::router
