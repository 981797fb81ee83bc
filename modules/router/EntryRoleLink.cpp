#include "router/BootClock.h"
#include "router/EntryRole.h"

#include <utility>

/** The part of an entry process that limits its traffic to what the network link of its VM carries.
 */
namespace figchute::router {
namespace {

/** The minimum interval between two log lines about pauses of accepting. */
constexpr Duration kAcceptReportInterval = std::chrono::seconds(1);

} // namespace

void EntryRole::limitLinkTraffic()
{
  callers_.setAcceptDelay([this] {
    updateLink(bootTime());
    return link_->acceptDelay();
  });
  callers_.setHeadFilter([this](const http::RequestHead& head, const http::HeadInfo& info) {
    const Time now = bootTime();
    updateLink(now);
    return link_->decide(now, services_.table.get(), head, info);
  });
}

http::Traffic EntryRole::linkTraffic() const
{
  const auto callers = callers_.traffic();
  const auto endpoints = pool_.traffic();
  return { callers.receivedBytes + endpoints.receivedBytes + receivedMessageBytes_,
           callers.sentBytes + endpoints.sentBytes + context_.mesh.sentBytes() };
}

Duration EntryRole::linkDelay(Time now)
{
  if (!linkBudget_) {
    return Duration::zero();
  }
  linkBudget_->update(now, linkTraffic());
  return linkBudget_->timeUntilAvailable();
}

Duration EntryRole::connectionDelay(Time now)
{
  const auto delay = linkDelay(now);
  if (delay == Duration::zero()) {
    return delay;
  }
  context_.metrics.count("link_accept_pauses");
  ++acceptPauses_;
  if (now >= nextAcceptReportAt_) {
    nextAcceptReportAt_ = now + kAcceptReportInterval;
    context_.log.line(now,
                      "accept_paused",
                      { { "pauses", std::to_string(std::exchange(acceptPauses_, 0)) },
                        { "delay_ms", std::to_string(toMillis(delay)) },
                        { "connections", std::to_string(callers_.connections()) },
                        { "requests", std::to_string(callers_.openRequests()) } });
  }
  return delay;
}

void EntryRole::updateLink(Time now)
{
  link_->update(now, linkTraffic(), callers_.refusedTraffic(), callers_.unusedConnections());
}

} // namespace figchute::router
