#include "dispatch/ColdShares.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figchute::dispatch {
namespace {

/** More senders than this would not use the limit better. */
constexpr double kMaxSenders = 16;

double seconds(Duration duration)
{
  return static_cast<double>(duration.count()) * 1e-6;
}

} // namespace

ColdDivision divideColdLimit(const ColdBounds& bounds, double requestsPerSecond)
{
  // A sender sends at most 1 + rate * t requests within the time t. What is sent within a second
  // plus the spread may arrive within a second.
  const double window = 1 + seconds(ColdShares::kArrivalSpread);
  const double bound = requestsPerSecond * bounds.overage + bounds.slack;
  if (!(bound >= 1)) {
    return {};
  }
  const double senders =
    std::clamp(std::floor(bounds.slack), 1.0, std::min(std::floor(bound), kMaxSenders));
  const double rate = std::min(requestsPerSecond, (bound - senders) / window);
  return { static_cast<std::size_t>(senders), rate };
}

void ColdShares::setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes)
{
  self_ = fingerprintOf(self.value);
  auto& newProcesses = newProcesses_.emplace();
  for (const auto& process : processes) {
    newProcesses[fingerprintOf(process.holder.process.value)] = { process.zone, std::nullopt };
  }
}

void ColdShares::updateProcesses(Time now)
{
  if (!newProcesses_) {
    return;
  }
  if (!newProcesses_->contains(self_)) {
    listedSince_.reset();
  } else if (!listedSince_) {
    listedSince_ = now;
  }
  for (auto& [id, process] : processes_) {
    const auto removedAt = process.removedAt.value_or(now);
    if (now - removedAt < kHandoverTime) {
      newProcesses_->try_emplace(id, Process{ process.zone, removedAt });
    }
  }
  processes_ = std::move(*newProcesses_);
  newProcesses_.reset();
  ++processRevision_;
}

void ColdShares::add(Time now,
                     const Key& key,
                     const EndpointId& id,
                     Time until,
                     double requestsPerSecond)
{
  if (until <= now || !(requestsPerSecond > 0)) {
    return;
  }
  const auto [entry, isNew] = shares_.try_emplace(key.incarnation);
  auto& share = entry->second;
  if (isNew) {
    share.id = id;
    share.since = now;
    share.updatedAt = now;
    changes_.push_back({ id, until - now });
  }
  share.until = std::max(share.until, until);
  if (share.requestsPerSecond != requestsPerSecond) {
    share.requestsPerSecond = requestsPerSecond;
    share.processRevision = 0;
  }
}

bool ColdShares::isCold(Time now, const Key& key) const
{
  const auto share = shares_.find(key.incarnation);
  return share != shares_.end() && now < share->second.until;
}

Time ColdShares::nextSendAt(Time now, const Key& key)
{
  const auto* share = findShare(now, key);
  if (share == nullptr) {
    return now;
  }
  if (!share->senderFrom || !hasContact(now) || isStalled(now, *share)) {
    return share->until;
  }
  auto next = std::max(now, *share->senderFrom);
  if (share->tokens < 1) {
    if (share->rate <= 0) {
      return share->until;
    }
    const auto waitMicros = std::ceil((1 - share->tokens) / share->rate * 1e6);
    const auto remainingMicros = static_cast<double>((share->until - now).count());
    next = std::max(
      next, now + Duration(static_cast<std::int64_t>(std::min(waitMicros, remainingMicros))));
  }
  return std::min(next, share->until);
}

std::optional<double> ColdShares::allowedRate(Time now, const Key& key)
{
  const auto* share = findShare(now, key);
  if (share == nullptr) {
    return std::nullopt;
  }
  const bool isSender = share->senderFrom && *share->senderFrom <= now && hasContact(now);
  return isSender ? share->rate : 0;
}

bool ColdShares::mayStillSend(Time now, const Key& key, Time sentAt) const
{
  const auto entry = shares_.find(key.incarnation);
  if (entry == shares_.end() || entry->second.until <= now) {
    return true;
  }
  // A request that was recorded before has no part in the limit.
  return sentAt >= entry->second.since && now - sentAt <= kArrivalSpread;
}

void ColdShares::recordSend(Time now, const Key& key)
{
  if (auto* share = findShare(now, key)) {
    share->tokens = std::max(share->tokens - 1, 0.0);
    share->unanswered.push_back(now);
  }
}

void ColdShares::recordArrival(Time now, const Key& key, Time sentAt)
{
  auto* share = findShare(now, key);
  if (share == nullptr) {
    return;
  }
  const auto sent = std::find(share->unanswered.begin(), share->unanswered.end(), sentAt);
  if (sent == share->unanswered.end()) {
    return;
  }
  if (isStalled(now, *share)) {
    // The requests of the stall may arrive only now.
    share->tokens = 0;
  }
  share->unanswered.erase(sent);
}

void ColdShares::expire(Time now)
{
  updateProcesses(now);
  std::erase_if(shares_, [&](const auto& item) {
    const bool hasEnded = item.second.until <= now;
    if (hasEnded) {
      changes_.push_back({ item.second.id, std::nullopt });
    }
    return hasEnded;
  });
}

ColdShares::Share* ColdShares::findShare(Time now, const Key& key)
{
  const auto entry = shares_.find(key.incarnation);
  if (entry == shares_.end() || entry->second.until <= now) {
    return nullptr;
  }
  updateProcesses(now);
  auto& share = entry->second;
  if (share.processRevision != processRevision_) {
    updateSender(key, share);
    share.processRevision = processRevision_;
  }
  if (now > share.updatedAt) {
    const double earned = share.rate * seconds(now - share.updatedAt);
    share.tokens = std::min(share.tokens + earned, 1.0);
    share.updatedAt = now;
  }
  return &share;
}

void ColdShares::updateSender(const Key& key, Share& share) const
{
  const auto division = divideColdLimit(bounds_, share.requestsPerSecond);
  share.rate =
    division.senders > 0 ? division.requestsPerSecond / static_cast<double>(division.senders) : 0;
  share.senderFrom.reset();
  const auto self = processes_.find(self_);
  if (!listedSince_ || self == processes_.end()) {
    return;
  }
  const auto orderOf = [&key](Fingerprint id, const Process& process) {
    return std::tuple(process.zone == key.zone, routing::rendezvousWeight(id, key.incarnation), id);
  };
  const auto ownOrder = orderOf(self_, self->second);
  std::size_t before = 0;
  std::vector<Time> departures;
  for (const auto& [id, process] : processes_) {
    if (id == self_ || orderOf(id, process) < ownOrder) {
      continue;
    }
    if (process.removedAt) {
      departures.push_back(*process.removedAt + kHandoverTime);
    } else {
      ++before;
    }
  }
  if (before >= division.senders) {
    return;
  }
  share.senderFrom = *listedSince_ + kHandoverTime;
  if (before + departures.size() >= division.senders) {
    std::sort(departures.begin(), departures.end());
    const auto needed = before + departures.size() - division.senders;
    share.senderFrom = std::max(*share.senderFrom, departures[needed]);
  }
}

bool ColdShares::isStalled(Time now, const Share& share)
{
  return std::any_of(share.unanswered.begin(), share.unanswered.end(), [now](Time sentAt) {
    return now - sentAt > kArrivalSpread;
  });
}

bool ColdShares::hasContact(Time now) const
{
  return contactAt_ && now - *contactAt_ <= kContactLease;
}

} // namespace figchute::dispatch
