#pragma once

#include "ledger/Wallet.h"

#include <set>

namespace figchute::ledger::detail {

/** A wallet's account of one budget. */
struct WalletAccount
{
  Tokens granted;
  /** The part of `granted` that may be spent; the rest is the reserve. */
  Tokens opened;
  /** The largest `opened` that control has confirmed. */
  Tokens openedConfirmed;
  /** Bills of requests without a key. */
  Tokens charged;
  /** Keyed bills that control has not settled yet, at their full amount. */
  Tokens keyedPending;
  /** What control charged this account for keyed bills. */
  Tokens keyedSettled;
  Tokens returned;
  Tokens reserved;
  /** The largest amount so far by which spent and returned tokens exceeded the received ones. */
  Tokens ownUsed;
  std::vector<PeerTotal> in;
  std::vector<PeerTotal> out;

  /** The record clock at the last change that a witness must know. */
  std::uint64_t changed = 0;
  /** The largest record clock whose totals control has confirmed. */
  std::uint64_t confirmed = 0;
  /** Witnesses that may hold a line of this account. */
  std::vector<HolderId> recordedAt;
  /** Totals differ from the last Settle sent. */
  bool dirty = false;
  /** Part of the Settle in flight. */
  bool settling = false;
  /** The account waits to be closed, or its closing is in flight; nothing may change in it. */
  bool closing = false;
  /** The journal record count that must be synced before the account is closed. */
  std::uint64_t closeAfter = 0;

  /** The proposal that asks for a grant, or 0. */
  std::uint64_t grantProposal = 0;
  /** The next time at which a grant may be asked for a waiting request. */
  Time askAt;
  /** The next time at which a grant may be asked for demand alone. */
  Time demandAskAt;
  /** The pause before the next request after one that was not satisfied. */
  Duration askPause{ 0 };
  /** The budget runs low until this time: what is not reserved goes back at once. */
  Time scarceUntil;
  /** Reserved tokens per second, decayed. */
  double demand = 0;
  Time demandAt;
  Time lastReserve;
  Tokens lastBound;
  /** The amount of the budget in the latest configuration. */
  Tokens prepaid;
  /** The start grant is kept until this time. */
  Time startUntil;
  /** What was available after the last grant; the next one is asked for at half of it. */
  Tokens level;
  /** The largest bound of the recent requests. */
  Tokens largestBound;
  /** Rotates over the peers that are asked for transfers. */
  std::size_t transferPeer = 0;
  /** The peer whose answer is awaited. */
  HolderId transferAsked;
  /** Peers of this round that had nothing. */
  std::size_t transferRefusals = 0;
  Time transferAskedAt;
  /** When control is asked again whether the reserve has the right size. */
  Time reserveAskAt;
  /** What another holder asked for in vain, and until when it counts as demand. */
  Tokens peerWant;
  Time peerWantUntil;

  [[nodiscard]] Tokens received() const;
  [[nodiscard]] Tokens passedOn() const;
  [[nodiscard]] Tokens spent() const { return charged + keyedPending + keyedSettled; }

  /** Everything that is neither spent, returned nor passed on. */
  [[nodiscard]] Tokens held() const
  {
    return granted + received() - passedOn() - spent() - returned;
  }

  /** What was granted and is not open. */
  [[nodiscard]] Tokens reserve() const { return granted - opened; }

  /** What a new request may reserve. */
  [[nodiscard]] Tokens available() const { return held() - reserve() - reserved; }

  /** Updates ownUsed after a bill or a return. */
  void noteUse();

  /** What may be passed on: only tokens granted by control. Tokens that came from another holder
     stay, because control could otherwise learn of the second transfer before the first. */
  [[nodiscard]] Tokens transferable() const;

  [[nodiscard]] bool scarce(Time now) const { return now < scarceUntil; }

  /** Returns the decayed demand in tokens per second.
      @param window  the time constant of the decay */
  [[nodiscard]] double demandAtTime(Time now, Duration window) const;

  /** Returns the demand of the time @p horizon to come, at the decayed rate. */
  [[nodiscard]] Tokens demandWithin(Time now, Duration window, Duration horizon) const;

  /** Adds a reservation to the demand. */
  void addDemand(Time now, Tokens bound, Duration window);

  /** Returns the totals as they are reported. */
  [[nodiscard]] AccountTotals totals(const BudgetId& id) const;
};

/** Returns the total of a peer, adding the peer when it is new. */
Tokens& totalOf(std::vector<PeerTotal>& totals, const HolderId& peer);

} // namespace figchute::ledger::detail
