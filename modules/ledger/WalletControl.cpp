#include "ledger/WalletImpl.h"

#include <algorithm>

namespace figchute::ledger {

using detail::totalOf;

namespace {

/** How long unreserved tokens are returned at once after control reported a low budget. */
constexpr Duration kBudgetLowTime{ 1'000'000 };
/** The longest pause between two grant requests for waiting requests. */
constexpr Duration kMaxGrantRequestPause{ 40'000 };
/** The pause before the next grant request after control refused one, for example because the
    holder is not registered. */
constexpr Duration kRefusedGrantPause{ 50'000 };
/** The interval at which a holder asks control to adjust its reserve. */
constexpr Duration kReserveCheckInterval{ 2'000'000 };
/** How long the unsuccessful transfer request of a peer counts as demand. The peer repeats its
    request within this time. */
constexpr Duration kPeerShortfallTime{ 300'000 };
/** The time after which the next peer is asked when one does not answer a transfer request. */
constexpr Duration kTransferReplyTimeout{ 20'000 };
/** The time after which an unacknowledged transfer is resent. */
constexpr Duration kTransferResendInterval{ 50'000 };
/** The interval at which all accounts are checked for idle tokens and for closing. */
constexpr Duration kMaintenanceInterval{ 500'000 };
/** The maximum number of items of each kind in one Settle. The totals of an account take about 60
    bytes, so a batch stays far below 512 KiB. */
constexpr std::size_t kMaxSettleItems = 1000;
/** The multiple of the expected demand that a busy holder keeps when it returns unused tokens. */
constexpr std::int64_t kExcessFactor = 2;
/** The expected demand covers at least this many requests of the recent size, because a holder with
    little traffic would otherwise request a grant for each request. */
constexpr std::int64_t kMinRequestsPerGrant = 4;

} // namespace

bool Wallet::Impl::hasWaiting(const BudgetId& id) const
{
  return std::any_of(waiting_.begin(), waiting_.end(), [&id](const WaitingRequest& waiting) {
    const auto& budgets = waiting.reservation.budgets;
    return std::find(budgets.begin(), budgets.end(), id) != budgets.end();
  });
}

Tokens Wallet::Impl::waitingTokens(const BudgetId& id) const
{
  Tokens sum;
  for (const auto& waiting : waiting_) {
    const auto& budgets = waiting.reservation.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) != budgets.end()) {
      sum += waiting.reservation.bound;
    }
  }
  return sum;
}

std::vector<BudgetId> Wallet::Impl::waitingBudgets() const
{
  std::set<BudgetId> budgets;
  for (const auto& waiting : waiting_) {
    budgets.insert(waiting.reservation.budgets.begin(), waiting.reservation.budgets.end());
  }
  return { budgets.begin(), budgets.end() };
}

Tokens Wallet::Impl::idleAmount(Time now, const Account& account) const
{
  const auto share = now < account.initialGrantUntil ? settings_.initialShare : settings_.idleShare;
  const auto fleetAmount = static_cast<double>(account.prepaid.count) * share;
  return Tokens{ static_cast<std::int64_t>(fleetAmount / static_cast<double>(entryCount_)) };
}

Tokens Wallet::Impl::expectedDemand(Time now, const Account& account) const
{
  const auto bound = settings_.usesWitnesses ? account.lastBound : account.largestBound;
  const auto expected =
    std::max(account.demandWithin(now, settings_.demandWindow, settings_.grantHorizon),
             Tokens{ kMinRequestsPerGrant * bound.count });
  return std::max(expected, idleAmount(now, account));
}

std::optional<GrantItem> Wallet::Impl::grantItemFor(Time now,
                                                    const BudgetId& id,
                                                    const Account& account)
{
  if (account.grantProposal != 0 || account.closing) {
    return std::nullopt;
  }
  const auto available = account.available();
  Tokens totalWaiting;
  Tokens smallestShortfall;
  for (const auto& waiting : waiting_) {
    const auto& budgets = waiting.reservation.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) == budgets.end()) {
      continue;
    }
    totalWaiting += waiting.reservation.bound;
    const auto shortfall = waiting.reservation.bound - available;
    if (shortfall > Tokens{ 0 } &&
        (smallestShortfall == Tokens{ 0 } || shortfall < smallestShortfall)) {
      smallestShortfall = shortfall;
    }
  }
  // A holder that reaches control also requests tokens for a peer that does not.
  if (now < account.peerShortfallUntil && account.peerShortfall > available) {
    totalWaiting += account.peerShortfall;
    smallestShortfall =
      smallestShortfall == Tokens{ 0 } ? account.peerShortfall - available : smallestShortfall;
  }
  if (smallestShortfall > Tokens{ 0 } && now < account.nextGrantRequestAt) {
    return std::nullopt;
  }
  const auto requested = std::max(Tokens{ 0 }, totalWaiting - available);
  Tokens demand;
  if (!account.budgetLow(now) &&
      (smallestShortfall > Tokens{ 0 } || now >= account.nextDemandRequestAt)) {
    const auto expected = expectedDemand(now, account);
    // The next grant is requested early, so that requests at a busy holder seldom wait.
    const auto reference =
      account.availableAfterGrant > Tokens{ 0 } ? account.availableAfterGrant : expected;
    // Without witnesses, the unlocked tokens have to last until the reserve may be unlocked, so
    // they are refilled at 3/4 of the last level rather than at 1/2.
    const bool low = settings_.usesWitnesses ? 2 * available.count < reference.count
                                             : 4 * available.count < 3 * reference.count;
    if (requested > Tokens{ 0 } || low) {
      demand = std::max(Tokens{ 0 }, expected - available);
    }
  }
  if (smallestShortfall == Tokens{ 0 } && demand == Tokens{ 0 } && !reserveCheckDue(now, account)) {
    return std::nullopt;
  }
  return GrantItem{ id,
                    ++grantSequence_,
                    smallestShortfall == Tokens{ 0 } ? Tokens{ 0 } : requested,
                    smallestShortfall,
                    demand };
}

void Wallet::Impl::requestGrants(Time now, std::span<const BudgetId> budgets)
{
  if (!isRegistered() || draining_ || handingOver_ || retired_) {
    return;
  }
  Grant command{ settings_.self, {} };
  for (const auto& id : budgets) {
    if (const auto item = grantItemFor(now, id, accountFor(id))) {
      command.items.push_back(*item);
    }
  }
  if (command.items.empty()) {
    return;
  }
  const auto proposal = proposer_.propose(now, command);
  for (const auto& item : command.items) {
    accounts_.at(item.budget).grantProposal = proposal;
    grantProposals_[proposal].push_back(item.budget);
  }
}

void Wallet::Impl::handle(Time now, const ProcessId& from, const ProposeReply& message)
{
  if (const auto reply = proposer_.receive(now, from, message)) {
    handleReply(now, *reply);
  }
}

void Wallet::Impl::handleReply(Time now, const Proposer::Reply& reply)
{
  if (const auto* grant = std::get_if<GrantResult>(&reply.result)) {
    handleGrant(now, reply.proposalId, *grant);
  }
  if (const auto* settled = std::get_if<SettleResult>(&reply.result)) {
    handleSettle(now, *settled);
  }
  if (const auto* registered = std::get_if<RegisterResult>(&reply.result)) {
    handleRegister(now, *registered);
  }
  const auto retirement = retireProposals_.find(reply.proposalId);
  if (retirement != retireProposals_.end()) {
    retired_ = retired_ || retirement->second == settings_.self;
    earlierRecords_.erase(retirement->second);
    writeJournal(JournalRetired{ retirement->second });
    retireProposals_.erase(retirement);
  }
}

bool Wallet::Impl::handleVerdict(Time now, const Verdict& verdict)
{
  if (verdict.ok()) {
    return true;
  }
  if (*verdict.error == ErrorKind::shuttingDown) {
    becomeRetired();
  }
  if (*verdict.error == ErrorKind::notFound) {
    registeredWitnesses_.clear();
    registeredWithoutWitnesses_ = false;
    nextRegisterAt_ = now;
    registerIfNeeded(now);
  }
  return false;
}

void Wallet::Impl::handleGrant(Time now, std::uint64_t proposal, const GrantResult& result)
{
  const bool granted = handleVerdict(now, result.verdict);
  for (const auto& id : grantProposals_[proposal]) {
    auto& account = accounts_.at(id);
    account.grantProposal = 0;
    account.nextDemandRequestAt = now + settings_.demandRequestInterval;
    account.nextGrantRequestAt = granted ? now : now + kRefusedGrantPause;
  }
  grantProposals_.erase(proposal);
  for (const auto& item : result.items) {
    auto& account = accountFor(item.budget);
    account.granted = std::max(account.granted, item.granted);
    account.unlocked = std::max(account.unlocked, item.unlocked);
    account.confirmedUnlocked = std::max(account.confirmedUnlocked, item.unlocked);
    account.nextReserveCheckAt = now + kReserveCheckInterval;
    returnReserve(item.budget, account, std::min(item.excessReserve, account.reserve()));
    account.budgetLowUntil = item.budgetLow ? now + kBudgetLowTime : Time{};
    if (!settings_.usesWitnesses) {
      account.availableAfterGrant = account.available();
    }
  }
  admitWaiting(now);
  for (const auto& item : result.items) {
    auto& account = accounts_.at(item.budget);
    if (hasWaiting(item.budget)) {
      account.grantRequestPause =
        std::clamp(account.grantRequestPause + account.grantRequestPause / 2,
                   settings_.grantRetryInterval,
                   kMaxGrantRequestPause);
      account.nextGrantRequestAt = now + account.grantRequestPause;
    } else {
      account.grantRequestPause = Duration{ 0 };
    }
    if (!settings_.usesWitnesses) {
      refuseUncovered(now, item.budget);
    }
    returnIfBudgetLow(now, item.budget, account);
  }
  requestTransfers(now);
  sendSettle(now);
}

void Wallet::Impl::returnIfBudgetLow(Time now, const BudgetId& id, Account& account)
{
  // Tokens returned while control is unreachable could be used by nobody, but kept tokens can be
  // transferred to peers.
  if (draining_) {
    account.unlocked = account.granted;
  }
  const bool low = draining_ || (account.budgetLow(now) && controlReachable(now));
  if (low && account.available() > Tokens{ 0 } && !account.closing &&
      (draining_ || !hasWaiting(id))) {
    returnTokens(id, account, account.available());
  }
}

void Wallet::Impl::returnTokens(const BudgetId& id, Account& account, Tokens amount)
{
  account.returned += amount;
  account.updateMaxGrantUsed();
  account.dirty = true;
  dirtyBudgets_.insert(id);
  urgentBudgets_.insert(id);
  settleUrgent_ = true;
}

void Wallet::Impl::returnReserve(const BudgetId& id, Account& account, Tokens amount)
{
  if (amount > Tokens{ 0 }) {
    account.unlocked += amount;
    returnTokens(id, account, amount);
  }
}

void Wallet::Impl::handle(Time now, const ProcessId& /*from*/, const Recall& message)
{
  if (message.holder != settings_.self || retired_) {
    return;
  }
  auto& account = accountFor(message.budget);
  if (account.closing) {
    return;
  }
  returnUnreserved(now, message.budget);
}

void Wallet::Impl::returnUnreserved(Time now, const BudgetId& id)
{
  auto& account = accountFor(id);
  account.budgetLowUntil = now + kBudgetLowTime;
  urgentBudgets_.insert(id);
  dirtyBudgets_.insert(id);
  settleUrgent_ = true;
  account.unlocked = account.granted;
  // Nothing is kept for waiting requests: two holders that each keep a part of the tokens that
  // either needs would both refuse.
  if (account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available());
  }
  sendSettle(now);
}

void Wallet::Impl::handleBudgetLowered(Time now, const BudgetId& budget)
{
  const auto found = accounts_.find(budget);
  const bool holds = found != accounts_.end() && !found->second.closing && !retired_;
  if (holds && found->second.available() + found->second.reserve() > Tokens{ 0 }) {
    returnUnreserved(now, budget);
  }
}

void Wallet::Impl::setBudgets(Time now, std::span<const PrepaidBudget> budgets)
{
  std::map<BudgetId, Tokens> named;
  std::vector<BudgetId> raised;
  for (const auto& [id, prepaid] : budgets) {
    named[id] = prepaid;
    if (prepaid > accountFor(id).prepaid) {
      raised.push_back(id);
    }
  }
  std::vector<BudgetId> lowered;
  for (auto& [id, account] : accounts_) {
    const auto found = named.find(id);
    const auto prepaid = found == named.end() ? Tokens{ 0 } : found->second;
    if (prepaid < account.prepaid) {
      lowered.push_back(id);
    }
    if (prepaid > account.prepaid) {
      account.initialGrantUntil = now + settings_.initialGrantHold;
    }
    account.prepaid = prepaid;
    account.availableAfterGrant = Tokens{ 0 };
  }
  for (const auto& id : lowered) {
    handleBudgetLowered(now, id);
  }
  if (settings_.initialShare > 0) {
    requestGrants(now, raised);
  }
}

void Wallet::Impl::requestInitialGrants(Time now)
{
  std::vector<BudgetId> budgets;
  for (const auto& [id, account] : accounts_) {
    if (idleAmount(now, account) > Tokens{ 0 }) {
      budgets.push_back(id);
    }
  }
  requestGrants(now, budgets);
}

void Wallet::Impl::sendSettle(Time now)
{
  if (settleInFlight_ || !isRegistered() || retired_) {
    return;
  }
  // A Settle that cannot arrive would count as contact and delay the unlocking of reserves.
  if (!settings_.usesWitnesses && controlLost_) {
    return;
  }
  const bool batch = now >= nextSettleAt_ || draining_;
  if (!batch && !settleUrgent_) {
    return;
  }
  Settle settle{ settings_.self, settleSequence_ + 1, {}, {}, {}, {} };
  SettleInFlight inFlight{ 0, settle.sequence, {}, {}, {} };
  auto& pendingBudgets = batch ? dirtyBudgets_ : urgentBudgets_;
  while (!pendingBudgets.empty() && settle.totals.size() < kMaxSettleItems) {
    const auto id = *pendingBudgets.begin();
    auto& account = accounts_.at(id);
    settle.totals.push_back(account.totals(id));
    inFlight.clocks[id] = account.changedClock;
    inFlight.unlocked[id] = account.unlocked;
    account.dirty = false;
    account.settling = true;
    dirtyBudgets_.erase(id);
    urgentBudgets_.erase(id);
  }
  if (batch) {
    for (const auto& [sequence, pending] : unsettledCharges_) {
      if (settle.keyed.size() < kMaxSettleItems) {
        settle.keyed.push_back(pending.charge);
      }
    }
    addClosing(settle);
    nextSettleAt_ = now + settings_.settleInterval;
  }
  settleUrgent_ = !urgentBudgets_.empty();
  if (settle.totals.empty() && settle.keyed.empty() && settle.closing.empty()) {
    return;
  }
  // A Settle that does not report all unlocked tokens must not count as contact for control.
  const bool allIncluded =
    std::all_of(accounts_.begin(), accounts_.end(), [&inFlight](const auto& item) {
      return item.second.unlocked <= item.second.confirmedUnlocked ||
             inFlight.unlocked.contains(item.first);
    });
  settle.createdAt = allIncluded ? wallTime_ : Time{};
  ++settleSequence_;
  lastContactAt_ = now;
  inFlight.closing = settle.closing;
  inFlight.proposal = proposer_.propose(now, settle);
  settleInFlight_ = std::move(inFlight);
}

void Wallet::Impl::addClosing(Settle& settle)
{
  for (auto& [id, account] : accounts_) {
    const bool ready = !settings_.hasJournal || journalSynced_ >= account.closeAfterJournalCount;
    if (account.closing && ready && settle.closing.size() < kMaxSettleItems) {
      settle.closing.push_back(id);
      account.settling = true;
    }
  }
}

void Wallet::Impl::handleSettle(Time now, const SettleResult& result)
{
  if (!settleInFlight_ || settleInFlight_->sequence != result.sequence) {
    return;
  }
  const auto inFlight = *std::exchange(settleInFlight_, std::nullopt);
  const bool known =
    handleVerdict(now, result.verdict) || *result.verdict.error == ErrorKind::badRequest;
  for (const auto& [id, clock] : inFlight.clocks) {
    auto& account = accounts_.at(id);
    account.settling = false;
    if (known) {
      confirmTotals(id, account, clock);
      account.confirmedUnlocked = std::max(account.confirmedUnlocked, inFlight.unlocked.at(id));
    } else {
      dirtyBudgets_.insert(id);
    }
  }
  handleBills(now, result.bills);
  for (const auto& final : result.finalTransfers) {
    handleFinalTransfer(final);
  }
  for (const auto& id : inFlight.closing) {
    auto& account = accounts_.at(id);
    account.settling = false;
    account.closing = false;
    if (std::find(result.closed.begin(), result.closed.end(), id) != result.closed.end()) {
      accounts_.erase(id);
    }
  }
  admitWaiting(now);
  requestGrants(now, waitingBudgets());
  sendSettle(now);
}

void Wallet::Impl::handleBills(Time now, const std::vector<KeyedBill>& bills)
{
  for (const auto& bill : bills) {
    const auto found = unsettledCharges_.find(bill.sequence);
    if (found == unsettledCharges_.end()) {
      continue;
    }
    const auto charge = found->second.charge;
    unsettledCharges_.erase(found);
    keyedSettledThrough_ = bill.sequence;
    for (std::size_t i = 0; i < charge.budgets.size() && i < bill.charged.size(); ++i) {
      auto& account = accounts_.at(charge.budgets[i]);
      account.keyedPending -= charge.amount;
      account.keyedSettled += bill.charged[i];
      returnIfBudgetLow(now, charge.budgets[i], account);
    }
  }
  if (!bills.empty()) {
    writeJournal(JournalSettled{ keyedSettledThrough_ });
  }
}

void Wallet::Impl::handleFinalTransfer(const FinalTransfer& final)
{
  auto& account = accountFor(final.budget);
  if (final.to == settings_.self) {
    auto& total = totalOf(account.transfersIn, final.from);
    total = std::max(total, final.total);
  }
  if (final.from == settings_.self) {
    totalOf(account.transfersOut, final.to) = final.total;
    outTransfers_.erase({ final.budget, final.to });
  }
  markChanged(final.budget, account);
}

std::vector<HolderId> Wallet::Impl::zonePeers() const
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

std::vector<HolderId> Wallet::Impl::transferPeers() const
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

void Wallet::Impl::requestTransfers(Time now)
{
  // For holders with witnesses, control treats a transfer to an unregistered holder as not
  // received.
  const bool mayReceive = isRegistered() || !settings_.usesWitnesses;
  if (waiting_.empty() || !mayReceive || controlReachable(now)) {
    return;
  }
  for (const auto& id : waitingBudgets()) {
    requestTransfer(now, id, accountFor(id));
  }
}

void Wallet::Impl::requestTransfer(Time now, const BudgetId& id, Account& account)
{
  if (now < account.transferRequestedAt + kTransferReplyTimeout) {
    return;
  }
  if (account.transferRequestedAt != Time{}) {
    account.transferRefusals = 0;
  }
  auto shortfall = waitingTokens(id) - account.available();
  const auto peers = transferPeers();
  if (shortfall <= Tokens{ 0 } || peers.empty()) {
    return;
  }
  shortfall += account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon);
  account.transferRequestedAt = now;
  const auto& peer = peers[++account.transferPeerIndex % peers.size()];
  account.transferRequestedFrom = peer;
  outgoing_.push_back({ peer.process, TransferRequest{ settings_.self, id, shortfall } });
}

void Wallet::Impl::handle(Time now, const ProcessId& from, const TransferRequest& message)
{
  const auto peers = transferPeers();
  if (retired_ || std::find(peers.begin(), peers.end(), message.holder) == peers.end()) {
    return;
  }
  const TransferKey transferKey{ message.budget, message.holder };
  const auto pending = outTransfers_.find(transferKey);
  if (pending != outTransfers_.end()) {
    return;
  }
  const auto found = accounts_.find(message.budget);
  Tokens amount;
  if (found != accounts_.end() && !found->second.closing) {
    // Of two holders that both need tokens, the one with the lower id gets them. If each kept a
    // part, both would refuse.
    const bool give = !hasWaiting(message.budget) || message.holder < settings_.self;
    amount = give ? transferAmount(now, message, found->second) : Tokens{ 0 };
  }
  if (amount <= Tokens{ 0 }) {
    if (!settings_.usesWitnesses && found != accounts_.end()) {
      found->second.peerShortfall = message.requested;
      found->second.peerShortfallUntil = now + kPeerShortfallTime;
      unlockReserves(now);
      requestGrants(now, { &message.budget, 1 });
    }
    outgoing_.push_back(
      { from, Transfer{ 0, settings_.self, message.holder, message.budget, Tokens{} } });
    return;
  }
  totalOf(found->second.transfersOut, message.holder) += amount;
  markChanged(message.budget, found->second);
  outTransfers_[transferKey].id = ++transferId_;
  awaitRecord(transferKey);
  flushRecords(now);
  releaseRecorded(now);
}

Tokens Wallet::Impl::transferAmount(Time now,
                                    const TransferRequest& message,
                                    const Account& account) const
{
  const auto maximum = settings_.usesWitnesses ? account.transferable() : account.available();
  // The holder keeps the tokens for its own expected demand, but at most half of its tokens.
  const auto kept =
    std::min(account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon),
             Tokens{ account.available().count / 2 });
  const auto spare = std::max(Tokens{ 0 }, account.available() - kept);
  return std::min({ maximum, spare, message.requested });
}

