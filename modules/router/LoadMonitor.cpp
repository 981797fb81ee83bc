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
}

void LoadMonitor::addProposals(const control::ProposalCounts& counts)
{
  totals_.proposals.appended += counts.appended;
  totals_.proposals.repeated += counts.repeated;
  totals_.proposals.redirected += counts.redirected;
  totals_.proposals.grants += counts.grants;
  totals_.proposals.grantItems += counts.grantItems;
  totals_.proposals.settles += counts.settles;
  totals_.proposals.settleItems += counts.settleItems;
  totals_.proposals.maxAge = std::max(totals_.proposals.maxAge, counts.maxAge);
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
  const auto add = [&](const std::string& name, std::uint64_t amount) {
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
    add(fmt::format("work_us_{}", kWorkNames.at(i)),
        static_cast<std::uint64_t>(totals.work.at(i).count()));
  }
  add("proposals_appended", totals.proposals.appended);
  add("proposals_repeated", totals.proposals.repeated);
  add("proposals_redirected", totals.proposals.redirected);
  add("proposals_grant", totals.proposals.grants);
  add("grant_items", totals.proposals.grantItems);
  add("proposals_settle", totals.proposals.settles);
  add("settle_items", totals.proposals.settleItems);
  if (totals.maxTimerDelay > kMaxTimerDelay || totals.proposals.maxAge > kMaxProposalAge) {
    log_.line(now,
              "event_loop_late",
              { { "delay_ms", std::to_string(totals.maxTimerDelay.count() / 1000) },
                { "proposal_age_ms", std::to_string(totals.proposals.maxAge.count() / 1000) },
                { "transfer_pairs", std::to_string(transferPairs_) },
                { "detail", detail } });
  }
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
