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

/** Collects amounts by key that each link still has to be told. The links of a zone form a tree and
    its relay is linked with all other relays. An increment is passed on to all links but its
   source, and from relays to the own zone only, so that it is counted once at each VM.
    @tparam Key  an ordered type
    Thread safety: use one instance from one thread at a time. */
template<typename Key>
class LinkIncrements
{
public:
  /** Replaces the links. A link that stays keeps what it is owed.
      @param neighbours  links in the zone
      @param relays      links to other zones; empty unless this VM is a relay */
  void setLinks(const std::vector<ProcessId>& neighbours, const std::vector<ProcessId>& relays)
  {
    std::map<ProcessId, std::map<Key, double>> kept;
    for (const auto& link : neighbours) {
      kept[link] = std::move(owed_[link]);
    }
    for (const auto& link : relays) {
      kept[link] = std::move(owed_[link]);
    }
    owed_ = std::move(kept);
    relays_ = { relays.begin(), relays.end() };
  }

  /** Adds an amount that came from @p source; an empty source is this VM itself. */
  void add(const Key& key, double amount, const ProcessId& source)
  {
    const bool fromRelay = relays_.contains(source);
    for (auto& [link, amounts] : owed_) {
      if (link != source && !(fromRelay && relays_.contains(link))) {
        amounts[key] += amount;
      }
    }
  }

  /** Takes the largest whole amounts of a link; fractions and the rest stay for later.
      @param link   a current link
      @param limit  the largest number of entries to take */
  std::vector<std::pair<Key, std::int64_t>> take(const ProcessId& link, std::size_t limit)
  {
    std::vector<std::pair<Key, std::int64_t>> result;
    auto& amounts = owed_[link];
    for (const auto& [key, amount] : amounts) {
      if (std::abs(amount) >= 1) {
        result.emplace_back(key, static_cast<std::int64_t>(amount));
      }
    }
    const auto larger = [](const auto& a, const auto& b) {
      return std::abs(a.second) > std::abs(b.second);
    };
    std::stable_sort(result.begin(), result.end(), larger);
    result.resize(std::min(result.size(), limit));
    for (const auto& [key, amount] : result) {
      subtract(amounts, key, amount);
    }
    return result;
  }

private:
  static void subtract(std::map<Key, double>& amounts, const Key& key, std::int64_t amount)
  {
    const auto found = amounts.find(key);
    found->second -= static_cast<double>(amount);
    if (found->second == 0) {
      amounts.erase(found);
    }
  }

  std::map<ProcessId, std::map<Key, double>> owed_;
  std::set<ProcessId> relays_;
};

} // namespace figchute::routing
