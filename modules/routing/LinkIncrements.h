#pragma once

#include "core/Types.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace figchute::routing {

/** Accumulates, per link and key, the amounts that were not yet sent on the link.

    The links of a zone form a tree, and its relay is connected to all other relays. An increment is
    forwarded on all links except the one it arrived on. One that arrived from a relay is forwarded
    only within the zone. Each VM therefore counts an increment once.
    @tparam Key  an ordered type
    Thread safety: use one instance from one thread at a time. */
template<typename Key>
class LinkIncrements
{
public:
  /** Sets the links. A link that is still present keeps its unsent amounts.
      @param neighbours  links within the zone
      @param relays      links to other zones; empty unless this VM is a relay */
  void setLinks(const std::vector<ProcessId>& neighbours, const std::vector<ProcessId>& relays)
  {
    std::map<ProcessId, std::map<Key, double>> newUnsent;
    for (const auto& link : neighbours) {
      newUnsent[link] = std::move(unsent_[link]);
    }
    for (const auto& link : relays) {
      newUnsent[link] = std::move(unsent_[link]);
    }
    unsent_ = std::move(newUnsent);
    relays_ = { relays.begin(), relays.end() };
  }

  /** Adds an amount received from @p source; an empty source means this VM itself. */
  void add(const Key& key, double amount, const ProcessId& source)
  {
    const bool fromRelay = relays_.contains(source);
    for (auto& [link, amounts] : unsent_) {
      if (link != source && !(fromRelay && relays_.contains(link))) {
        amounts[key] += amount;
      }
    }
  }

  /** Returns the largest unsent amounts of a link, rounded towards zero, and marks them as sent.
      Fractions and the remaining entries stay unsent.
      @param link   a current link
      @param limit  maximum number of entries to return */
  std::vector<std::pair<Key, std::int64_t>> takeLargest(const ProcessId& link, std::size_t limit)
  {
    std::vector<std::pair<Key, std::int64_t>> result;
    auto& amounts = unsent_[link];
    for (const auto& [key, amount] : amounts) {
      if (std::abs(amount) >= 1) {
        result.emplace_back(key, static_cast<std::int64_t>(amount));
      }
    }
    const auto isLarger = [](const auto& a, const auto& b) {
      return std::abs(a.second) > std::abs(b.second);
    };
    std::stable_sort(result.begin(), result.end(), isLarger);
    result.resize(std::min(result.size(), limit));
    for (const auto& [key, amount] : result) {
      subtract(amounts, key, amount);
    }
    return result;
  }

private:
  static void subtract(std::map<Key, double>& amounts, const Key& key, std::int64_t amount)
  {
    const auto entry = amounts.find(key);
    entry->second -= static_cast<double>(amount);
    if (entry->second == 0) {
      amounts.erase(entry);
    }
  }

  std::map<ProcessId, std::map<Key, double>> unsent_;
  std::set<ProcessId> relays_;
};

} // namespace figchute::routing
