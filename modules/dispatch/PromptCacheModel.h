#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "dispatch/RequestInfo.h"
#include "routing/DecayedSum.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace figchute::dispatch {

/** Returns one key for each prompt prefix that ends with a part. Like the keys of the engine's
    cache, a key depends on the model and on all parts up to this one. Safe from any thread. */
std::vector<Fingerprint> prefixKeys(const RequestInfo& requestInfo);

/** Estimates which prompt parts are in the cache of one engine from the prompts that this process
    sent there.

    An engine evicts the least recently used part, so an unused part stays until as many uncached
    tokens as fit into the cache have been prefilled. The prompts of other processes are estimated
    from this process's share of the traffic.
    Thread safety: use one instance from one thread only. */
class PromptCacheModel
{
public:
  /** Returns the number of tokens at the start of a prompt that are probably cached.
      @param keys       result of prefixKeys()
      @param retention  result of retention() */
  [[nodiscard]] std::int64_t cachedTokens(Time now,
                                          std::span<const PromptPart> parts,
                                          std::span<const Fingerprint> keys,
                                          Duration retention) const;

  /** Records that the engine prefills a prompt.
      @param uncachedTokens  number of tokens that are probably not cached */
  void recordPrompt(Time now, std::span<const Fingerprint> keys, std::int64_t uncachedTokens);

  /** Returns how long an unused part stays in the cache.
      @param freeTokens    cache capacity left for unused parts, in tokens
      @param trafficShare  this process's share of all requests, above 0 */
  [[nodiscard]] Duration retention(Time now, double freeTokens, double trafficShare) const;

private:
  void prune(Time now);

  std::unordered_map<Fingerprint, Time> lastUseByKey_;
  routing::DecayedSum uncachedTokens_{ std::chrono::seconds(10) };
};

} // namespace figchute::dispatch
