#pragma once

#include "ledger/Command.h"

#include <algorithm>
#include <cstdint>
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
  /** Recent charges; counted for holders without records of charges only. */
  UsageWindow usage;

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
                 usage)
};

/** The cumulative transfers of one budget from one holder to another. */
struct TransferTotals
{
  HolderId from;
  HolderId to;
  /** The cumulative total as reported by the sender or its records. */
  Tokens sent;
  /** The cumulative total as reported by the receiver or its records. */
  Tokens received;
  bool senderRetired = false;
  bool receiverRetired = false;

  /** Returns the total that counts for both accounts. Tokens in transit count as held by the
      receiver. A retired receiver accepts nothing more, so what it has not recorded stays with the
      sender. */
  [[nodiscard]] Tokens total() const
  {
    return receiverRetired ? received : std::max(sent, received);
  }

  MSGPACK_DEFINE(from, to, sent, received, senderRetired, receiverRetired)
};

/** One budget with its accounts and transfers. */
struct Budget
{
  Tokens bought;
  /** Settled tokens of closed and retired accounts. */
  Tokens closedSettled;
  /** Granted minus returned tokens of closed and retired accounts. */
  Tokens closedNetGranted;
  Time recalledAt;
  std::vector<HolderAccount> accounts;
  std::vector<TransferTotals> transfers;
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

  HolderAccount* findAccount(const HolderId& holder);
  [[nodiscard]] const HolderAccount* findAccount(const HolderId& holder) const;
  HolderAccount& findOrOpenAccount(const HolderId& holder);
  TransferTotals& transferTotals(const HolderId& from, const HolderId& to);
  [[nodiscard]] bool hasTransfers(const HolderId& holder) const;
  [[nodiscard]] Tokens held(const HolderAccount& account) const;
  /** Returns the tokens that an account holds, excluding its reserve. */
  [[nodiscard]] Tokens unlockedHeld(const HolderAccount& account) const
  {
    return held(account) - account.reserveAmount();
  }
  [[nodiscard]] Tokens held() const;
  [[nodiscard]] Tokens settled() const;
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
                 usage)
};

} // namespace figchute::ledger::detail
