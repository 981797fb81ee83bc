#include "ledger/WalletImpl.h"

#include <algorithm>

namespace figchute::ledger {

using detail::totalOf;

namespace {

/** After control reported a low budget, unreserved tokens go back at once for this time. */
constexpr Duration kScarceTime{ 1'000'000 };
/** Longest pause between two requests for a waiting request. */
constexpr Duration kLongestAskPause{ 40'000 };
/** Pause after a refusal because the holder is not registered. */
constexpr Duration kRegisterPause{ 50'000 };
/** A holder asks control so often whether its reserve has the right size. */
constexpr Duration kReserveInterval{ 2'000'000 };
/** What a peer asked for in vain counts as demand for this time; it asks again within it. */
constexpr Duration kPeerWantTime{ 300'000 };
/** A peer that did not answer a transfer request is passed over after this time. */
constexpr Duration kTransferWait{ 20'000 };
/** An unacknowledged transfer is sent again after this time. */
constexpr Duration kTransferResend{ 50'000 };
/** Interval of the scan over all accounts. */
constexpr Duration kMaintenanceInterval{ 500'000 };
/** Lines of one Settle; a line takes about 60 bytes, so a batch stays far below 512 KiB. */
constexpr std::size_t kMaxSettleLines = 1000;
/** Unused tokens above this multiple of the expected demand are returned. */
constexpr std::int64_t kExcessFactor = 2;
/** A grant covers at least this many requests of the last size when the budget has plenty, because
   a holder with little traffic would otherwise ask for each request. */
constexpr std::int64_t kSpareRequests = 4;

} // namespace

bool Wallet::Impl::hasWaiting(const BudgetId& id) const
{
  return std::any_of(waiting_.begin(), waiting_.end(), [&id](const Waiting& waiting) {
    const auto& budgets = waiting.wanted.budgets;
    return std::find(budgets.begin(), budgets.end(), id) != budgets.end();
  });
}

Tokens Wallet::Impl::waitingFor(const BudgetId& id) const
{
  Tokens sum;
  for (const auto& waiting : waiting_) {
    const auto& budgets = waiting.wanted.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) != budgets.end()) {
      sum += waiting.wanted.bound;
    }
  }
  return sum;
}

std::vector<BudgetId> Wallet::Impl::waitingBudgets() const
{
  std::set<BudgetId> budgets;
  for (const auto& waiting : waiting_) {
    budgets.insert(waiting.wanted.budgets.begin(), waiting.wanted.budgets.end());
  }
  return { budgets.begin(), budgets.end() };
}

Tokens Wallet::Impl::startOf(Time now, const Account& account) const
{
  const auto share = now < account.startUntil ? settings_.startShare : settings_.idleShare;
  const auto all = static_cast<double>(account.prepaid.count) * share;
  return Tokens{ static_cast<std::int64_t>(all / static_cast<double>(entries_)) };
}

Tokens Wallet::Impl::expectedDemand(Time now, const Account& account) const
{
  const auto bound = settings_.witnesses ? account.lastBound : account.largestBound;
  const auto ahead =
    std::max(account.demandWithin(now, settings_.demandWindow, settings_.grantHorizon),
             Tokens{ kSpareRequests * bound.count });
  return std::max(ahead, startOf(now, account));
}

std::optional<GrantItem> Wallet::Impl::grantItemFor(Time now,
                                                    const BudgetId& id,
                                                    const Account& account)
{
  if (account.grantProposal != 0 || account.closing) {
    return std::nullopt;
  }
  const auto available = account.available();
  Tokens wanted;
  Tokens smallest;
  for (const auto& waiting : waiting_) {
    const auto& budgets = waiting.wanted.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) == budgets.end()) {
      continue;
    }
    wanted += waiting.wanted.bound;
    const auto shortfall = waiting.wanted.bound - available;
    if (shortfall > Tokens{ 0 } && (smallest == Tokens{ 0 } || shortfall < smallest)) {
      smallest = shortfall;
    }
  }
  // A holder in contact with control asks for one that is not.
  if (now < account.peerWantUntil && account.peerWant > available) {
    wanted += account.peerWant;
    smallest = smallest == Tokens{ 0 } ? account.peerWant - available : smallest;
  }
  if (smallest > Tokens{ 0 } && now < account.askAt) {
    return std::nullopt;
  }
  const auto want = std::max(Tokens{ 0 }, wanted - available);
  Tokens demand;
  if (!account.scarce(now) && (smallest > Tokens{ 0 } || now >= account.demandAskAt)) {
    const auto ahead = expectedDemand(now, account);
    // Asks long before the expected demand is used up, so that a busy holder seldom waits.
    const auto reached = account.level > Tokens{ 0 } ? account.level : ahead;
    // Open tokens have to last until a reserve may be opened, so they are kept closer to full.
    const bool low = settings_.witnesses ? 2 * available.count < reached.count
                                         : 4 * available.count < 3 * reached.count;
    if (want > Tokens{ 0 } || low) {
      demand = std::max(Tokens{ 0 }, ahead - available);
    }
  }
  if (smallest == Tokens{ 0 } && demand == Tokens{ 0 } && !reserveDue(now, account)) {
    return std::nullopt;
  }
  return GrantItem{
    id, ++grantSequence_, smallest == Tokens{ 0 } ? Tokens{ 0 } : want, smallest, demand
  };
}

void Wallet::Impl::askGrants(Time now, std::span<const BudgetId> budgets)
{
  if (!registered() || draining_ || handingOver_ || retired_) {
    return;
  }
  Grant command{ settings_.self, {} };
  for (const auto& id : budgets) {
    if (const auto item = grantItemFor(now, id, open(id))) {
      command.items.push_back(*item);
    }
  }
  if (command.items.empty()) {
    return;
  }
  const auto proposal = proposer_.propose(now, command);
  for (const auto& item : command.items) {
    accounts_.at(item.budget).grantProposal = proposal;
    grants_[proposal].push_back(item.budget);
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
  const auto retirement = retirements_.find(reply.proposalId);
  if (retirement != retirements_.end()) {
    retired_ = retired_ || retirement->second == settings_.self;
    earlier_.erase(retirement->second);
    writeJournal(JournalRetired{ retirement->second });
    retirements_.erase(retirement);
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
    registered_.clear();
    registeredAlone_ = false;
    registerAt_ = now;
    registerIfNeeded(now);
  }
  return false;
}

void Wallet::Impl::handleGrant(Time now, std::uint64_t proposal, const GrantResult& result)
{
  const bool granted = handleVerdict(now, result.verdict);
  for (const auto& id : grants_[proposal]) {
    auto& account = accounts_.at(id);
    account.grantProposal = 0;
    account.demandAskAt = now + settings_.demandPause;
    account.askAt = granted ? now : now + kRegisterPause;
  }
  grants_.erase(proposal);
  for (const auto& item : result.items) {
    auto& account = open(item.budget);
    account.granted = std::max(account.granted, item.granted);
    account.opened = std::max(account.opened, item.opened);
    account.openedConfirmed = std::max(account.openedConfirmed, item.opened);
    account.reserveAskAt = now + kReserveInterval;
    returnReserve(item.budget, account, std::min(item.excess, account.reserve()));
    account.scarceUntil = item.scarce ? now + kScarceTime : Time{};
    if (!settings_.witnesses) {
      account.level = account.available();
    }
  }
  admitWaiting(now);
  for (const auto& item : result.items) {
    auto& account = accounts_.at(item.budget);
    if (hasWaiting(item.budget)) {
      account.askPause =
        std::clamp(account.askPause + account.askPause / 2, settings_.grantRetry, kLongestAskPause);
      account.askAt = now + account.askPause;
    } else {
      account.askPause = Duration{ 0 };
    }
    if (!settings_.witnesses) {
      refuseUncovered(now, item.budget);
    }
    giveBack(now, item.budget, account);
  }
  askTransfers(now);
  sendSettle(now);
}

void Wallet::Impl::giveBack(Time now, const BudgetId& id, Account& account)
{
  // What is returned while control is away helps nobody; kept, it can be passed on in the zone.
  if (draining_) {
    account.opened = account.granted;
  }
  const bool low = draining_ || (account.scarce(now) && controlReachable(now));
  if (low && account.available() > Tokens{ 0 } && !account.closing &&
      (draining_ || !hasWaiting(id))) {
    returnTokens(id, account, account.available());
  }
}

void Wallet::Impl::returnTokens(const BudgetId& id, Account& account, Tokens amount)
{
  account.returned += amount;
  account.noteUse();
  account.dirty = true;
  dirty_.insert(id);
  urgent_.insert(id);
  settleSoon_ = true;
}

void Wallet::Impl::returnReserve(const BudgetId& id, Account& account, Tokens amount)
{
  if (amount > Tokens{ 0 }) {
    account.opened += amount;
    returnTokens(id, account, amount);
  }
}

void Wallet::Impl::handle(Time now, const ProcessId& /*from*/, const Recall& message)
{
  if (message.holder != settings_.self || retired_) {
    return;
  }
  auto& account = open(message.budget);
  if (account.closing) {
    return;
  }
  returnUnreserved(now, message.budget);
}

void Wallet::Impl::returnUnreserved(Time now, const BudgetId& id)
{
  auto& account = open(id);
  account.scarceUntil = now + kScarceTime;
  urgent_.insert(id);
  dirty_.insert(id);
  settleSoon_ = true;
  account.opened = account.granted;
  // Waiting requests do not keep a part: two holders that each keep a part of what both need would
  // both refuse.
  if (account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available());
  }
  sendSettle(now);
}

void Wallet::Impl::budgetLowered(Time now, const BudgetId& budget)
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
    if (prepaid > open(id).prepaid) {
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
      account.startUntil = now + settings_.startTime;
    }
    account.prepaid = prepaid;
    account.level = Tokens{ 0 };
  }
  for (const auto& id : lowered) {
    budgetLowered(now, id);
  }
  if (settings_.startShare > 0) {
    askGrants(now, raised);
  }
}

void Wallet::Impl::askStartGrants(Time now)
{
  std::vector<BudgetId> budgets;
  for (const auto& [id, account] : accounts_) {
    if (startOf(now, account) > Tokens{ 0 }) {
      budgets.push_back(id);
    }
  }
  askGrants(now, budgets);
}

void Wallet::Impl::sendSettle(Time now)
{
  if (settle_ || !registered() || retired_) {
    return;
  }
  // A report that cannot arrive would delay the time from which reserves may be opened.
  if (!settings_.witnesses && controlLost_) {
    return;
  }
  const bool batch = now >= nextSettle_ || draining_;
  if (!batch && !settleSoon_) {
    return;
  }
  Settle settle{ settings_.self, settleSequence_ + 1, {}, {}, {}, {} };
  SettleInFlight flight{ 0, settle.sequence, {}, {}, {} };
  auto& source = batch ? dirty_ : urgent_;
  while (!source.empty() && settle.totals.size() < kMaxSettleLines) {
    const auto id = *source.begin();
    auto& account = accounts_.at(id);
    settle.totals.push_back(account.totals(id));
    flight.lines[id] = account.changed;
    flight.opened[id] = account.opened;
    account.dirty = false;
    account.settling = true;
    dirty_.erase(id);
    urgent_.erase(id);
  }
  if (batch) {
    for (const auto& [sequence, pending] : keyed_) {
      if (settle.keyed.size() < kMaxSettleLines) {
        settle.keyed.push_back(pending.charge);
      }
    }
    addClosing(settle);
    nextSettle_ = now + settings_.settleInterval;
  }
  settleSoon_ = !urgent_.empty();
  if (settle.totals.empty() && settle.keyed.empty() && settle.closing.empty()) {
    return;
  }
  // A Settle that leaves out what was opened must not count as contact.
  const bool all = std::all_of(accounts_.begin(), accounts_.end(), [&flight](const auto& item) {
    return item.second.opened <= item.second.openedConfirmed || flight.opened.contains(item.first);
  });
  settle.createdAt = all ? wall_ : Time{};
  ++settleSequence_;
  contactAt_ = now;
  flight.closing = settle.closing;
  flight.proposal = proposer_.propose(now, settle);
  settle_ = std::move(flight);
}

void Wallet::Impl::addClosing(Settle& settle)
{
  for (auto& [id, account] : accounts_) {
    const bool ready = !settings_.hasJournal || journalSynced_ >= account.closeAfter;
    if (account.closing && ready && settle.closing.size() < kMaxSettleLines) {
      settle.closing.push_back(id);
      account.settling = true;
    }
  }
}

void Wallet::Impl::handleSettle(Time now, const SettleResult& result)
{
  if (!settle_ || settle_->sequence != result.sequence) {
    return;
  }
  const auto flight = *std::exchange(settle_, std::nullopt);
  const bool known =
    handleVerdict(now, result.verdict) || *result.verdict.error == ErrorKind::badRequest;
  for (const auto& [id, clock] : flight.lines) {
    auto& account = accounts_.at(id);
    account.settling = false;
    if (known) {
      confirmLine(id, account, clock);
      account.openedConfirmed = std::max(account.openedConfirmed, flight.opened.at(id));
    } else {
      dirty_.insert(id);
    }
  }
  handleBills(now, result.bills);
  for (const auto& final : result.finals) {
    handleFinal(final);
  }
  for (const auto& id : flight.closing) {
    auto& account = accounts_.at(id);
    account.settling = false;
    account.closing = false;
    if (std::find(result.closed.begin(), result.closed.end(), id) != result.closed.end()) {
      accounts_.erase(id);
    }
  }
  admitWaiting(now);
  askGrants(now, waitingBudgets());
  sendSettle(now);
}

void Wallet::Impl::handleBills(Time now, const std::vector<KeyedBill>& bills)
{
  for (const auto& bill : bills) {
    const auto found = keyed_.find(bill.sequence);
    if (found == keyed_.end()) {
      continue;
    }
    const auto charge = found->second.charge;
    keyed_.erase(found);
    keyedThrough_ = bill.sequence;
    for (std::size_t i = 0; i < charge.budgets.size() && i < bill.charged.size(); ++i) {
      auto& account = accounts_.at(charge.budgets[i]);
      account.keyedPending -= charge.amount;
      account.keyedSettled += bill.charged[i];
      giveBack(now, charge.budgets[i], account);
    }
  }
  if (!bills.empty()) {
    writeJournal(JournalSettled{ keyedThrough_ });
  }
}

void Wallet::Impl::handleFinal(const FinalTransfer& final)
{
  auto& account = open(final.budget);
  if (final.to == settings_.self) {
    auto& total = totalOf(account.in, final.from);
    total = std::max(total, final.total);
  }
  if (final.from == settings_.self) {
    totalOf(account.out, final.to) = final.total;
    transfers_.erase({ final.budget, final.to });
  }
  touch(final.budget, account);
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
  if (settings_.witnesses) {
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

void Wallet::Impl::askTransfers(Time now)
{
  // With witnesses, control treats a transfer to a holder that it does not know as one that never
  // arrived.
  const bool mayReceive = registered() || !settings_.witnesses;
  if (waiting_.empty() || !mayReceive || controlReachable(now)) {
    return;
  }
  for (const auto& id : waitingBudgets()) {
    askTransfer(now, id, open(id));
  }
}

void Wallet::Impl::askTransfer(Time now, const BudgetId& id, Account& account)
{
  if (now < account.transferAskedAt + kTransferWait) {
    return;
  }
  if (account.transferAskedAt != Time{}) {
    account.transferRefusals = 0;
  }
  auto shortfall = waitingFor(id) - account.available();
  const auto peers = transferPeers();
  if (shortfall <= Tokens{ 0 } || peers.empty()) {
    return;
  }
  shortfall += account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon);
  account.transferAskedAt = now;
  const auto& peer = peers[++account.transferPeer % peers.size()];
  account.transferAsked = peer;
  outgoing_.push_back({ peer.process, TransferRequest{ settings_.self, id, shortfall } });
}

void Wallet::Impl::handle(Time now, const ProcessId& from, const TransferRequest& message)
{
  const auto peers = transferPeers();
  if (retired_ || std::find(peers.begin(), peers.end(), message.holder) == peers.end()) {
    return;
  }
  const TransferName name{ message.budget, message.holder };
  const auto pending = transfers_.find(name);
  if (pending != transfers_.end()) {
    return;
  }
  const auto found = accounts_.find(message.budget);
  Tokens amount;
  if (found != accounts_.end() && !found->second.closing) {
    // Of two holders that need tokens, the one with the lower name gets them; if both kept a part,
    // both would refuse.
    const bool give = !hasWaiting(message.budget) || message.holder < settings_.self;
    amount = give ? transferAmount(now, message, found->second) : Tokens{ 0 };
  }
  if (amount <= Tokens{ 0 }) {
    if (!settings_.witnesses && found != accounts_.end()) {
      found->second.peerWant = message.want;
      found->second.peerWantUntil = now + kPeerWantTime;
      openReserves(now);
      askGrants(now, { &message.budget, 1 });
    }
    outgoing_.push_back(
      { from, Transfer{ 0, settings_.self, message.holder, message.budget, Tokens{} } });
    return;
  }
  totalOf(found->second.out, message.holder) += amount;
  touch(message.budget, found->second);
  transfers_[name].id = ++transferId_;
  await(name);
  flushRecords(now);
  popRecorded(now);
}

Tokens Wallet::Impl::transferAmount(Time now,
                                    const TransferRequest& message,
                                    const Account& account) const
{
  const auto most = settings_.witnesses ? account.transferable() : account.available();
  // A holder with demand keeps what it needs soon, but never more than half.
  const auto kept =
    std::min(account.demandWithin(now, settings_.demandWindow, settings_.transferHorizon),
             Tokens{ account.available().count / 2 });
  const auto spare = std::max(Tokens{ 0 }, account.available() - kept);
  return std::min({ most, spare, message.want });
}

void Wallet::Impl::sendTransfer(Time now, const TransferName& name, OutTransfer& transfer)
{
  transfer.sentAt = now;
  auto& account = accounts_.at(name.budget);
  outgoing_.push_back(
    { name.peer.process,
      Transfer{
        transfer.id, settings_.self, name.peer, name.budget, totalOf(account.out, name.peer) } });
}

void Wallet::Impl::resendTransfers(Time now)
{
  if (!settings_.witnesses) {
    // An incarnation that is gone takes nothing any more; its tokens count as spent.
    std::erase_if(transfers_, [this](const auto& item) {
      const auto& receiver = item.first.peer;
      return std::any_of(peers_.begin(), peers_.end(), [&receiver](const Peer& peer) {
        return peer.id.process == receiver.process && peer.id.incarnation > receiver.incarnation;
      });
    });
  }
  for (auto& [name, transfer] : transfers_) {
    if (transfer.recorded && transfer.sentAt + kTransferResend <= now) {
      sendTransfer(now, name, transfer);
    }
  }
}

void Wallet::Impl::handle(Time now, const ProcessId& from, const Transfer& message)
{
  if (message.to != settings_.self || retired_) {
    return;
  }
  if (message.transferId == 0) {
    handleNoTransfer(now, message);
    return;
  }
  auto& account = open(message.budget);
  if (account.closing && account.settling) {
    return;
  }
  account.closing = false;
  auto& total = totalOf(account.in, message.from);
  const bool more = message.total > total;
  if (more) {
    total = message.total;
    touch(message.budget, account);
    account.transferAskedAt = Time{};
  }
  outgoing_.push_back(
    { from,
      TransferAck{ message.transferId, message.from, settings_.self, message.budget, total } });
  admitWaiting(now);
  giveBack(now, message.budget, account);
  askTransfers(now);
}

void Wallet::Impl::handleNoTransfer(Time now, const Transfer& message)
{
  const auto found = accounts_.find(message.budget);
  if (found == accounts_.end() || found->second.transferAsked != message.from) {
    return;
  }
  // Each peer is asked once per round; repeated answers must not start further requests.
  auto& account = found->second;
  account.transferAsked = HolderId{};
  if (++account.transferRefusals < transferPeers().size()) {
    account.transferAskedAt = Time{};
    askTransfers(now);
  }
}

void Wallet::Impl::handle(Time /*now*/, const ProcessId& /*from*/, const TransferAck& message)
{
  const TransferName name{ message.budget, message.to };
  const auto found = transfers_.find(name);
  if (message.from == settings_.self && found != transfers_.end() &&
      found->second.id == message.transferId) {
    transfers_.erase(found);
  }
}

void Wallet::Impl::maintain(Time now)
{
  if (now < lastMaintenance_ + kMaintenanceInterval) {
    return;
  }
  lastMaintenance_ = now;
  std::vector<BudgetId> due;
  for (auto& [id, account] : accounts_) {
    maintainAccount(now, id, account);
    if (reserveDue(now, account)) {
      due.push_back(id);
    }
  }
  askGrants(now, due);
}

void Wallet::Impl::maintainAccount(Time now, const BudgetId& id, Account& account)
{
  if (closable(now, id, account)) {
    account.closing = true;
    writeJournal(JournalClosed{ id });
    account.closeAfter = journalCount_;
    return;
  }
  if (account.closing || hasWaiting(id) || !controlReachable(now)) {
    return;
  }
  const bool idle = account.lastReserve + settings_.idleReturn <= now;
  const auto keep =
    idle ? startOf(now, account) : Tokens{ kExcessFactor * expectedDemand(now, account).count };
  if (account.available().count > 2 * keep.count && account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available() - keep);
  }
}

bool Wallet::Impl::closable(Time now, const BudgetId& id, const Account& account) const
{
  const bool idle = account.lastReserve + settings_.idleReturn <= now;
  const bool quiet = !account.closing && !account.settling && !dirty_.contains(id) &&
                     account.grantProposal == 0 && account.recordedAt.empty() &&
                     account.changed <= account.confirmed;
  const bool empty = account.held() == Tokens{ 0 } && account.reserved == Tokens{ 0 } &&
                     account.keyedPending == Tokens{ 0 } && account.prepaid == Tokens{ 0 } &&
                     account.in.empty() && account.out.empty();
  return idle && quiet && empty && !hasWaiting(id);
}

} // namespace figchute::ledger