void Wallet::Impl::sendTransfer(Time now, const TransferKey& transferKey, OutTransfer& transfer)
{
  transfer.sentAt = now;
  auto& account = accounts_.at(transferKey.budget);
  outgoing_.push_back({ transferKey.peer.process,
                        Transfer{ transfer.id,
                                  settings_.self,
                                  transferKey.peer,
                                  transferKey.budget,
                                  totalOf(account.transfersOut, transferKey.peer) } });
}

void Wallet::Impl::resendTransfers(Time now)
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

void Wallet::Impl::handle(Time now, const ProcessId& from, const Transfer& message)
{
  if (message.to != settings_.self || retired_) {
    return;
  }
  if (message.transferId == 0) {
    handleTransferRefusal(now, message);
    return;
  }
  auto& account = accountFor(message.budget);
  if (account.closing && account.settling) {
    return;
  }
  account.closing = false;
  auto& total = totalOf(account.transfersIn, message.from);
  const bool more = message.total > total;
  if (more) {
    total = message.total;
    markChanged(message.budget, account);
    account.transferRequestedAt = Time{};
  }
  outgoing_.push_back(
    { from,
      TransferAck{ message.transferId, message.from, settings_.self, message.budget, total } });
  admitWaiting(now);
  returnIfBudgetLow(now, message.budget, account);
  requestTransfers(now);
}

