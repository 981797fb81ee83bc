#include "router/EntryLink.h"

#include "router/Authorization.h"
#include "router/ErrorResponse.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <utility>

namespace figchute::router {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

/** Passes what was transferred to the charge of a request. */
class ChargeObserver final : public http::TransferObserver
{
public:
  explicit ChargeObserver(std::unique_ptr<LinkAdmission::Charge> charge)
    : charge_(std::move(charge))
  {
  }

  void received(std::size_t bytes) override { charge_->received(bytes); }
  void forwarded(std::size_t bytes) override { charge_->forwarded(bytes); }
  void answered(std::size_t bytes) override { charge_->answered(bytes); }

private:
  std::unique_ptr<LinkAdmission::Charge> charge_;
};

int priorityOf(const fleet::Route& route, const fleet::WorkspaceSettings* workspace)
{
  return workspace != nullptr ? workspace->priority.value_or(route.priority) : route.priority;
}

} // namespace

EntryLink::EntryLink(double bytesPerSecond, LogWriter& log, Metrics& metrics)
  : log_(log)
  , metrics_(metrics)
  , bytesPerMicrosecond_(bytesPerSecond / 1e6)
  , acceptBudget_(bytesPerSecond, kAcceptLimit.utilisation)
  , admission_(bytesPerSecond)
{
}

void EntryLink::update(Time now,
                       const http::Traffic& total,
                       const http::Traffic& refused,
                       std::uint64_t unusedConnections)
{
  traffic_ = total;
  auto expected = total;
  expected.receivedBytes += unusedConnections * kFirstRequestBytes;
  acceptBudget_.update(now, expected);
  admission_.update(now, total, refused);
}

Duration EntryLink::acceptDelay() const
{
  return acceptBudget_.timeUntilAvailable();
}

http::HeadDecision EntryLink::decide(Time now,
                                     const fleet::RouteTable* table,
                                     const http::RequestHead& head,
                                     const http::HeadInfo& info)
{
  const auto* route =
    table != nullptr ? table->match(head.fields.get("Host"), head.target) : nullptr;
  if (route == nullptr) {
    return {};
  }
  LinkRequest request;
  request.route = route->name;
  request.rank = std::clamp(
    priorityOf(*route, workspaceOf(*table, head.fields)), 0, static_cast<int>(kRanks) - 1);
  request.target = route->target;
  request.headBytes = info.headBytes;
  request.receivedBytes = info.receivedBytes;
  request.bodyBytes = head.chunked ? std::nullopt : std::optional(head.length.value_or(0));
  request.servedBefore = info.servedBefore;
  auto decision = admission_.decide(now, request);
  if (decision.charge) {
    ++admitted_;
    return { std::nullopt, std::make_shared<ChargeObserver>(std::move(decision.charge)) };
  }
  countRefusal(request.rank, decision.refusal);
  return { makeErrorResponse(
             Error{ ErrorKind::overloaded, "the network link of this process is full" },
             kRetryAfter),
           nullptr };
}

void EntryLink::countRefusal(int rank, LinkRefusal refusal)
{
  ++refusedByRank_[static_cast<std::size_t>(rank)];
  ++(refusal == LinkRefusal::share ? refusedForShare_ : refusedForWait_);
  metrics_.count(fmt::format("link_refused_{}", toString(refusal)));
}

void EntryLink::report(Time now)
{
  const auto elapsed = now - reportedAt_;
  if (elapsed < kReportInterval) {
    return;
  }
  if (reportedAt_.micros > 0) {
    // The quotient of the growths of these counters is the mean utilisation of the link.
    const auto used = std::max(traffic_.receivedBytes - reportedTraffic_.receivedBytes,
                               traffic_.sentBytes - reportedTraffic_.sentBytes);
    metrics_.count("link_bytes", used);
    const auto capacity = bytesPerMicrosecond_ * static_cast<double>(elapsed.count());
    metrics_.count("link_capacity_bytes", static_cast<std::uint64_t>(capacity));
    if (refusedForShare_ + refusedForWait_ > 0) {
      logRefusals(now);
    }
    updateReadiness(now);
  }
  reportedAt_ = now;
  reportedTraffic_ = traffic_;
  admitted_ = 0;
  refusedByRank_ = {};
  refusedForShare_ = 0;
  refusedForWait_ = 0;
}

void EntryLink::updateReadiness(Time now)
{
  const bool wasReady = readiness_.isReady();
  readiness_.update(now, admitted_, refusedForShare_ + refusedForWait_);
  if (readiness_.isReady() == wasReady) {
    return;
  }
  log_.line(now, "link_readiness", { { "ready", wasReady ? "no" : "yes" } });
  if (wasReady) {
    metrics_.count("link_pauses");
  }
}

void EntryLink::logRefusals(Time now)
{
  std::string ranks;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    if (refusedByRank_[rank] > 0) {
      ranks += fmt::format("{}{}:{}", ranks.empty() ? "" : ",", rank, refusedByRank_[rank]);
    }
  }
  const auto percent = [this, elapsed = now - reportedAt_](std::uint64_t bytes) {
    const auto capacity = bytesPerMicrosecond_ * static_cast<double>(elapsed.count());
    return fmt::format("{:.0f}", 100 * static_cast<double>(bytes) / capacity);
  };
  const auto received = admission_.received();
  const auto sent = admission_.sent();
  log_.line(now,
            "link_refused",
            { { "ranks", ranks },
              { "share", std::to_string(refusedForShare_) },
              { "wait", std::to_string(refusedForWait_) },
              { "admitted", std::to_string(admitted_) },
              { "in_percent", percent(traffic_.receivedBytes - reportedTraffic_.receivedBytes) },
              { "out_percent", percent(traffic_.sentBytes - reportedTraffic_.sentBytes) },
              { "in_level_ms", std::to_string(toMillis(received.level)) },
              { "out_level_ms", std::to_string(toMillis(sent.level)) },
              { "in_wait_ms", std::to_string(toMillis(received.wait)) },
              { "out_wait_ms", std::to_string(toMillis(sent.wait)) },
              { "accept_delay_ms", std::to_string(toMillis(acceptDelay())) } });
}

} // namespace figchute::router
