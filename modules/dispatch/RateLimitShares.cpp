#include "dispatch/RateLimitShares.h"

#include "core/Fingerprint.h"
#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace figchute::dispatch {
namespace {

/** Each sender may have one unused request, so this many senders can exceed the limit by as many
    requests at once. More senders use the limit better where traffic is distributed unevenly. */
constexpr std::size_t kMinSenders = 4;
/** The part of a limit that is divided equally, so that every sender can take more requests at
    once. */
constexpr double kEqualPart = 0.2;
/** Upper limit of the number of senders before it is converted to an integer. */
constexpr double kMaxSenders = 1e6;
/** What a sender does not use within this time is lost. A second would allow twice the limit at
    once, but at least one request can always be kept. */
constexpr double kMaxUnusedSeconds = 0.5;
/** Maximum number of processes that send requests to learn whether a limit still holds. */
constexpr std::size_t kMaxProbingProcesses = 4;
/** Upper limit of a wait in microseconds before it is converted to an integer. */
constexpr double kMaxWaitMicros = 1e12;

std::size_t senderCount(double requestsPerSecond, std::size_t processes)
{
  const auto senders =
    kMinSenders + static_cast<std::size_t>(std::ceil(std::min(requestsPerSecond, kMaxSenders)));
  return std::min(senders, processes);
}

double maxTokens(double rate)
{
  return std::max(rate * kMaxUnusedSeconds, 1.0);
}

double seconds(Duration duration)
{
  return static_cast<double>(duration.count()) * 1e-6;
}

} // namespace

void RateLimitShares::setProcesses(const ProcessId& self,
                                   std::span<const fleet::EntryProcess> processes)
{
  self_ = fingerprintOf(self.value);
  processes_.clear();
  for (const auto& process : processes) {
    processes_.push_back({ fingerprintOf(process.holder.process.value), process.zone });
  }
  ++processRevision_;
  cold_.setProcesses(self, processes);
}

void RateLimitShares::setRequestRates(std::span<const fleet::RequestRate> rates)
{
  requestRates_.clear();
  for (const auto& rate : rates) {
    requestRates_[rate.process] =
      std::isfinite(rate.requestsPerSecond) ? std::max<double>(rate.requestsPerSecond, 0) : 0;
  }
  ++rateRevision_;
}

bool RateLimitShares::recordAnswer(Time now,
                                   const EndpointKey& endpoint,
                                   Time sentAt,
                                   std::optional<double> requestsPerSecond)
{
  if (!requestsPerSecond) {
    const auto* record = findLimit(endpoint);
    // The answer to an earlier request may have been written before the limit began.
    if (record == nullptr || sentAt < record->observedAt) {
      return false;
    }
  }
  const fleet::RateLimit limit{
    endpoint.incarnation, requestsPerSecond.has_value(), requestsPerSecond.value_or(0), 0
  };
  observed_.merge(now, limit);
  return limits_.merge(now, limit);
}

void RateLimitShares::addLimits(Time now, std::span<const fleet::RateLimit> limits)
{
  for (const auto& limit : limits) {
    limits_.merge(now, limit);
  }
}

const fleet::RateLimitStore::Record* RateLimitShares::findLimit(const EndpointKey& endpoint) const
{
  const auto* record = limits_.find(endpoint.incarnation);
  return record != nullptr && record->limit.isLimited ? record : nullptr;
}

std::optional<Time> RateLimitShares::nextSendAt(Time now, const EndpointKey& endpoint)
{
  const auto next = nextNamedSendAt(now, endpoint);
  return next ? std::optional(std::max(*next, cold_.nextSendAt(now, endpoint))) : next;
}

std::optional<Time> RateLimitShares::nextNamedSendAt(Time now, const EndpointKey& endpoint)
{
  const auto* record = findLimit(endpoint);
  if (record == nullptr) {
    return now;
  }
  const auto& share = updateShare(now, endpoint, *record);
  if (share.tokens >= 1 || isProbeDue(now, *record, share)) {
    return now;
  }
  if (share.rate <= 0) {
    return std::nullopt;
  }
  const auto waitMicros = std::min((1 - share.tokens) / share.rate * 1e6, kMaxWaitMicros);
  return std::max(now, share.updatedAt) +
         Duration(static_cast<std::int64_t>(std::ceil(waitMicros)));
}

bool RateLimitShares::maySend(Time now, const EndpointKey& endpoint)
{
  const auto next = nextSendAt(now, endpoint);
  return next && *next <= now;
}

