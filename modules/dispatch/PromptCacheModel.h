#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "dispatch/Work.h"
#include "routing/DecayedSum.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace figchute::dispatch {

/** Returns the keys of the prompt prefixes that end with each part. A key depends on the model and
    on all parts before it, as the engine's cache does. Safe from any thread. */
std::vector<Fingerprint> prefixKeys(const Work& work);

/** Which prompt parts one engine has probably cached, from what this process sent there.

    An engine evicts the least recently used part, so a part stays for the time in which as many new
    tokens as fit are read. What other processes send is estimated from the share of this one.
    Thread safety: use one instance from one thread only. */
class PromptCacheModel
{
public:
  /** Returns the tokens at the start of a prompt that are probably cached.
      @param keys       from prefixKeys()
      @param retention  from retention() */
  [[nodiscard]] std::int64_t cachedTokens(Time now,
                                          std::span<const PromptPart> parts,
                                          std::span<const Fingerprint> keys,
                                          Duration retention) const;

  /** Notes that the engine reads a prompt.
      @param newTokens  tokens that are probably not cached */
  void use(Time now, std::span<const Fingerprint> keys, std::int64_t newTokens);

  /** Returns how long an unused part stays.
      @param freeTokens  memory for cached parts
      @param share       part of all requests that this process sends, above 0 */
  [[nodiscard]] Duration retention(Time now, double freeTokens, double share) const;

private:
  void prune(Time now);

  std::unordered_map<Fingerprint, Time> lastUse_;
  routing::DecayedSum newTokens_{ std::chrono::seconds(10) };
};

} // namespace figchute::dispatch
