#pragma once

#include "ledger/Command.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace figchute::ledger::detail {

/** Counts the use of a budget in two intervals, the last full one and the current one. */
struct RecentUse
{
  Time start;
  Tokens last;
  Tokens current;

  void add(Time time, Tokens amount);
  [[nodiscard]] double perSecond(Time time) const;

  MSGPACK_DEFINE(start, last, current)
};

/** One holder's account of one budget, as control knows it. */
struct HolderAccount
{
  HolderId holder;
  Tokens granted;
  /** The part of `granted` that the holder may have spent; the rest is its reserve. */
  Tokens opened;
  /** Bills of requests without a key, a cumulative total. */
  Tokens charged;
  /** What keyed bills added to this account. */
  Tokens keyed;
  Tokens returned;
  std::uint64_t lastGrant = 0;
  Time lastGrantAt;
  /** Charges of a holder with reserves. */
  RecentUse use;

  [[nodiscard]] Tokens settled() const { return charged + keyed; }
  [[nodiscard]] Tokens reserve() const { return granted - opened; }

  MSGPACK_DEFINE(holder, granted, opened, charged, keyed, returned, lastGrant, lastGrantAt, use)
};

/** The transfers of one budget from one holder to another. */
struct Flow
{
  HolderId from;
  HolderId to;
  /** The cumulative total that the sender or its records report. */
  Tokens sent;
  /** The cumulative total that the receiver or its records report. */
  Tokens received;
  bool fromRetired = false;
  bool toRetired = false;

  /** Tokens on the way count as held by the receiver. A retired receiver gets nothing more, so what
      it did not record stays with the sender. */
  [[nodiscard]] Tokens total() const { return toRetired ? received : std::max(sent, received); }

  MSGPACK_DEFINE(from, to, sent, received, fromRetired, toRetired)
};

/** One budget with its accounts. */
struct Budget
{
  Tokens bought;
  /** Settled tokens of closed and retired accounts. */
  Tokens closedSettled;
  /** Granted minus returned tokens of closed and retired accounts. */
  Tokens closedNet;
  Time recalledAt;
  std::vector<HolderAccount> accounts;
  std::vector<Flow> flows;
  /** Set by a configuration, so that `bought` may be lowered and free() may be negative. */
  bool prepaid = false;
  /** The latest configuration does not name the budget: nothing is granted. */
  bool closed = false;
  /** The largest `bought` so far of a prepaid budget. */
  Tokens largest;
  /** The time of the first grant. */
  Time openedAt;
  /** Charges of holders without witnesses. */
  RecentUse use;

  HolderAccount* find(const HolderId& holder);
  [[nodiscard]] const HolderAccount* find(const HolderId& holder) const;
  HolderAccount& findOrOpen(const HolderId& holder);
  Flow& flow(const HolderId& from, const HolderId& to);
  [[nodiscard]] bool hasFlows(const HolderId& holder) const;
  [[nodiscard]] Tokens held(const HolderAccount& account) const;
  /** Returns what an account holds without its reserve. */
  [[nodiscard]] Tokens openOf(const HolderAccount& account) const
  {
    return held(account) - account.reserve();
  }
  [[nodiscard]] Tokens held() const;
  [[nodiscard]] Tokens settled() const;
  /** Negative when a prepaid budget was lowered below what is settled and held. */
  [[nodiscard]] Tokens free() const;
  /** Returns what may be granted: nothing of a closed or lowered budget, else what is free. */
  [[nodiscard]] Tokens grantable() const;
  void close(const HolderId& holder);

  MSGPACK_DEFINE(bought,
                 closedSettled,
                 closedNet,
                 recalledAt,
                 accounts,
                 flows,
                 prepaid,
                 closed,
                 largest,
                 openedAt,
                 use)
};

} // namespace figchute::ledger::detail
