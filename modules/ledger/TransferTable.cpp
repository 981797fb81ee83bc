#include "ledger/TransferTable.h"

namespace figchute::ledger::detail {

const TransferTotals* TransferTable::find(const TransferPair& pair) const
{
  const auto transfer = totals_.find(pair);
  return transfer == totals_.end() ? nullptr : &transfer->second;
}

std::pair<TransferTotals&, bool> TransferTable::findOrAdd(const TransferPair& pair)
{
  const auto [transfer, added] = totals_.try_emplace(pair);
  if (added) {
    pairsByReceiver_.insert(pair);
  }
  return { transfer->second, added };
}

void TransferTable::erase(const TransferPair& pair)
{
  totals_.erase(pair);
  pairsByReceiver_.erase(pair);
}

std::vector<TransferPair> TransferTable::pairsOf(const HolderId& holder) const
{
  std::vector<TransferPair> pairs;
  for (auto sent = totals_.lower_bound({ holder, HolderId{} });
       sent != totals_.end() && sent->first.from == holder;
       ++sent) {
    pairs.push_back(sent->first);
  }
  for (auto received = pairsByReceiver_.lower_bound({ HolderId{}, holder });
       received != pairsByReceiver_.end() && received->to == holder;
       ++received) {
    if (received->from != holder) {
      pairs.push_back(*received);
    }
  }
  return pairs;
}

void TransferTable::msgpack_unpack(const msgpack::object& object)
{
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  totals_.clear();
  pairsByReceiver_.clear();
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    const auto& item = object.via.array.ptr[i];
    if (item.type != msgpack::type::ARRAY || item.via.array.size != kFields) {
      throw msgpack::type_error();
    }
    const auto* fields = item.via.array.ptr;
    const TransferPair pair{ fields[0].as<HolderId>(), fields[1].as<HolderId>() };
    findOrAdd(pair).first = {
      fields[2].as<Tokens>(), fields[3].as<Tokens>(), fields[4].as<bool>(), fields[5].as<bool>()
    };
  }
}

} // namespace figchute::ledger::detail
