#pragma once

#include "ledger/AccountTable.h"
#include "ledger/TransferTable.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace figchute::ledger::detail {

/** One budget with its accounts and transfers. */
struct Budget
{
  Tokens bought;
  /** Settled tokens of closed and retired accounts. */
  Tokens closedSettled;
  /** Granted minus returned tokens of closed and retired accounts. */
  Tokens closedNetGranted;
  Time recalledAt;
  AccountTable accounts;
  /** Change it only with changeTransfer(), changeTransfersOf(), eraseTransfer() and
      eraseTransfersOf(). */
  TransferTable transfers;
  /** True for a budget of a configuration, whose `bought` may be lowered and whose free() may be
      negative. */
  bool prepaid = false;
  /** True when the latest configuration does not contain the budget. Nothing is granted then. */
  bool closed = false;
  /** The highest value that `bought` of a prepaid budget has had. */
  Tokens largestPrepaid;
  /** The time of the first grant request. */
  Time firstGrantRequestAt;
  /** Recent charges of all holders that keep no records of charges. */
  UsageWindow usage;
  /** The number of holders with recent grant requests. Exact at activeHoldersAt; holders that
      became active since then are added, and those that became idle are still included. */
  std::int64_t activeHolders = 0;
  Time activeHoldersAt;

  /** Records a grant request of an account. */
  void addGrantRequest(Time time, HolderAccount& account);

  /** Returns the number of holders with grant requests in the last 30 s, at least 1. Holders that
      became idle count for up to 1 s more. */
  std::int64_t countActiveHolders(Time time);

  /** Returns the account of a holder for changes, or nullptr. @see AccountTable::findForChange() */
  HolderAccount* findAccount(const HolderId& holder) { return accounts.findForChange(holder); }
  [[nodiscard]] const HolderAccount* findAccount(const HolderId& holder) const
  {
    return accounts.find(holder);
  }
  /** Returns the account of a holder for changes, and whether it was missing and is added. */
  std::pair<HolderAccount&, bool> findOrOpenAccount(const HolderId& holder);
  /** Returns the transfers of a pair, or nothing if there were none. */
  [[nodiscard]] std::optional<TransferTotals> findTransfer(const TransferPair& pair) const;

  /** Changes the transfers of a pair, adding the pair if it is missing, and updates both accounts.
      @param change  called with the TransferTotals of the pair */
  template<typename Change>
  void changeTransfer(const TransferPair& pair, Change change)
  {
    const auto [totals, added] = transfers.findOrAdd(pair);
    if (added) {
      countPair(pair, 1);
    }
    const auto previousTotal = totals.total();
    change(totals);
    moveTokens(pair, totals.total() - previousTotal);
  }

  /** Calls changeTransfer() for each pair of a holder.
      @param change  called with the TransferPair and its TransferTotals */
  template<typename Change>
  void changeTransfersOf(const HolderId& holder, Change change)
  {
    for (const auto& pair : transfers.pairsOf(holder)) {
      changeTransfer(pair, [&](TransferTotals& totals) { change(pair, totals); });
    }
  }

  /** Removes a pair and its effect on both accounts. */
  void eraseTransfer(const TransferPair& pair);

  /** Removes the pairs of a holder for which @p isObsolete returns true. Neither holder of such a
      pair may have an account. */
  template<typename Predicate>
  void eraseTransfersOf(const HolderId& holder, Predicate isObsolete)
  {
    for (const auto& pair : transfers.pairsOf(holder)) {
      if (isObsolete(pair, *transfers.find(pair))) {
        transfers.erase(pair);
      }
    }
  }

  /** Computes the derived members of the budget and of all accounts. Call it after decoding. */
  void rebuildSums();

  /** Returns the other holders with the most unlocked tokens that no request has reserved, the
      largest amount first.
      @param maxCount  the number of holders that are returned at most */
  [[nodiscard]] std::vector<HolderId> richestHolders(const HolderId& except,
                                                     std::size_t maxCount) const;

  /** Returns the tokens of all other holders that no running request has reserved. */
  [[nodiscard]] Tokens idleTokens(const HolderId& except) const;

  [[nodiscard]] Tokens held() const { return accounts.sums().held; }
  [[nodiscard]] Tokens settled() const { return closedSettled + accounts.sums().settled; }
  /** Returns the tokens that are neither settled nor held. Negative when a prepaid budget was
      lowered below the sum of both. */
  [[nodiscard]] Tokens free() const;
  /** Returns the tokens that may be granted: free(), or 0 when the budget is closed or free() is
      negative. */
  [[nodiscard]] Tokens grantable() const;
  void closeAccount(const HolderId& holder);

  MSGPACK_DEFINE(bought,
                 closedSettled,
                 closedNetGranted,
                 recalledAt,
                 accounts,
                 transfers,
                 prepaid,
                 closed,
                 largestPrepaid,
                 firstGrantRequestAt,
                 usage,
                 activeHolders,
                 activeHoldersAt)

private:
  /** Adds @p change to the number of pairs of both accounts. */
  void countPair(const TransferPair& pair, std::int32_t change);
  /** Moves tokens between the accounts of a pair, as far as they exist. */
  void moveTokens(const TransferPair& pair, Tokens amount);
};

} // namespace figchute::ledger::detail
