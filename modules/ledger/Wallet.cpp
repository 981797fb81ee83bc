#include "ledger/Wallet.h"

#include "ledger/WalletImpl.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::ledger {

namespace {

/** The time to ask eight peers for tokens one after the other, waiting up to 20 ms for each. When
    control is known to be unreachable, waiting longer than this has no use. */
constexpr Duration kTransferRoundTime{ 200'000 };

} // namespace

WalletSettings routerWalletSettings(HolderId self, ZoneId zone)
{
  WalletSettings settings;
  settings.self = std::move(self);
  settings.zone = std::move(zone);
  settings.usesWitnesses = false;
  settings.electionGracePeriod = Duration{ 200'000 };
  settings.recallTimeout = Duration{ 100'000 };
  settings.demandWindow = Duration{ 5'000'000 };
  settings.settleInterval = Duration{ 600'000 };
  settings.grantHorizon = Duration{ 5'000'000 };
  settings.demandRequestInterval = Duration{ 300'000 };
  settings.initialShare = 0.1;
  settings.idleShare = 0.01;
  settings.transferHorizon = Duration{ 1'000'000 };
  return settings;
}

Wallet::Impl::Impl(WalletSettings settings)
  : settings_(std::move(settings))
  , proposer_(settings_.proposalIdBase)
{
  writeJournal(JournalStart{ settings_.self });
}

Decision Wallet::Impl::refuse(const RequestId& request, ErrorKind kind, std::string detail) const
{
  return { request, ReserveStatus::refused, Error{ kind, std::move(detail) } };
}

Wallet::Impl::Account& Wallet::Impl::accountFor(const BudgetId& id)
{
  return accounts_[id];
}

Decision Wallet::Impl::reserve(Time now,
                               const RequestId& request,
                               const std::optional<RequestKey>& key,
                               std::span<const BudgetId> budgets,
                               Tokens bound)
{
  invariant(bound >= Tokens{ 0 }, "a reservation is not negative");
  if (draining_ || handingOver_ || retired_) {
    return refuse(request, ErrorKind::shuttingDown, "the process is shutting down");
  }
  const bool repeated =
    reservations_.contains(request) ||
    std::any_of(waiting_.begin(), waiting_.end(), [&request](const WaitingRequest& waiting) {
      return waiting.request == request;
    });
  if (repeated) {
    return refuse(request,
                  ErrorKind::badRequest,
                  fmt::format("request id {} is already in use", request.value));
  }
  Reservation reservation{ key, { budgets.begin(), budgets.end() }, bound };
  if (bound == Tokens{ 0 }) {
    reservation.budgets.clear();
  }
  for (const auto& id : reservation.budgets) {
    accountFor(id).addDemand(now, bound, settings_.demandWindow);
  }
  if (admit(now, request, reservation)) {
    requestGrants(now, reservation.budgets);
    return { request, ReserveStatus::admitted, std::nullopt };
  }
  waiting_.push_back({ request, reservation, now + settings_.grantTimeout, std::nullopt });
  requestGrants(now, reservation.budgets);
  unlockReserves(now);
  requestTransfers(now);
  return { request, ReserveStatus::waiting, std::nullopt };
}

bool Wallet::Impl::admit(Time /*now*/, const RequestId& request, const Reservation& reservation)
{
  if (!reservation.budgets.empty() && !canRecord()) {
    return false;
  }
  for (const auto& id : reservation.budgets) {
    auto& account = accountFor(id);
    if (account.closing && !account.settling) {
      account.closing = false;
      writeJournal(JournalAccount{ account.totals(id) });
    }
    if (account.closing || account.available() < reservation.bound) {
      return false;
    }
  }
  for (const auto& id : reservation.budgets) {
    accounts_.at(id).reserved += reservation.bound;
  }
  reservations_.emplace(request, reservation);
  return true;
}

void Wallet::Impl::admitWaiting(Time now)
{
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (admit(now, at->request, at->reservation)) {
      decisions_.push_back({ at->request, ReserveStatus::admitted, std::nullopt });
      at = waiting_.erase(at);
    } else {
      ++at;
    }
  }
}

void Wallet::Impl::refuseWaiting(ErrorKind kind, const std::string& detail)
{
  for (const auto& waiting : waiting_) {
    decisions_.push_back(refuse(waiting.request, kind, detail));
  }
  waiting_.clear();
}

void Wallet::Impl::expireWaiting(Time now)
{
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const bool reachable = controlReachable(now);
    const bool refuseEarly = controlLost_ && !reachable &&
                             now >= at->deadline - settings_.grantTimeout + kTransferRoundTime;
    if (!refuseEarly && at->deadline > now) {
      ++at;
      continue;
    }
    if (!refuseEarly && !reachable && now < at->deadline + settings_.electionGracePeriod) {
      ++at;
      continue;
    }
    if (!canRecord()) {
      decisions_.push_back(refuse(at->request, ErrorKind::noQuorum, "no witness is reachable"));
    } else if (!reachable) {
      decisions_.push_back(
        refuse(at->request, ErrorKind::noQuorum, "no control VM answered the grant request"));
    } else {
      decisions_.push_back(
        refuse(at->request,
               ErrorKind::budgetExhausted,
               fmt::format("the budget does not cover {} tokens", at->reservation.bound.count)));
    }
    at = waiting_.erase(at);
  }
}

void Wallet::Impl::refuseUncovered(Time now, const BudgetId& id)
{
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const auto& budgets = at->reservation.budgets;
    const bool usesBudget = std::find(budgets.begin(), budgets.end(), id) != budgets.end();
    const bool uncovered = usesBudget && accounts_.at(id).available() < at->reservation.bound;
    if (uncovered && !at->insufficientSince) {
      at->insufficientSince = now;
    }
    if (!uncovered || now < *at->insufficientSince + settings_.recallTimeout) {
      ++at;
      continue;
    }
    decisions_.push_back(
      refuse(at->request,
             ErrorKind::budgetExhausted,
             fmt::format("the budget does not cover {} tokens", at->reservation.bound.count)));
    at = waiting_.erase(at);
  }
}

void Wallet::Impl::freeReservation(Time now, const Reservation& reservation)
{
  for (const auto& id : reservation.budgets) {
    accounts_.at(id).reserved -= reservation.bound;
  }
  admitWaiting(now);
  for (const auto& id : reservation.budgets) {
    returnIfBudgetLow(now, id, accounts_.at(id));
  }
  sendSettle(now);
}

void Wallet::Impl::reduceReservation(Time now, const RequestId& request, Tokens newBound)
{
  const auto found = reservations_.find(request);
  if (found == reservations_.end() || newBound >= found->second.bound) {
    return;
  }
  auto excess = found->second;
  excess.bound = found->second.bound - std::max(newBound, Tokens{ 0 });
  found->second.bound -= excess.bound;
  freeReservation(now, excess);
}

Expected<void> Wallet::Impl::charge(Time now, const RequestId& request, Tokens actual)
{
  const auto found = reservations_.find(request);
  if (found == reservations_.end()) {
    return fail(ErrorKind::notFound, fmt::format("request {} has no reservation", request.value));
  }
  invariant(actual >= Tokens{ 0 }, "a charge is not negative");
  invariant(actual <= found->second.bound, "a charge never exceeds its reservation");
  const auto reservation = found->second;
  reservations_.erase(found);
  if (actual > Tokens{ 0 }) {
    chargeAccounts(request, reservation, actual);
    awaitRecord(request);
    flushRecords(now);
  } else {
    recordedCharges_.insert(request);
  }
  freeReservation(now, reservation);
  releaseRecorded(now);
  return {};
}

void Wallet::Impl::chargeAccounts(const RequestId& request,
                                  const Reservation& reservation,
                                  Tokens actual)
{
  for (const auto& id : reservation.budgets) {
    auto& account = accounts_.at(id);
    if (reservation.key) {
      account.keyedPending += actual;
    } else {
      account.charged += actual;
      markChanged(id, account);
    }
    account.updateMaxGrantUsed();
    invariant(account.held() >= Tokens{ 0 }, "a charge never exceeds the tokens of its holder");
  }
  if (reservation.key) {
    const KeyedCharge charge{ ++keyedSequence_, reservation.key->caller, reservation.key->key,
                              request,          reservation.budgets,     actual };
    unsettledCharges_[charge.sequence] = { charge, ++recordClock_ };
    writeJournal(JournalKeyed{ charge });
  }
}

std::vector<RequestId> Wallet::Impl::takeRecordedCharges()
{
  const auto taken = std::exchange(recordedCharges_, {});
  return { taken.begin(), taken.end() };
}

void Wallet::Impl::release(Time now, const RequestId& request)
{
  waiting_.remove_if(
    [&request](const WaitingRequest& waiting) { return waiting.request == request; });
  const auto found = reservations_.find(request);
  if (found == reservations_.end()) {
    return;
  }
  const auto reservation = found->second;
  reservations_.erase(found);
  freeReservation(now, reservation);
}

void Wallet::Impl::becomeRetired()
{
  retired_ = true;
  refuseWaiting(ErrorKind::shuttingDown, "the process is retired");
}

void Wallet::Impl::receive(Time now, const ProcessId& from, const Message& message)
{
  std::visit([&](const auto& typedMessage) { handle(now, from, typedMessage); }, message);
}

void Wallet::Impl::tick(Time now)
{
  proposer_.tick(now);
  if (retired_) {
    return;
  }
  if (draining_ && !isRegistered() && registerProposal_ == 0) {
    retired_ = true;
    return;
  }
  tickWitnesses(now);
  registerIfNeeded(now);
  expireWaiting(now);
  unlockReserves(now);
  requestGrants(now, waitingBudgets());
  requestTransfers(now);
  resendTransfers(now);
  maintain(now);
  sendSettle(now);
  if (draining_ && nothingPending()) {
    retireSelf(now);
  }
}

void Wallet::Impl::drain(Time now)
{
  draining_ = true;
  refuseWaiting(ErrorKind::shuttingDown, "the process is shutting down");
  for (auto& [id, account] : accounts_) {
    account.unlocked = account.granted;
    returnIfBudgetLow(now, id, account);
  }
  settleUrgent_ = true;
  sendSettle(now);
}

void Wallet::Impl::handOver(Time now)
{
  if (!handingOver_) {
    handingOver_ = true;
    refuseWaiting(ErrorKind::shuttingDown, "the process is shutting down");
  }
  const auto peers = transferPeers();
  if (peers.empty() || retired_) {
    return;
  }
  for (auto& [id, account] : accounts_) {
    const auto amount = account.available();
    const TransferKey transferKey{ id, peers[++account.transferPeerIndex % peers.size()] };
    if (amount <= Tokens{ 0 } || account.closing || outTransfers_.count(transferKey) != 0) {
      continue;
    }
    detail::totalOf(account.transfersOut, transferKey.peer) += amount;
    markChanged(id, account);
    outTransfers_[transferKey].id = ++transferId_;
    awaitRecord(transferKey);
  }
  flushRecords(now);
  releaseRecorded(now);
}

bool Wallet::Impl::handedOver() const
{
  return handingOver_ && reservations_.empty() && outTransfers_.empty() &&
         std::all_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
           return item.second.available() <= Tokens{ 0 };
         });
}

