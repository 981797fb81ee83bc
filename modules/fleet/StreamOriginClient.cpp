#include "fleet/StreamOriginClient.h"

#include <algorithm>

namespace figchute::fleet {

void StreamOriginClient::setControls(const std::optional<ProcessId>& current,
                                     std::vector<ProcessId> controls)
{
  controls_ = std::move(controls);
  const auto first =
    current ? std::find(controls_.begin(), controls_.end(), *current) : controls_.end();
  if (first != controls_.end()) {
    std::rotate(controls_.begin(), first, controls_.end());
  }
}

void StreamOriginClient::add(Time now, const StreamOrigin& origin)
{
  origins_.add(now, origin);
  unreported_.push_back(origin);
  reportIfDue(now);
}

void StreamOriginClient::find(Time now,
                              std::uint64_t queryId,
                              Fingerprint stream,
                              const ServiceName& service)
{
  if (auto origin = origins_.find(stream)) {
    answers_.push_back({ queryId, std::move(origin), false });
    return;
  }
  const auto queried = std::min(controls_.size(), kMaxQueried);
  if (queried == 0 || origins_.isAmbiguous(stream)) {
    answers_.push_back({ queryId, std::nullopt, false });
    return;
  }
  auto& query = queries_[queryId];
  query.message = { queryId, stream, service };
  query.startedAt = now;
  query.waitingFor.insert(controls_.begin(),
                          controls_.begin() + static_cast<std::ptrdiff_t>(queried));
  send(now, query);
}

void StreamOriginClient::send(Time now, Query& query)
{
  query.sentAt = now;
  for (const auto& control : query.waitingFor) {
    outgoing_.push_back({ control, query.message });
  }
}

void StreamOriginClient::receive(const ProcessId& from, const StreamOriginReply& reply)
{
  const auto query = queries_.find(reply.queryId);
  // A reply for another stream answers a query of a previous incarnation of this process.
  if (query == queries_.end() || reply.origin.stream != query->second.message.stream ||
      query->second.waitingFor.erase(from) == 0) {
    return;
  }
  if (reply.isKnown) {
    answers_.push_back({ reply.queryId, reply.origin, false });
    queries_.erase(query);
  } else if (query->second.waitingFor.empty()) {
    answers_.push_back({ reply.queryId, std::nullopt, false });
    queries_.erase(query);
  }
}

void StreamOriginClient::tick(Time now)
{
  origins_.expire(now);
  reportIfDue(now);
  for (auto query = queries_.begin(); query != queries_.end();) {
    if (now >= query->second.startedAt + kQueryTimeout) {
      answers_.push_back({ query->first, std::nullopt, true });
      query = queries_.erase(query);
      continue;
    }
    if (now >= query->second.sentAt + kResendInterval) {
      send(now, query->second);
    }
    ++query;
  }
}

void StreamOriginClient::reportIfDue(Time now)
{
  if (unreported_.empty() || now < nextReportAt_) {
    return;
  }
  nextReportAt_ = now + kReportInterval;
  const StreamOriginReport message{ std::exchange(unreported_, {}) };
  const auto keepers = std::min(controls_.size(), kKeepers);
  for (std::size_t i = 0; i < keepers; ++i) {
    outgoing_.push_back({ controls_[i], message });
  }
}

} // namespace figchute::fleet
