#pragma once

#include "ledger/Command.h"

#include <cstdint>
#include <map>
#include <set>
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
  /** Held tokens that no running request has reserved. */
  Tokens idle;

  AccountAmounts& operator+=(const AccountAmounts& other);
  AccountAmounts& operator-=(const AccountAmounts& other);
  bool operator==(const AccountAmounts&) const = default;
};

/** Returns the amounts of an account. */
AccountAmounts amountsOf(const HolderAccount& account);

/** Accounts in the order of an amount, the largest first, without those whose amount is not
    positive. Thread safety: use one instance from one thread only. */
class AccountRanking
{
public:
  void add(HolderAccount& account, Tokens amount);
  /** Removes an account that was added with this amount. */
  void remove(HolderAccount& account, Tokens amount);
  void clear() { accounts_.clear(); }

  /** Calls @p visit for the accounts in their order until it returns false. It may not change the
      amounts of accounts. */
  template<typename Visitor>
  void visit(Visitor visit) const
  {
    for (const auto& [amount, account] : accounts_) {
      if (!visit(*account)) {
        return;
      }
    }
  }

private:
  struct Order
  {
    using Item = std::pair<Tokens, HolderAccount*>;
    bool operator()(const Item& a, const Item& b) const
    {
      return a.first != b.first ? a.first > b.first : a.second->holder < b.second->holder;
    }
  };

  std::set<Order::Item, Order> accounts_;
};

/** The accounts of one budget by holder. Their sums and rankings are kept up to date, so that no
    command has to look at all accounts. A snapshot contains the accounts as a list, sorted by
    holder.
    Thread safety: use one instance from one thread only. */
class AccountTable
{
public:
  using Accounts = std::map<HolderId, HolderAccount>;

  AccountTable() = default;
  AccountTable(const AccountTable&) = delete;
  AccountTable& operator=(const AccountTable&) = delete;
  AccountTable(AccountTable&&) = default;
  AccountTable& operator=(AccountTable&&) = default;
  ~AccountTable() = default;

  /** Returns the account of a holder, or nullptr. The pointer is valid until the account is closed.
   */
  [[nodiscard]] const HolderAccount* find(const HolderId& holder) const;

  /** Returns the account of a holder for changes, or nullptr. Its amounts may be changed until
      finishChanges() is called. */
  HolderAccount* findForChange(const HolderId& holder);

  /** Returns the account of a holder for changes, and whether it was missing and is added. */
  std::pair<HolderAccount&, bool> findOrOpen(const HolderId& holder);

  /** Removes an account.
      Precondition: the holder has an account. */
  void close(const HolderId& holder);

  /** Ends the changes to the accounts that were returned for changes. */
  void finishChanges();

  /** Returns the accounts that were returned for changes since the last finishChanges(). */
  [[nodiscard]] std::vector<const HolderAccount*> changed() const;

  /** Computes the sums and rankings. Call it after decoding, when all accounts are complete. */
  void rebuild();

  /** Calls @p change for each account. Call rebuild() afterwards if it changes amounts. */
  template<typename Change>
  void changeAll(Change change)
  {
    for (auto& [holder, account] : accounts_) {
      change(account);
    }
  }

  /** Returns the sums of the amounts of all accounts. */
  [[nodiscard]] const AccountAmounts& sums() const;

  /** Returns the same sums by adding up all accounts. */
  [[nodiscard]] AccountAmounts addUp() const;

  /** Returns the accounts by held tokens that no running request has reserved. */
  [[nodiscard]] const AccountRanking& byIdle() const;

  /** Returns the accounts by unlocked tokens that no running request has reserved. */
  [[nodiscard]] const AccountRanking& byUnlockedIdle() const;

  [[nodiscard]] const Accounts& all() const { return accounts_; }

  template<typename Packer>
  void msgpack_pack(Packer& packer) const
  {
    packer.pack_array(static_cast<std::uint32_t>(accounts_.size()));
    for (const auto& [holder, account] : accounts_) {
      packer.pack(account);
    }
  }

  void msgpack_unpack(const msgpack::object& object);

private:
  /** An account that may have changed, and its amounts that the sums and rankings have. */
  struct ChangedAccount
  {
    HolderAccount* account = nullptr;
    AccountAmounts included;
    Tokens includedUnlockedIdle;
  };

  void beginChange(HolderAccount& account);
  /** Brings the sums and rankings up to date. */
  void include() const;

  Accounts accounts_;
  mutable AccountAmounts sums_;
  mutable AccountRanking byIdle_;
  mutable AccountRanking byUnlockedIdle_;
  mutable std::vector<ChangedAccount> changed_;
};

} // namespace figchute::ledger::detail
