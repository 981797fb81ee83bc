#include "ledger/QuotaManagerImpl.h"

#include <algorithm>

/** The part of the quota manager that exchanges tokens with other holders. */
namespace figchute::ledger {

using detail::findOrAddTotal;

namespace {

/** How long the unsuccessful transfer request of a peer counts as demand. The peer repeats its
    request within this time. */
constexpr Duration kPeerShortfallTime{ 300'000 };
/** The time after which an unanswered transfer request is sent to the next peer. */
constexpr Duration kTransferReplyTimeout{ 20'000 };
/** The pause after all peers have refused a transfer. Without it, a holder sends thousands of
    requests a second while nobody has tokens. */
constexpr Duration kTransferRoundPause{ 80'000 };
/** How long a peer that has not answered a transfer request in time is not asked again, unless it
    answers. A peer behind a full link answers late. */
constexpr Duration kUnresponsiveTime{ 250'000 };
/** The time after which an unacknowledged transfer is resent. */
constexpr Duration kTransferResendInterval{ 50'000 };

bool contains(const std::vector<HolderId>& ids, const HolderId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void QuotaManager::Impl::requestTransfers(Time now)
{
  // For holders with witnesses, control treats a transfer to an unregistered holder as not
  // received.
  const bool mayReceive = isRegistered() || !settings_.usesWitnesses;
  if (waiting_.empty() || !mayReceive || isControlReachable(now)) {
    return;
  }
  for (const auto& id : waitingBudgets()) {
    requestTransfer(now, id, findOrOpenAccount(id));
  }
}

void QuotaManager::Impl::requestTransfer(Time now, const BudgetId& id, Account& account)
{
  if (now < account.transferRequestedAt + kTransferReplyTimeout) {
    return;
  }
  if (account.transferRequestedAt != Time{}) {
    unresponsivePeers_[account.transferRequestedFrom] = now + kUnresponsiveTime;
    noteTransferRefusal(now, account);
  }
  if (now < account.nextTransferRoundAt) {
    return;
  }
  auto shortfall = waitingTokens(id) - account.available();
  if (shortfall <= Tokens{ 0 }) {
    return;
  }
  const auto peer = nextTransferPeer(now, account);
  if (!peer) {
    endTransferRound(now, account);
    return;
  }
  shortfall += account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon);
  account.transferRequestedAt = now;
  account.transferRequestedFrom = *peer;
  outgoing_.push_back({ peer->process, TransferRequest{ settings_.self, id, shortfall } });
}

std::optional<HolderId> QuotaManager::Impl::nextTransferPeer(Time now, Account& account)
{
  const auto partners = peers_.transferPartners();
  const auto isUsable = [&](const HolderId& peer) {
    const auto unresponsive = unresponsivePeers_.find(peer);
    return unresponsive == unresponsivePeers_.end() || unresponsive->second <= now;
  };
  while (account.transferRefusals < account.richestPeers.size()) {
    const auto& peer = account.richestPeers[account.transferRefusals];
    if (peers_.isTransferPeer(peer) && isUsable(peer)) {
      return peer;
    }
    ++account.transferRefusals;
  }
  for (std::size_t i = 0; i < partners.size(); ++i) {
    const auto& peer = partners[++account.transferPeerIndex % partners.size()];
    if (!contains(account.richestPeers, peer) && isUsable(peer)) {
      return peer;
    }
  }
  return std::nullopt;
}

void QuotaManager::Impl::noteTransferRefusal(Time now, Account& account)
{
  account.transferRequestedAt = Time{};
  account.transferRequestedFrom = HolderId{};
  const auto partners = peers_.transferPartners();
  const auto others = std::count_if(partners.begin(), partners.end(), [&](const HolderId& peer) {
    return !contains(account.richestPeers, peer);
  });
  if (++account.transferRefusals >=
      account.richestPeers.size() + static_cast<std::size_t>(others)) {
    endTransferRound(now, account);
  }
}

void QuotaManager::Impl::endTransferRound(Time now, Account& account)
{
  account.transferRefusals = 0;
  account.nextTransferRoundAt = now + kTransferRoundPause;
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const TransferRequest& message)
{
  if (retired_ || !peers_.isTransferPeer(message.holder)) {
    return;
  }
  const TransferKey transferKey{ message.budget, message.holder };
  const auto outTransfer = outTransfers_.find(transferKey);
  if (outTransfer != outTransfers_.end()) {
    return;
  }
  const auto accountEntry = accounts_.find(message.budget);
  Tokens amount;
  if (accountEntry != accounts_.end() && !accountEntry->second.closing) {
    // Of two holders that both need tokens, the one with the lower id gets them. If each kept a
    // part, both would refuse.
    const bool shouldTransfer =
      !hasWaitingRequests(message.budget) || message.holder < settings_.self;
    amount = shouldTransfer ? transferAmount(now, message, accountEntry->second) : Tokens{ 0 };
  }
  if (amount <= Tokens{ 0 }) {
    if (!settings_.usesWitnesses && accountEntry != accounts_.end()) {
      accountEntry->second.peerShortfall = message.requested;
      accountEntry->second.peerShortfallUntil = now + kPeerShortfallTime;
      unlockReserves(now);
      requestGrants(now, { &message.budget, 1 });
    }
    outgoing_.push_back(
      { from, Transfer{ 0, settings_.self, message.holder, message.budget, Tokens{} } });
    return;
  }
  findOrAddTotal(accountEntry->second.transfersOut, message.holder) += amount;
  markChanged(message.budget, accountEntry->second);
  outTransfers_[transferKey].id = ++transferId_;
  queueUntilRecorded(transferKey);
  flushRecords(now);
  processRecordedItems(now);
}

Tokens QuotaManager::Impl::transferAmount(Time now,
                                          const TransferRequest& message,
                                          const Account& account) const
{
  const auto maxAmount = settings_.usesWitnesses ? account.transferable() : account.available();
  // The holder keeps the tokens for its own expected demand, but at most half of its tokens.
  const auto keptAmount =
    std::min(account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon),
             Tokens{ account.available().count / 2 });
  const auto spareAmount = std::max(Tokens{ 0 }, account.available() - keptAmount);
  return std::min({ maxAmount, spareAmount, message.requested });
}

void QuotaManager::Impl::sendTransfer(Time now,
                                      const TransferKey& transferKey,
                                      OutTransfer& transfer)
{
  transfer.sentAt = now;
  auto& account = accounts_.at(transferKey.budget);
  outgoing_.push_back({ transferKey.peer.process,
                        Transfer{ transfer.id,
                                  settings_.self,
                                  transferKey.peer,
                                  transferKey.budget,
                                  findOrAddTotal(account.transfersOut, transferKey.peer) } });
}

void QuotaManager::Impl::resendTransfers(Time now)
{
  for (auto& [transferKey, transfer] : outTransfers_) {
    if (transfer.recorded && transfer.sentAt + kTransferResendInterval <= now) {
      sendTransfer(now, transferKey, transfer);
    }
  }
}

void QuotaManager::Impl::dropTransfersToReplaced()
{
  if (!settings_.usesWitnesses) {
    std::erase_if(outTransfers_,
                  [this](const auto& item) { return peers_.isReplaced(item.first.peer); });
  }
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const Transfer& message)
{
  if (message.to != settings_.self || retired_) {
    return;
  }
  unresponsivePeers_.erase(message.from);
  if (message.transferId == 0) {
    handleTransferRefusal(now, message);
    return;
  }
  auto& account = findOrOpenAccount(message.budget);
  if (account.closing && account.inSettleInFlight) {
    return;
  }
  account.closing = false;
  auto& total = findOrAddTotal(account.transfersIn, message.from);
  const bool totalIncreased = message.total > total;
  if (totalIncreased) {
    total = message.total;
    markChanged(message.budget, account);
    account.transferRequestedAt = Time{};
    account.nextTransferRoundAt = Time{};
  }
  outgoing_.push_back(
    { from,
      TransferAck{ message.transferId, message.from, settings_.self, message.budget, total } });
  admitWaiting(now);
  returnTokensIfBudgetLow(now, message.budget, account);
  requestTransfers(now);
}

void QuotaManager::Impl::handleTransferRefusal(Time now, const Transfer& message)
{
  const auto accountEntry = accounts_.find(message.budget);
  if (accountEntry == accounts_.end() ||
      accountEntry->second.transferRequestedFrom != message.from) {
    return;
  }
  // Each peer gets one request per round. A duplicate answer must not cause another request.
  auto& account = accountEntry->second;
  noteTransferRefusal(now, account);
  requestTransfers(now);
}

void QuotaManager::Impl::handle(Time /*now*/, const ProcessId& /*from*/, const TransferAck& message)
{
  const TransferKey transferKey{ message.budget, message.to };
  const auto outTransfer = outTransfers_.find(transferKey);
  if (message.from == settings_.self && outTransfer != outTransfers_.end() &&
      outTransfer->second.id == message.transferId) {
    outTransfers_.erase(outTransfer);
  }
}

} // namespace figchute::ledger
