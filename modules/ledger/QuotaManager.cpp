#include "ledger/QuotaManager.h"

#include "ledger/QuotaManagerImpl.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::ledger {

namespace {

/** The time to request tokens from eight peers one after the other, waiting up to 20 ms for each.
   When control is known to be unreachable, waiting longer than this has no use. */
constexpr Duration kTransferRoundTime{ 200'000 };
/** How long after a grant a holder relies on its statement that nothing is left of a budget. Tokens
    become free again when a running request ends below its upper bound, and by a top-up. */
constexpr Duration kSpentTime{ 200'000 };

} // namespace

QuotaSettings routerQuotaSettings(HolderId self, ZoneId zone)
{
  QuotaSettings settings;
  settings.self = std::move(self);
  settings.zone = std::move(zone);
  settings.usesWitnesses = false;
  settings.electionGracePeriod = Duration{ 200'000 };
  settings.recallTimeout = Duration{ 250'000 };
  settings.stockHorizon = Duration{ 4'000'000 };
  settings.demandWindow = Duration{ 5'000'000 };
  settings.settleInterval = Duration{ 600'000 };
  settings.grantHorizon = Duration{ 5'000'000 };
  settings.demandRequestInterval = Duration{ 300'000 };
  settings.initialShare = 0.1;
  settings.idleShare = 0.01;
  settings.transferHorizon = Duration{ 1'000'000 };
  return settings;
}

QuotaManager::Impl::Impl(QuotaSettings settings)
  : settings_(std::move(settings))
  , proposer_(settings_.proposalIdBase)
  , peers_(settings_.self, settings_.zone, settings_.usesWitnesses)
  , contactClocks_(settings_.self)
{
  writeJournal(JournalStart{ settings_.self });
}

Decision QuotaManager::Impl::refuse(const RequestId& request,
                                    ErrorKind kind,
                                    std::string detail) const
{
  return { request, ReserveStatus::refused, Error{ kind, std::move(detail) } };
}

Decision QuotaManager::Impl::refuseForBudget(const WaitingRequest& waitingRequest,
                                             ErrorKind kind,
                                             std::string detail,
                                             bool grantIsAnswered) const
{
  auto decision = refuse(waitingRequest.request, kind, std::move(detail));
  const auto& reservation = waitingRequest.reservation;
  for (const auto& id : reservation.budgets) {
    const auto& account = accounts_.at(id);
    if (account.available() < reservation.bound) {
      const KnownTokens tokens{
        account.available(), account.reserveAmount(), account.lastFree, account.lastHeldByOthers
      };
      decision.cause =
        BudgetRefusal{ refusalReason(tokens, reservation.bound, grantIsAnswered), tokens };
      break;
    }
  }
  return decision;
}

QuotaManager::Impl::Account& QuotaManager::Impl::findOrOpenAccount(const BudgetId& id)
{
  return accounts_[id];
}

Decision QuotaManager::Impl::reserve(Time now,
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
    std::any_of(waiting_.begin(), waiting_.end(), [&request](const WaitingRequest& waitingRequest) {
      return waitingRequest.request == request;
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
  if (isKnownSpent(now, reservation)) {
    return refuseForBudget({ request, reservation, now, std::nullopt },
                           ErrorKind::budgetExhausted,
                           fmt::format("the budget does not cover {} tokens", bound.count),
                           true);
  }
  for (const auto& id : reservation.budgets) {
    findOrOpenAccount(id).addDemand(now, bound, settings_.demandWindow);
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

bool QuotaManager::Impl::admit(Time /*now*/,
                               const RequestId& request,
                               const Reservation& reservation)
{
  if (!reservation.budgets.empty() && !canRecord()) {
    return false;
  }
  for (const auto& id : reservation.budgets) {
    auto& account = findOrOpenAccount(id);
    if (account.closing && !account.inSettleInFlight) {
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

void QuotaManager::Impl::admitWaiting(Time now)
{
  for (auto waitingRequest = waiting_.begin(); waitingRequest != waiting_.end();) {
    if (admit(now, waitingRequest->request, waitingRequest->reservation)) {
      decisions_.push_back({ waitingRequest->request, ReserveStatus::admitted, std::nullopt });
      waitingRequest = waiting_.erase(waitingRequest);
    } else {
      ++waitingRequest;
    }
  }
}

void QuotaManager::Impl::refuseWaiting(ErrorKind kind, const std::string& detail)
{
  for (const auto& waitingRequest : waiting_) {
    decisions_.push_back(refuse(waitingRequest.request, kind, detail));
  }
  waiting_.clear();
}

void QuotaManager::Impl::refuseExpiredWaiting(Time now)
{
  for (auto waitingRequest = waiting_.begin(); waitingRequest != waiting_.end();) {
    const bool reachable = isControlReachable(now);
    const bool refuseEarly =
      controlLost_ && !reachable &&
      now >= waitingRequest->deadline - settings_.grantTimeout + kTransferRoundTime;
    if (!refuseEarly && waitingRequest->deadline > now) {
      ++waitingRequest;
      continue;
    }
    // Other proposals may be answered before the grant request of this one.
    const bool isGrantAnswered = reachable && waitingRequest->insufficientSince;
    const bool mayBeAnswered = !reachable || (canRecord() && !isGrantAnswered);
    if (!refuseEarly && mayBeAnswered &&
        now < waitingRequest->deadline + settings_.electionGracePeriod) {
      ++waitingRequest;
      continue;
    }
    if (!canRecord()) {
      decisions_.push_back(
        refuse(waitingRequest->request, ErrorKind::noQuorum, "no witness is reachable"));
    } else if (!isGrantAnswered) {
      const bool grantedTooLittle = waitingRequest->insufficientSince.has_value();
      decisions_.push_back(refuseForBudget(*waitingRequest,
                                           ErrorKind::noQuorum,
                                           grantedTooLittle
                                             ? "control granted too little, then fell silent"
                                             : "no control VM answered the grant request",
                                           false));
    } else {
      decisions_.push_back(refuseForBudget(
        *waitingRequest,
        ErrorKind::budgetExhausted,
        fmt::format("the budget does not cover {} tokens", waitingRequest->reservation.bound.count),
        true));
    }
    waitingRequest = waiting_.erase(waitingRequest);
  }
}

bool QuotaManager::Impl::isUncovered(const WaitingRequest& request, const BudgetId& id) const
{
  const auto& budgets = request.reservation.budgets;
  const bool usesBudget = std::find(budgets.begin(), budgets.end(), id) != budgets.end();
  return usesBudget && accounts_.at(id).available() < request.reservation.bound;
}

void QuotaManager::Impl::markUncoveredRequests(Time now, const BudgetId& id)
{
  for (auto& waitingRequest : waiting_) {
    if (!waitingRequest.insufficientSince && isUncovered(waitingRequest, id)) {
      waitingRequest.insufficientSince = now;
    }
  }
}

bool QuotaManager::Impl::isKnownSpent(Time now, const Reservation& reservation) const
{
  return !settings_.usesWitnesses &&
         std::any_of(
           reservation.budgets.begin(), reservation.budgets.end(), [&](const BudgetId& id) {
             const auto entry = accounts_.find(id);
             return entry != accounts_.end() && now < entry->second.lastGrantAt + kSpentTime &&
                    entry->second.isSpent(reservation.bound);
           });
}

void QuotaManager::Impl::refuseUncoveredRequests(Time now, const BudgetId& id)
{
  for (auto waitingRequest = waiting_.begin(); waitingRequest != waiting_.end();) {
    const bool isRecallLate = waitingRequest->insufficientSince &&
                              now >= *waitingRequest->insufficientSince + settings_.recallTimeout;
    const bool isSpent = accounts_.at(id).isSpent(waitingRequest->reservation.bound);
    if (!isUncovered(*waitingRequest, id) || !(isRecallLate || isSpent)) {
      ++waitingRequest;
      continue;
    }
    decisions_.push_back(refuseForBudget(
      *waitingRequest,
      ErrorKind::budgetExhausted,
      fmt::format("the budget does not cover {} tokens", waitingRequest->reservation.bound.count),
      true));
    waitingRequest = waiting_.erase(waitingRequest);
  }
}

void QuotaManager::Impl::freeReservation(Time now, const Reservation& reservation)
{
  for (const auto& id : reservation.budgets) {
    accounts_.at(id).reserved -= reservation.bound;
  }
  admitWaiting(now);
  for (const auto& id : reservation.budgets) {
    returnTokensIfBudgetLow(now, id, accounts_.at(id));
  }
  sendSettle(now);
}

void QuotaManager::Impl::reduceReservation(Time now, const RequestId& request, Tokens newBound)
{
  const auto reservation = reservations_.find(request);
  if (reservation == reservations_.end() || newBound >= reservation->second.bound) {
    return;
  }
  auto excessReservation = reservation->second;
  excessReservation.bound = reservation->second.bound - std::max(newBound, Tokens{ 0 });
  reservation->second.bound -= excessReservation.bound;
  freeReservation(now, excessReservation);
}

Expected<void> QuotaManager::Impl::charge(Time now, const RequestId& request, Tokens actual)
{
  const auto reservationEntry = reservations_.find(request);
  if (reservationEntry == reservations_.end()) {
    return fail(ErrorKind::notFound, fmt::format("request {} has no reservation", request.value));
  }
  invariant(actual >= Tokens{ 0 }, "a charge is not negative");
  invariant(actual <= reservationEntry->second.bound, "a charge never exceeds its reservation");
  const auto reservation = reservationEntry->second;
  reservations_.erase(reservationEntry);
  if (actual > Tokens{ 0 }) {
    chargeAccounts(request, reservation, actual);
    queueUntilRecorded(request);
    flushRecords(now);
  } else {
    recordedCharges_.insert(request);
  }
  freeReservation(now, reservation);
  processRecordedItems(now);
  return {};
}

void QuotaManager::Impl::chargeAccounts(const RequestId& request,
                                        const Reservation& reservation,
                                        Tokens actual)
{
  for (const auto& id : reservation.budgets) {
    auto& account = accounts_.at(id);
    if (reservation.key) {
      account.unsettledKeyed += actual;
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

std::vector<RequestId> QuotaManager::Impl::takeRecordedCharges()
{
  const auto requests = std::exchange(recordedCharges_, {});
  return { requests.begin(), requests.end() };
}

void QuotaManager::Impl::release(Time now, const RequestId& request)
{
  waiting_.remove_if(
    [&request](const WaitingRequest& waitingRequest) { return waitingRequest.request == request; });
  const auto reservationEntry = reservations_.find(request);
  if (reservationEntry == reservations_.end()) {
    return;
  }
  const auto reservation = reservationEntry->second;
  reservations_.erase(reservationEntry);
  freeReservation(now, reservation);
}

void QuotaManager::Impl::markRetired()
{
  retired_ = true;
  refuseWaiting(ErrorKind::shuttingDown, "the process is retired");
}

void QuotaManager::Impl::receive(Time now, const ProcessId& from, const Message& message)
{
  std::visit([&](const auto& typedMessage) { handle(now, from, typedMessage); }, message);
}

void QuotaManager::Impl::tick(Time now)
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
  contactClocks_.tick(now);
  registerIfNeeded(now);
  refuseExpiredWaiting(now);
  unlockReserves(now);
  requestGrants(now, waitingBudgets());
  if (mayRequestGrants(now)) {
    requestDeferredGrants(now);
  }
  requestTransfers(now);
  resendTransfers(now);
  maintainAccounts(now);
  sendSettle(now);
  if (draining_ && hasNothingPending()) {
    proposeOwnRetirement(now);
  }
}

void QuotaManager::Impl::drain(Time now)
{
  draining_ = true;
  refuseWaiting(ErrorKind::shuttingDown, "the process is shutting down");
  for (auto& [id, account] : accounts_) {
    account.unlocked = account.granted;
    returnTokensIfBudgetLow(now, id, account);
  }
  settleImmediately_ = true;
  sendSettle(now);
}

void QuotaManager::Impl::handOver(Time now)
{
  if (!handingOver_) {
    handingOver_ = true;
    refuseWaiting(ErrorKind::shuttingDown, "the process is shutting down");
  }
  const auto peers = peers_.transferPartners();
  if (peers.empty() || retired_) {
    return;
  }
  for (auto& [id, account] : accounts_) {
    const auto amount = account.available();
    const TransferKey transferKey{ id, peers[++account.transferPeerIndex % peers.size()] };
    if (amount <= Tokens{ 0 } || account.closing || outTransfers_.count(transferKey) != 0) {
      continue;
    }
    detail::findOrAddTotal(account.transfersOut, transferKey.peer) += amount;
    markChanged(id, account);
    outTransfers_[transferKey].id = ++transferId_;
    queueUntilRecorded(transferKey);
  }
  flushRecords(now);
  processRecordedItems(now);
}

bool QuotaManager::Impl::isHandedOver() const
{
  return handingOver_ && reservations_.empty() && outTransfers_.empty() &&
         std::all_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
           return item.second.available() <= Tokens{ 0 };
         });
}

bool QuotaManager::Impl::hasNothingPending() const
{
  const bool nothingInFlight = reservations_.empty() && unrecorded_.empty() &&
                               unsettledCharges_.empty() && unsettledBudgets_.empty() &&
                               !settleInFlight_ && retireProposals_.empty();
  // If the receiver never received a transfer, its tokens would be lost.
  const bool transfersAcknowledged = settings_.usesWitnesses || outTransfers_.empty();
  return nothingInFlight && transfersAcknowledged &&
         std::all_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
           return item.second.held() == Tokens{ 0 } && item.second.grantProposal == 0;
         });
}

void QuotaManager::Impl::proposeOwnRetirement(Time now)
{
  // Control has confirmed all totals, so an empty report of the holder itself completes the
  // retirement without reports of its witnesses.
  const HolderRecord emptyRecord{ settings_.self, {}, {} };
  const auto proposal =
    proposer_.propose(now, Retire{ settings_.self, settings_.self, emptyRecord });
  retireProposals_[proposal] = settings_.self;
}

bool QuotaManager::Impl::isDrained() const
{
  return draining_ && retired_;
}

bool QuotaManager::Impl::isReady() const
{
  return !retired_ && canRecord();
}

bool QuotaManager::Impl::isControlReachable(Time now) const
{
  return proposer_.isControlReachable(now, settings_.controlTimeout);
}

std::vector<OutgoingMessage> QuotaManager::Impl::takeOutgoing()
{
  auto outgoing = std::exchange(outgoing_, {});
  auto proposals = proposer_.takeOutgoing();
  std::move(proposals.begin(), proposals.end(), std::back_inserter(outgoing));
  auto clockRequests = contactClocks_.takeOutgoing();
  std::move(clockRequests.begin(), clockRequests.end(), std::back_inserter(outgoing));
  return outgoing;
}

std::optional<AccountView> QuotaManager::Impl::account(const BudgetId& id) const
{
  const auto accountEntry = accounts_.find(id);
  if (accountEntry == accounts_.end()) {
    return std::nullopt;
  }
  const auto& account = accountEntry->second;
  return AccountView{ id,
                      account.granted,
                      account.totalIn(),
                      account.totalOut(),
                      account.spent(),
                      account.returned,
                      account.reserved,
                      account.available(),
                      account.reserveAmount(),
                      account.unlockableAmount(),
                      account.grantProposal != 0,
                      account.lastFree,
                      account.lastHeldByOthers };
}

std::vector<AccountView> QuotaManager::Impl::accounts() const
{
  std::vector<AccountView> views;
  for (const auto& [id, account] : accounts_) {
    views.push_back(*this->account(id));
  }
  return views;
}

QuotaManager::QuotaManager(QuotaSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

QuotaManager::~QuotaManager() = default;

void QuotaManager::recover(Time now, std::span<const JournalRecord> records)
{
  impl_->recover(now, records);
}

void QuotaManager::setPeers(Time now, std::span<const Peer> peers)
{
  impl_->setPeers(now, peers);
}

void QuotaManager::setBudgets(Time now, std::span<const PrepaidBudget> budgets)
{
  impl_->setBudgets(now, budgets);
}

void QuotaManager::handleBudgetLowered(Time now, const BudgetId& budget)
{
  impl_->handleBudgetLowered(now, budget);
}

Decision QuotaManager::reserve(Time now,
                               const RequestId& request,
                               const std::optional<RequestKey>& key,
                               std::span<const BudgetId> budgets,
                               Tokens bound)
{
  return impl_->reserve(now, request, key, budgets, bound);
}

std::vector<Decision> QuotaManager::takeDecisions()
{
  return impl_->takeDecisions();
}

void QuotaManager::reduceReservation(Time now, const RequestId& request, Tokens newBound)
{
  impl_->reduceReservation(now, request, newBound);
}

Expected<void> QuotaManager::charge(Time now, const RequestId& request, Tokens actual)
{
  return impl_->charge(now, request, actual);
}

bool QuotaManager::isChargeRecorded(const RequestId& request) const
{
  return impl_->isChargeRecorded(request);
}

std::vector<RequestId> QuotaManager::takeRecordedCharges()
{
  return impl_->takeRecordedCharges();
}

void QuotaManager::release(Time now, const RequestId& request)
{
  impl_->release(now, request);
}

void QuotaManager::receive(Time now, const ProcessId& from, const Message& message)
{
  impl_->receive(now, from, message);
}

void QuotaManager::tick(Time now)
{
  impl_->tick(now);
}

void QuotaManager::drain(Time now)
{
  impl_->drain(now);
}

void QuotaManager::setControlLost(bool lost)
{
  impl_->setControlLost(lost);
}

void QuotaManager::handOver(Time now)
{
  impl_->handOver(now);
}

bool QuotaManager::isHandedOver() const
{
  return impl_->isHandedOver();
}

bool QuotaManager::isDrained() const
{
  return impl_->isDrained();
}

bool QuotaManager::isRetired() const
{
  return impl_->isRetired();
}

bool QuotaManager::isReady() const
{
  return impl_->isReady();
}

bool QuotaManager::isControlReachable(Time now) const
{
  return impl_->isControlReachable(now);
}

std::vector<OutgoingMessage> QuotaManager::takeOutgoing()
{
  return impl_->takeOutgoing();
}

std::vector<JournalRecord> QuotaManager::takeJournal()
{
  return impl_->takeJournal();
}

void QuotaManager::journalSynced(Time now, std::uint64_t count)
{
  impl_->journalSynced(now, count);
}

std::vector<JournalRecord> QuotaManager::compactJournal() const
{
  return impl_->compactJournal();
}

std::optional<AccountView> QuotaManager::account(const BudgetId& budget) const
{
  return impl_->account(budget);
}

std::vector<AccountView> QuotaManager::accounts() const
{
  return impl_->accounts();
}

} // namespace figchute::ledger