bool Wallet::Impl::nothingPending() const
{
  const bool nothingInFlight = reservations_.empty() && unrecorded_.empty() &&
                               unsettledCharges_.empty() && dirtyBudgets_.empty() &&
                               !settleInFlight_ && retireProposals_.empty();
  // If the receiver never learned of a transfer, nobody would hold its tokens.
  const bool transfersAcknowledged = settings_.usesWitnesses || outTransfers_.empty();
  return nothingInFlight && transfersAcknowledged &&
         std::all_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
           return item.second.held() == Tokens{ 0 } && item.second.grantProposal == 0;
         });
}

void Wallet::Impl::retireSelf(Time now)
{
  // Control has confirmed all totals, so an empty report of the holder itself completes the
  // retirement without reports of its witnesses.
  const HolderRecord nothing{ settings_.self, {}, {} };
  const auto proposal = proposer_.propose(now, Retire{ settings_.self, settings_.self, nothing });
  retireProposals_[proposal] = settings_.self;
}

bool Wallet::Impl::drained() const
{
  return draining_ && retired_;
}

bool Wallet::Impl::ready() const
{
  return !retired_ && canRecord();
}

bool Wallet::Impl::controlReachable(Time now) const
{
  return proposer_.controlReachable(now, settings_.controlTimeout);
}

