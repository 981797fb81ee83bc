#include "ledger/QuotaManagerImpl.h"

#include <algorithm>

/** The part of the quota manager that exchanges tokens with other holders. */
namespace figchute::ledger {

using detail::findOrAddTotal;

namespace {

/** The maximum number of holders from which a holder requests tokens. Control keeps the totals of
    each pair of holders and budget, so with all pairs its state would grow with the square of the
    number of holders. */
constexpr std::size_t kMaxTransferPartners = 16;
/** How long the unsuccessful transfer request of a peer counts as demand. The peer repeats its
    request within this time. */
constexpr Duration kPeerShortfallTime{ 300'000 };
/** The time after which an unanswered transfer request is sent to the next peer. */
constexpr Duration kTransferReplyTimeout{ 20'000 };
/** The time after which an unacknowledged transfer is resent. */
constexpr Duration kTransferResendInterval{ 50'000 };

} // namespace

std::vector<HolderId> QuotaManager::Impl::zonePeers() const
{
  std::vector<HolderId> peers;
  for (const auto& peer : peers_) {
    if (peer.entry && peer.live && peer.zone == settings_.zone &&
        peer.id.process != settings_.self.process) {
      peers.push_back(peer.id);
    }
  }
  return peers;
}

std::vector<HolderId> QuotaManager::Impl::transferPeers() const
{
  if (settings_.usesWitnesses) {
    return zonePeers();
  }
  std::vector<HolderId> peers;
  for (const auto& peer : peers_) {
    if (peer.entry && peer.live && peer.id.process != settings_.self.process) {
      peers.push_back(peer.id);
    }
  }
  return peers;
}

std::vector<HolderId> QuotaManager::Impl::selectTransferPartners() const
{
  auto peers = transferPeers();
  if (peers.size() <= kMaxTransferPartners) {
    return peers;
  }
  // Half of the partners are in the same availability zone, which may be isolated. The others are
  // spread evenly over the fleet. Both start after this holder, so they differ between holders.
  auto partners = rotateToStartAfterSelf(zonePeers());
  partners.resize(std::min(partners.size(), kMaxTransferPartners / 2));
  peers = rotateToStartAfterSelf(std::move(peers));
  std::erase_if(peers, [&partners](const HolderId& peer) {
    return std::find(partners.begin(), partners.end(), peer) != partners.end();
  });
  const auto others = kMaxTransferPartners - partners.size();
  for (std::size_t i = 0; i < others; ++i) {
    partners.push_back(peers[i * peers.size() / others]);
  }
  return partners;
}

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
    account.transferRefusals = 0;
  }
  auto shortfall = waitingTokens(id) - account.available();
  if (shortfall <= Tokens{ 0 } || transferPartners_.empty()) {
    return;
  }
  shortfall += account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon);
  account.transferRequestedAt = now;
  const auto& peer = transferPartners_[++account.transferPeerIndex % transferPartners_.size()];
  account.transferRequestedFrom = peer;
  outgoing_.push_back({ peer.process, TransferRequest{ settings_.self, id, shortfall } });
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const TransferRequest& message)
{
  const auto peers = transferPeers();
  if (retired_ || std::find(peers.begin(), peers.end(), message.holder) == peers.end()) {
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
  if (!settings_.usesWitnesses) {
    // A replaced incarnation receives nothing more; the tokens sent to it count as spent.
    std::erase_if(outTransfers_, [this](const auto& item) {
      const auto& receiver = item.first.peer;
      return std::any_of(peers_.begin(), peers_.end(), [&receiver](const Peer& peer) {
        return peer.id.process == receiver.process && peer.id.incarnation > receiver.incarnation;
      });
    });
  }
  for (auto& [transferKey, transfer] : outTransfers_) {
    if (transfer.recorded && transfer.sentAt + kTransferResendInterval <= now) {
      sendTransfer(now, transferKey, transfer);
    }
  }
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const Transfer& message)
{
  if (message.to != settings_.self || retired_) {
    return;
  }
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
  account.transferRequestedFrom = HolderId{};
  if (++account.transferRefusals < transferPartners_.size()) {
    account.transferRequestedAt = Time{};
    requestTransfers(now);
  }
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
