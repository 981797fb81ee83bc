#include "ledger/WalletImpl.h"

#include <algorithm>

/** The part of a wallet that opens its reserves while control is out of reach. */
namespace figchute::ledger {
namespace {

/** Witnesses of a holder's reserves. All must acknowledge, so more would block openings when one of
    them dies in a cut; with one, its death together with the holder's loses the reserve. */
constexpr std::size_t kReserveWitnesses = 2;
/** An unacknowledged opening is sent again after this time; zones are about 1 ms apart. */
constexpr Duration kOpeningResend{ 30'000 };
/** So much demand is opened at a time; the rest stays in the reserve, which is not lost when this
    process dies. */
constexpr Duration kOpeningHorizon{ 2'000'000 };

} // namespace

bool Wallet::Impl::detached(Time now) const
{
  const bool silent = now >= contactAt_ + settings_.detachTime;
  return !settings_.witnesses && silent && (controlLost_ || !controlReachable(now));
}

std::vector<HolderId> Wallet::Impl::reserveWitnesses() const
{
  // Witnesses in the own zone stay in reach when the zone is cut off.
  auto witnesses = fromOwnName(zonePeers());
  for (const auto& peer : fromOwnName(transferPeers())) {
    if (std::find(witnesses.begin(), witnesses.end(), peer) == witnesses.end()) {
      witnesses.push_back(peer);
    }
  }
  witnesses.resize(std::min(witnesses.size(), kReserveWitnesses));
  std::sort(witnesses.begin(), witnesses.end());
  return witnesses;
}

bool Wallet::Impl::openedConfirmed() const
{
  return std::all_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
    return item.second.opened <= item.second.openedConfirmed;
  });
}

bool Wallet::Impl::reserveDue(Time now, const Account& account) const
{
  return !settings_.witnesses && account.prepaid > Tokens{ 0 } && !account.scarce(now) &&
         now >= account.reserveAskAt && !registered_.empty() && controlReachable(now);
}

Tokens Wallet::Impl::amountToOpen(Time now, const BudgetId& id, const Account& account) const
{
  auto waited = waitingFor(id);
  if (now < account.peerWantUntil) {
    waited += account.peerWant;
  }
  const auto need = account.demandWithin(now, settings_.demandWindow, kOpeningHorizon) + waited;
  // Opens ahead of need, so that a busy holder seldom waits for its witnesses.
  const bool low = 2 * account.available().count < need.count;
  const bool wanted = waited > account.available() || low;
  return wanted ? std::clamp(need - account.available(), Tokens{ 0 }, account.reserve()) : Tokens{};
}

void Wallet::Impl::openReserves(Time now)
{
  if (!detached(now) || registered_.empty() || registerProposal_ != 0 || retired_ || draining_) {
    opening_.reset();
    return;
  }
  if (opening_) {
    if (now >= opening_->sentAt + kOpeningResend) {
      sendOpening(now);
    }
    return;
  }
  Opening opening;
  for (const auto& [id, account] : accounts_) {
    const auto amount = account.closing ? Tokens{} : amountToOpen(now, id, account);
    if (amount > Tokens{ 0 }) {
      auto totals = account.totals(id);
      totals.opened += amount;
      opening.record.record.totals.push_back(std::move(totals));
    }
  }
  if (opening.record.record.totals.empty()) {
    return;
  }
  opening.record.sequence = ++recordSequence_;
  opening.record.record.holder = settings_.self;
  opening_ = std::move(opening);
  sendOpening(now);
}

void Wallet::Impl::sendOpening(Time now)
{
  opening_->sentAt = now;
  for (const auto& witness : registered_) {
    if (!opening_->acknowledged.contains(witness)) {
      outgoing_.push_back({ witness.process, opening_->record });
    }
  }
}

void Wallet::Impl::acknowledgeOpening(Time now, const WitnessAck& message)
{
  const bool expected =
    opening_ && message.holder == settings_.self && message.sequence == opening_->record.sequence &&
    std::find(registered_.begin(), registered_.end(), message.witness) != registered_.end();
  if (!expected) {
    return;
  }
  opening_->acknowledged.insert(message.witness);
  if (opening_->acknowledged.size() < registered_.size()) {
    return;
  }
  // After a new contact, control takes this process for one that opened nothing.
  if (now < contactAt_ + settings_.detachTime) {
    opening_.reset();
    return;
  }
  const auto lines = std::move(opening_->record.record.totals);
  opening_.reset();
  for (const auto& line : lines) {
    auto& account = accounts_.at(line.budget);
    account.opened = std::max(account.opened, std::min(line.opened, account.granted));
    touch(line.budget, account);
    urgent_.insert(line.budget);
  }
  settleSoon_ = true;
  admitWaiting(now);
}

} // namespace figchute::ledger