std::vector<Outgoing> Wallet::Impl::takeOutgoing()
{
  auto outgoing = std::exchange(outgoing_, {});
  auto proposals = proposer_.takeOutgoing();
  std::move(proposals.begin(), proposals.end(), std::back_inserter(outgoing));
  return outgoing;
}

std::optional<AccountView> Wallet::Impl::account(const BudgetId& id) const
{
  const auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  const auto& account = found->second;
  return AccountView{ id,
                      account.granted,
                      account.totalIn(),
                      account.totalOut(),
                      account.spent(),
                      account.returned,
                      account.reserved,
                      account.available() };
}

std::vector<AccountView> Wallet::Impl::accounts() const
{
  std::vector<AccountView> views;
  for (const auto& [id, account] : accounts_) {
    views.push_back(*this->account(id));
  }
  return views;
}

Wallet::Wallet(WalletSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Wallet::~Wallet() = default;

void Wallet::recover(Time now, std::span<const JournalRecord> records)
{
  impl_->recover(now, records);
}

void Wallet::setPeers(Time now, std::span<const Peer> peers)
{
  impl_->setPeers(now, peers);
}

void Wallet::setBudgets(Time now, std::span<const PrepaidBudget> budgets)
{
  impl_->setBudgets(now, budgets);
}

void Wallet::handleBudgetLowered(Time now, const BudgetId& budget)
{
  impl_->handleBudgetLowered(now, budget);
}

Decision Wallet::reserve(Time now,
                         const RequestId& request,
                         const std::optional<RequestKey>& key,
                         std::span<const BudgetId> budgets,
                         Tokens bound)
{
  return impl_->reserve(now, request, key, budgets, bound);
}

std::vector<Decision> Wallet::takeDecisions()
{
  return impl_->takeDecisions();
}

void Wallet::reduceReservation(Time now, const RequestId& request, Tokens newBound)
{
  impl_->reduceReservation(now, request, newBound);
}

Expected<void> Wallet::charge(Time now, const RequestId& request, Tokens actual)
{
  return impl_->charge(now, request, actual);
}

bool Wallet::isChargeRecorded(const RequestId& request) const
{
  return impl_->isChargeRecorded(request);
}

std::vector<RequestId> Wallet::takeRecordedCharges()
{
  return impl_->takeRecordedCharges();
}

void Wallet::release(Time now, const RequestId& request)
{
  impl_->release(now, request);
}

void Wallet::receive(Time now, const ProcessId& from, const Message& message)
{
  impl_->receive(now, from, message);
}

void Wallet::tick(Time now)
{
  impl_->tick(now);
}

void Wallet::drain(Time now)
{
  impl_->drain(now);
}

void Wallet::setWallTime(Time wall)
{
  impl_->setWallTime(wall);
}

void Wallet::setControlLost(bool refuseEarly)
{
  impl_->setControlLost(refuseEarly);
}

void Wallet::handOver(Time now)
{
  impl_->handOver(now);
}

bool Wallet::handedOver() const
{
  return impl_->handedOver();
}

bool Wallet::drained() const
{
  return impl_->drained();
}

bool Wallet::retired() const
{
  return impl_->retired();
}

bool Wallet::ready() const
{
  return impl_->ready();
}

bool Wallet::controlReachable(Time now) const
{
  return impl_->controlReachable(now);
}

std::vector<Outgoing> Wallet::takeOutgoing()
{
  return impl_->takeOutgoing();
}

std::vector<JournalRecord> Wallet::takeJournal()
{
  return impl_->takeJournal();
}

void Wallet::journalSynced(Time now, std::uint64_t count)
{
  impl_->journalSynced(now, count);
}

std::vector<JournalRecord> Wallet::compactJournal() const
{
  return impl_->compactJournal();
}

std::optional<AccountView> Wallet::account(const BudgetId& budget) const
{
  return impl_->account(budget);
}

std::vector<AccountView> Wallet::accounts() const
{
  return impl_->accounts();
}

} // namespace figchute::ledger