void Wallet::Impl::handleTransferRefusal(Time now, const Transfer& message)
{
  const auto found = accounts_.find(message.budget);
  if (found == accounts_.end() || found->second.transferRequestedFrom != message.from) {
    return;
  }
  // Each peer is asked once per round. A duplicate answer must not cause another request.
  auto& account = found->second;
  account.transferRequestedFrom = HolderId{};
  if (++account.transferRefusals < transferPeers().size()) {
    account.transferRequestedAt = Time{};
    requestTransfers(now);
  }
}

void Wallet::Impl::handle(Time /*now*/, const ProcessId& /*from*/, const TransferAck& message)
{
  const TransferKey transferKey{ message.budget, message.to };
  const auto found = outTransfers_.find(transferKey);
  if (message.from == settings_.self && found != outTransfers_.end() &&
      found->second.id == message.transferId) {
    outTransfers_.erase(found);
  }
}

void Wallet::Impl::maintain(Time now)
{
  if (now < lastMaintenanceAt_ + kMaintenanceInterval) {
    return;
  }
  lastMaintenanceAt_ = now;
  std::vector<BudgetId> due;
  for (auto& [id, account] : accounts_) {
    maintainAccount(now, id, account);
    if (reserveCheckDue(now, account)) {
      due.push_back(id);
    }
  }
  requestGrants(now, due);
}