std::optional<double> RateLimitShares::allowedRate(Time now, const EndpointKey& endpoint)
{
  const auto* record = findLimit(endpoint);
  if (record == nullptr) {
    return std::nullopt;
  }
  const auto rate = updateShare(now, endpoint, *record).rate;
  return std::min(rate, cold_.allowedRate(now, endpoint).value_or(rate));
}

void RateLimitShares::recordSend(Time now, const EndpointKey& endpoint)
{
  cold_.recordSend(now, endpoint);
  const auto* record = findLimit(endpoint);
  if (record == nullptr) {
    return;
  }
  auto& share = updateShare(now, endpoint, *record);
  if (share.tokens < 1) {
    share.probedAt = now;
  }
  share.tokens = std::max(share.tokens - 1, 0.0);
}

bool RateLimitShares::isProbeDue(Time now,
                                 const fleet::RateLimitStore::Record& record,
                                 const Share& share)
{
  const auto silence = now - record.observedAt;
  const auto probingProcesses =
    std::min(static_cast<std::size_t>(silence / kProbeInterval), kMaxProbingProcesses);
  return share.rank < probingProcesses && now - share.probedAt >= kProbeInterval;
}

void RateLimitShares::expire(Time now)
{
  cold_.expire(now);
  limits_.expire(now);
  observed_.expire(now);
  std::erase_if(shares_, [this](const auto& item) {
    const auto* record = limits_.find(item.first);
    return record == nullptr || !record->limit.isLimited;
  });
}

RateLimitShares::Share& RateLimitShares::updateShare(Time now,
                                                     const EndpointKey& endpoint,
                                                     const fleet::RateLimitStore::Record& record)
{
  auto& share = shares_[endpoint.incarnation];
  if (now > share.updatedAt) {
    const auto earned = share.rate * seconds(now - share.updatedAt);
    share.tokens = std::min(share.tokens + earned, maxTokens(share.rate));
    share.updatedAt = now;
  }
  const bool haveSendersChanged =
    share.limitRevision != record.revision || share.processRevision != processRevision_;
  if (haveSendersChanged) {
    selectSenders(endpoint, record.limit.requestsPerSecond, share);
  }
  if (haveSendersChanged || share.rateRevision != rateRevision_) {
    applyRate(now, record.limit.requestsPerSecond, share);
  }
  share.limitRevision = record.revision;
  share.processRevision = processRevision_;
  share.rateRevision = rateRevision_;
  return share;
}

void RateLimitShares::selectSenders(const EndpointKey& endpoint,
                                    double requestsPerSecond,
                                    Share& share) const
{
  const auto ranked = rankProcesses(endpoint);
  share.rank = ranked.size();
  share.senders.clear();
  const auto senders = senderCount(requestsPerSecond, ranked.size());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i].process == self_) {
      share.rank = i;
    }
    if (i < senders) {
      share.senders.push_back(ranked[i].process);
    }
  }
}

void RateLimitShares::applyRate(Time now, double requestsPerSecond, Share& share) const
{
  const bool isNewShare = share.limitRevision == 0;
  const bool isSender = share.rank < share.senders.size();
  const bool wasSender = share.rate > 0;
  share.rate = isSender ? requestsPerSecond * ownFraction(share.senders) : 0;
  if (!isSender) {
    share.tokens = 0;
  } else if (isNewShare) {
    // Without a first request, no sender could send anything for seconds after a limit began.
    share.tokens = share.rate > 0 ? 1 : 0;
  } else if (!wasSender) {
    share.updatedAt = now + kHandoverTime;
  }
}

std::vector<RateLimitShares::RankedProcess> RateLimitShares::rankProcesses(
  const EndpointKey& endpoint) const
{
  std::vector<RankedProcess> ranked;
  ranked.reserve(processes_.size());
  for (const auto& process : processes_) {
    ranked.push_back({ process.zone == endpoint.zone,
                       routing::rendezvousWeight(process.fingerprint, endpoint.incarnation),
                       process.fingerprint });
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  return ranked;
}

double RateLimitShares::ownFraction(std::span<const Fingerprint> senders) const
{
  const auto equalShare = 1 / static_cast<double>(senders.size());
  double totalRate = 0;
  for (const auto sender : senders) {
    totalRate += requestRateOf(sender);
  }
  if (totalRate <= 0 || !requestRates_.contains(self_)) {
    return equalShare;
  }
  return kEqualPart * equalShare + (1 - kEqualPart) * requestRateOf(self_) / totalRate;
}

double RateLimitShares::requestRateOf(Fingerprint process) const
{
  const auto rate = requestRates_.find(process);
  return rate == requestRates_.end() ? 0 : rate->second;
}

} // namespace figchute::dispatch
