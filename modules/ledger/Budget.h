#pragma once

#include "ledger/Command.h"
#include "ledger/TransferTable.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace figchute::ledger::detail {

/** Measures the recent usage of a budget over two intervals: the last complete one and the current
    one. */
struct UsageWindow
{
  Time intervalStart;
  Tokens previousUsage;
  Tokens currentUsage;

  void add(Time time, Tokens amount);
  [[nodiscard]] double perSecond(Time time) const;

  MSGPACK_DEFINE(intervalStart, previousUsage, currentUsage)
};

/** One holder's account of one budget, as known to control. */
struct HolderAccount
{
  HolderId holder;
  Tokens granted;
  /** The part of `granted` that the holder may have spent. The rest is its reserve. */
  Tokens unlocked;
  /** The cumulative charges of requests without an idempotency key. */
  Tokens charged;
  /** The cumulative charges that keyed bills added to this account. */
  Tokens keyedCharged;
  Tokens returned;
  std::uint64_t lastGrantSequence = 0;
  Time lastGrantRequestAt;
  /** The tokens that running requests of the holder have reserved, as last reported. Decides
     nothing here; other holders are told how much could be moved to them. */
  Tokens reserved;
  /** Recent charges; counted for holders without records of charges only. */
  UsageWindow usage;
  /** The time of the last recall from this holder. Not part of a snapshot: after a restart, the
      holder may be asked once more. */
  Time recalledAt;
  /** The tokens that other holders transferred to this one, minus those that it transferred to
      others. Derived from the transfers of the budget, not part of a snapshot. */
  Tokens transferredNet;
  /** The number of other holders with transfers from or to this one. Derived in the same way. */
  std::uint32_t transferPairs = 0;

  [[nodiscard]] Tokens held() const { return granted + transferredNet - settled() - returned; }
  /** Returns the tokens that the holder holds, excluding its reserve. */
  [[nodiscard]] Tokens unlockedHeld() const { return held() - reserveAmount(); }
  [[nodiscard]] Tokens settled() const { return charged + keyedCharged; }
  [[nodiscard]] Tokens reserveAmount() const { return granted - unlocked; }

  MSGPACK_DEFINE(holder,
                 granted,
                 unlocked,
                 charged,
                 keyedCharged,
                 returned,
                 lastGrantSequence,
                 lastGrantRequestAt,
                 usage,
                 reserved)
};

/** The amounts of an account, or of all accounts of a budget, that count for the budget. */
struct AccountAmounts
{
  /** Granted minus returned tokens. */
  Tokens netGranted;
  Tokens settled;
  Tokens held;

  AccountAmounts& operator+=(const AccountAmounts& other);
  AccountAmounts& operator-=(const AccountAmounts& other);
  bool operator==(const AccountAmounts&) const = default;
};

/** Returns the amounts of an account. */
AccountAmounts amountsOf(const HolderAccount& account);

/** One budget with its accounts and transfers. */
struct Budget
{
  Tokens bought;
  /** Settled tokens of closed and retired accounts. */
  Tokens closedSettled;
  /** Granted minus returned tokens of closed and retired accounts. */
  Tokens closedNetGranted;
  Time recalledAt;
  /** Sorted by holder. Amounts may be changed only through findAccount(), findOrOpenAccount() and
      the functions for transfers, which keep the sums over all accounts up to date. */
  std::vector<HolderAccount> accounts;
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

  /** Returns the account of a holder for changes, or nullptr. The pointer is valid until an account
      is opened or closed, or until finishChanges(). */
  HolderAccount* findAccount(const HolderId& holder);
  [[nodiscard]] const HolderAccount* findAccount(const HolderId& holder) const;
  HolderAccount& findOrOpenAccount(const HolderId& holder);
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

  /** Ends the changes to the accounts that were returned for changes. */
  void finishChanges();

  /** Returns the accounts that were returned for changes since the last finishChanges(). */
  [[nodiscard]] std::vector<const HolderAccount*> changedAccounts() const;

  /** Returns the other holders with the most unlocked tokens that no request has reserved, the
      largest amount first.
      @param maxCount  the number of holders that are returned at most */
  [[nodiscard]] std::vector<HolderId> richestHolders(const HolderId& except,
                                                     std::size_t maxCount) const;

  /** Returns the tokens of all other holders that no running request has reserved. */
  [[nodiscard]] Tokens idleTokens(const HolderId& except) const;

  /** Returns the sum of the amounts of all accounts by adding them up. */
  [[nodiscard]] AccountAmounts addUpAccounts() const;

  [[nodiscard]] Tokens held() const { return sums().held; }
  [[nodiscard]] Tokens settled() const { return closedSettled + sums().settled; }
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
  /** An account that may have changed, and its amounts that are included in the sums. */
  struct ChangedAccount
  {
    std::size_t index = 0;
    AccountAmounts included;
  };

  /** Returns the sums of the amounts of all accounts. */
  [[nodiscard]] const AccountAmounts& sums() const;
  HolderAccount* beginChange(std::vector<HolderAccount>::iterator account);

  /** Adds @p change to the number of pairs of both accounts. */
  void countPair(const TransferPair& pair, std::int32_t change);
  /** Moves tokens between the accounts of a pair, as far as they exist. */
  void moveTokens(const TransferPair& pair, Tokens amount);

  mutable AccountAmounts sums_;
  mutable std::vector<ChangedAccount> changedAccounts_;
};

} // namespace figchute::ledger::detail