void Wallet::Impl::maintainAccount(Time now, const BudgetId& id, Account& account)
{
  if (closable(now, id, account)) {
    account.closing = true;
    writeJournal(JournalClosed{ id });
    account.closeAfterJournalCount = journalCount_;
    return;
  }
  if (account.closing || hasWaiting(id) || !controlReachable(now)) {
    return;
  }
  const bool idle = account.lastReservationAt + settings_.idleTimeout <= now;
  const auto keep =
    idle ? idleAmount(now, account) : Tokens{ kExcessFactor * expectedDemand(now, account).count };
  if (account.available().count > 2 * keep.count && account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available() - keep);
  }
}

bool Wallet::Impl::closable(Time now, const BudgetId& id, const Account& account) const
{
  const bool idle = account.lastReservationAt + settings_.idleTimeout <= now;
  const bool noneInFlight = !account.closing && !account.settling && !dirtyBudgets_.contains(id) &&
                            account.grantProposal == 0 && account.recordedBy.empty() &&
                            account.changedClock <= account.confirmedClock;
  const bool empty = account.held() == Tokens{ 0 } && account.reserved == Tokens{ 0 } &&
                     account.keyedPending == Tokens{ 0 } && account.prepaid == Tokens{ 0 } &&
                     account.transfersIn.empty() && account.transfersOut.empty();
  return idle && noneInFlight && empty && !hasWaiting(id);
}

} // namespace figchute::ledger
