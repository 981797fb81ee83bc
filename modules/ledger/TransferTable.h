#pragma once

#include "ledger/Command.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace figchute::ledger::detail {

/** The sender and the receiver of transfers. */
struct TransferPair
{
  HolderId from;
  HolderId to;

  auto operator<=>(const TransferPair&) const = default;
  [[nodiscard]] bool contains(const HolderId& holder) const
  {
    return from == holder || to == holder;
  }
};

/** The cumulative transfers of one budget from one holder to another. */
struct TransferTotals
{
  /** The cumulative total as reported by the sender or its records. */
  Tokens sent;
  /** The cumulative total as reported by the receiver or its records. */
  Tokens received;
  bool senderRetired = false;
  bool receiverRetired = false;

  /** Returns the total that counts for both accounts. Tokens in transit count as held by the
      receiver. A retired receiver accepts nothing more, so what it has not recorded stays with the
      sender. */
  [[nodiscard]] Tokens total() const
  {
    return receiverRetired ? received : std::max(sent, received);
  }
};

/** The transfers of one budget by sender and receiver. The pairs of one holder are found without a
    search through all pairs, whose number grows with that of the holders. A snapshot contains the
    transfers as a list of [from, to, sent, received, senderRetired, receiverRetired].
    Thread safety: use one instance from one thread only. */
class TransferTable
{
public:
  /** Returns the transfers of a pair, or nullptr if there were none. */
  [[nodiscard]] const TransferTotals* find(const TransferPair& pair) const;

  /** Returns the transfers of a pair, and whether the pair was missing and is added. The reference
     is valid until the pair is erased. */
  std::pair<TransferTotals&, bool> findOrAdd(const TransferPair& pair);

  /** Removes a pair, if it exists. */
  void erase(const TransferPair& pair);

  /** Returns the pairs in which a holder is the sender or the receiver. */
  [[nodiscard]] std::vector<TransferPair> pairsOf(const HolderId& holder) const;

  /** Returns all transfers, sorted by sender. */
  [[nodiscard]] const std::map<TransferPair, TransferTotals>& totals() const { return totals_; }

  template<typename Packer>
  void msgpack_pack(Packer& packer) const
  {
    packer.pack_array(static_cast<std::uint32_t>(totals_.size()));
    for (const auto& [pair, transfer] : totals_) {
      packer.pack_array(kFields);
      packer.pack(pair.from);
      packer.pack(pair.to);
      packer.pack(transfer.sent);
      packer.pack(transfer.received);
      packer.pack(transfer.senderRetired);
      packer.pack(transfer.receiverRetired);
    }
  }

  void msgpack_unpack(const msgpack::object& object);

private:
  static constexpr std::uint32_t kFields = 6;

  struct OrderByReceiver
  {
    bool operator()(const TransferPair& a, const TransferPair& b) const
    {
      return std::tie(a.to, a.from) < std::tie(b.to, b.from);
    }
  };

  std::map<TransferPair, TransferTotals> totals_;
  /** The pairs of totals_. */
  std::set<TransferPair, OrderByReceiver> pairsByReceiver_;
};

} // namespace figchute::ledger::detail
