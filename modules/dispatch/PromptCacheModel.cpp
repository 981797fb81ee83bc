#include "dispatch/PromptCacheModel.h"

#include "routing/Rendezvous.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

constexpr Duration kMinRetention = std::chrono::seconds(5);
constexpr Duration kMaxRetention = std::chrono::seconds(60);
constexpr std::size_t kMaxTrackedKeys = 2048;

} // namespace

std::vector<Fingerprint> prefixKeys(const RequestInfo& requestInfo)
{
  std::vector<Fingerprint> keys;
  keys.reserve(requestInfo.parts.size());
  Fingerprint key = fingerprintOf(requestInfo.model.value);
  for (const auto& part : requestInfo.parts) {
    key = routing::rendezvousWeight(key * 0x9e3779b97f4a7c15ULL, part.hash);
    keys.push_back(key);
  }
  return keys;
}

std::int64_t PromptCacheModel::cachedTokens(Time now,
                                            std::span<const PromptPart> parts,
                                            std::span<const Fingerprint> keys,
                                            Duration retention) const
{
  std::int64_t tokens = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto lastUse = lastUseByKey_.find(keys[i]);
    if (lastUse == lastUseByKey_.end() || now - lastUse->second > retention) {
      break;
    }
    tokens += parts[i].tokens;
  }
  return tokens;
}

void PromptCacheModel::recordPrompt(Time now,
                                    std::span<const Fingerprint> keys,
                                    std::int64_t uncachedTokens)
{
  for (const auto key : keys) {
    lastUseByKey_[key] = now;
  }
  uncachedTokens_.add(now, static_cast<double>(uncachedTokens));
  if (lastUseByKey_.size() > kMaxTrackedKeys) {
    prune(now);
  }
}

void PromptCacheModel::prune(Time now)
{
  auto maxAge = kMaxRetention;
  while (lastUseByKey_.size() > kMaxTrackedKeys / 2) {
    std::erase_if(lastUseByKey_, [&](const auto& entry) { return now - entry.second >= maxAge; });
    maxAge /= 2;
  }
}

Duration PromptCacheModel::retention(Time now, double freeTokens, double trafficShare) const
{
  const double uncachedTokensPerSecond = uncachedTokens_.perSecond(now) / trafficShare;
  const double secondsUntilFull = freeTokens / std::max(uncachedTokensPerSecond, 1.0);
  const double maxRetentionSeconds = std::chrono::duration<double>(kMaxRetention).count();
  const auto micros =
    static_cast<std::int64_t>(std::min(secondsUntilFull, maxRetentionSeconds) * 1e6);
  return std::max(Duration(micros), kMinRetention);
}

} // namespace figchute::dispatch
