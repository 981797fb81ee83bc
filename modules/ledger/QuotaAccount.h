#pragma once

#include "ledger/QuotaManager.h"

#include <optional>

namespace figchute::ledger::detail {

/** The cumulative transfers to or from one other holder. */
struct PeerTransfers
{
  HolderId peer;
  Tokens total;
  /** The part of `total` that control has confirmed. */
  Tokens confirmed;
};

/** A quota manager's account of one budget. */
struct QuotaAccount
{
  Tokens granted;
  /** The part of `granted` that may be spent. The rest is the reserve. */
  Tokens unlocked;
  /** The highest value of `unlocked` that control has confirmed. */
  Tokens confirmedUnlocked;
  /** Charges of requests without an idempotency key. */
  Tokens charged;
  /** Keyed charges that control has not settled yet, at their full amount. */
  Tokens unsettledKeyed;
  /** The amount that control charged this account for keyed charges. */
  Tokens settledKeyed;
  Tokens returned;
  Tokens reserved;
  /** The largest amount so far by which spent and returned tokens exceeded the tokens received from
      other holders, and which therefore came from grants. */
  Tokens maxGrantUsed;
  std::vector<PeerTransfers> transfersIn;
  std::vector<PeerTransfers> transfersOut;

  /** The record clock at the last change that has to be recorded. */
  std::uint64_t changedClock = 0;
  /** The record clock of the latest totals that control has confirmed. */
  std::uint64_t confirmedClock = 0;
  /** Witnesses that may hold a record of this account. */
  std::vector<HolderId> recordedBy;
  /** True when the totals differ from those in the last Settle sent. */
  bool hasUnsettledTotals = false;
  /** True when the account is part of the Settle in flight. */
  bool inSettleInFlight = false;
  /** True when the account waits to be closed or its closing is in flight. It must not change
      then. */
  bool closing = false;
  /** The number of journal records that must be synced before the account is closed. */
  std::uint64_t closeAfterJournalCount = 0;

  /** The id of the proposal that requests a grant, or 0. */
  std::uint64_t grantProposal = 0;
  /** The earliest time of the next grant request for waiting requests. */
  Time nextGrantRequestAt;
  /** The earliest time of the next grant request for expected demand alone. */
  Time nextDemandRequestAt;
  /** The pause after a grant that did not cover the waiting requests. */
  Duration grantRequestPause{ 0 };
  /** Until this time the budget counts as low and unreserved tokens are returned at once. */
  Time budgetLowUntil;
  /** The exponentially decayed rate of reservations in tokens per second, at demandUpdatedAt. */
  double demandRate = 0;
  /** The same rate with a time constant of 1 s. It follows a sudden rise at once. */
  double shortDemandRate = 0;
  Time demandUpdatedAt;
  /** The time of the first reservation after a pause that is long against the time constant. */
  Time demandStartedAt;
  Time lastReservationAt;
  Tokens lastBound;
  /** The amount of the whole budget in the latest configuration. */
  Tokens prepaid;
  /** The initial grant is kept until this time. */
  Time initialGrantUntil;
  /** The tokens available after the last grant. The next grant is requested when the available
      tokens fall below a fixed part of it. */
  Tokens availableAfterGrant;
  /** The largest bound of recent requests. */
  Tokens largestBound;
  /** The index of the last peer that was sent a transfer request; peers are selected in turn. */
  std::size_t transferPeerIndex = 0;
  /** The peer whose answer to a transfer request is awaited. */
  HolderId transferRequestedFrom;
  /** The number of peers that have refused a transfer in this round, or not answered. */
  std::size_t transferRefusals = 0;
  /** No transfer is requested before this time, because a round had no success. */
  Time nextTransferRoundAt;
  /** The peers with the most tokens at the last grant. They are asked first. */
  std::vector<HolderId> richestPeers;
  Time transferRequestedAt;
  /** The tokens that another holder requested without success, and the time until which they count
      as demand. */
  Tokens peerShortfall;
  Time peerShortfallUntil;
  /** The tokens that were free after the last grant, and those of other holders. */
  std::optional<Tokens> lastFree;
  std::optional<Tokens> lastHeldByOthers;
  Time lastGrantAt;

  [[nodiscard]] Tokens totalIn() const;
  [[nodiscard]] Tokens totalOut() const;
  [[nodiscard]] Tokens spent() const { return charged + unsettledKeyed + settledKeyed; }

  /** Returns the tokens that are neither spent nor returned nor transferred to others. */
  [[nodiscard]] Tokens held() const
  {
    return granted + totalIn() - totalOut() - spent() - returned;
  }

  /** Returns the granted tokens that are not unlocked. */
  [[nodiscard]] Tokens reserveAmount() const { return granted - unlocked; }

  /** Returns the part of the reserve that may be unlocked without a confirmation from control. */
  [[nodiscard]] Tokens unlockableAmount() const;

  /** Returns the tokens that new requests may reserve. */
  [[nodiscard]] Tokens available() const { return held() - reserveAmount() - reserved; }

  /** Updates maxGrantUsed after a charge or a return. */
  void updateMaxGrantUsed();

  /** Returns the tokens that may be transferred. Tokens received from another holder are excluded,
      because control could otherwise receive the report of the second transfer before the first. */
  [[nodiscard]] Tokens transferable() const;

  /** Returns whether, by the last grant, neither this holder nor control nor the other holders have
      tokens for a request. */
  [[nodiscard]] bool isSpent(Tokens bound) const;

  [[nodiscard]] bool isBudgetLow(Time now) const { return now < budgetLowUntil; }

  /** Returns the decayed demand rate in tokens per second.
      @param window  the time constant of the decay */
  [[nodiscard]] double demandRateAt(Time now, Duration window) const;

  /** Returns the expected demand of the next @p horizon at the decayed rate. */
  [[nodiscard]] Tokens demandWithin(Time now, Duration window, Duration horizon) const;

  /** Returns the expected demand that a stock has to cover, the larger of two estimates: the
      decayed rate, corrected for a demand that began within its time constant, and the rate with a
      time constant of 1 s, which follows a sudden rise. */
  [[nodiscard]] Tokens stockDemandWithin(Time now, Duration window, Duration horizon) const;

  /** Adds a reservation to the demand rate. */
  void addDemand(Time now, Tokens bound, Duration window);

  /** Returns the totals in the form in which they are recorded, with all transfers. */
  [[nodiscard]] AccountTotals totals(const BudgetId& id) const;

  /** Returns the totals in the form in which they are reported to control: with the transfers that
      control has not confirmed. */
  [[nodiscard]] AccountTotals unconfirmedTotals(const BudgetId& id) const;

  /** Marks the transfers of a report as confirmed. */
  void confirmTransfers(const AccountTotals& reported);
};

/** Returns the total of a peer. Adds the peer if it is missing. */
Tokens& findOrAddTotal(std::vector<PeerTransfers>& transfers, const HolderId& peer);

} // namespace figchute::ledger::detail
