#pragma once

#include "fleet/FleetState.h"
#include "ledger/Message.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::ledger {

/** Keys of non-idempotent requests and keyed bills are kept this long. */
constexpr Duration kKeyRetention = std::chrono::hours(24);
/** A key whose time is further in the future is refused. */
constexpr Duration kKeyFutureLimit = std::chrono::minutes(5);
/** How long a fingerprint is refused after its second crash. */
constexpr Duration kQuarantineTime = std::chrono::minutes(10);
/** Number of crashes after which a fingerprint is quarantined. */
constexpr std::uint64_t kQuarantineCrashes = 2;
/** Document texts kept per team; older versions keep their change ids for keyRetention only. */
constexpr std::size_t kHistoryTexts = 100;

/** One holder's share of a budget. */
struct HolderView
{
  HolderId holder;
  Tokens granted;
  Tokens settled;
  Tokens returned;
  Tokens held;
};

/** One budget: bought = settled + held + free. */
struct BudgetView
{
  BudgetId budget;
  Tokens bought;
  Tokens settled;
  Tokens held;
  Tokens free;
  std::vector<HolderView> holders;
};

/** An amount that stays held because a retired holder's witnesses have not all reported. */
struct StrandedView
{
  HolderId holder;
  BudgetId budget;
  Tokens amount;
  std::vector<HolderId> missing;
};

/** One accepted version of a document. */
struct VersionView
{
  std::uint64_t version = 0;
  ChangeId change;
  Time time;
  std::string text;
};

/** The documents of one team, oldest version first. */
struct DocumentView
{
  TeamId team;
  std::uint64_t version = 0;
  /** The revision at which the latest version was accepted. */
  std::uint64_t revision = 0;
  std::vector<VersionView> history;
};

/** The state of one claimed key. */
struct ClaimView
{
  CallerId caller;
  std::string key;
  RequestId request;
  HolderId holder;
  /** in_progress, done, unknown or open (released as not run). */
  std::string_view state;
  int status = 0;
};

/** One registered holder. */
struct RegisteredHolderView
{
  HolderId holder;
  ZoneId zone;
  std::vector<HolderId> witnesses;
  bool retiring = false;
};

/** Whether it is known what a dead holder had opened of its reserves. */
enum class UnlockedAmountStatus : std::uint8_t
{
  known,
  /** A witness can still report. */
  awaited,
  /** No witness is left. */
  lost,
};

/** How a dead holder with reserves was retired. */
struct RetirementView
{
  HolderId holder;
  UnlockedAmountStatus unlockedStatus = UnlockedAmountStatus::known;
  /** A witness reported; otherwise the clocks or the lack of witnesses decided. */
  bool reported = false;
  /** From its last contact to the start of its next incarnation, by the wall clock of its VM. */
  Duration contactGap{ 0 };
  /** Over all budgets: what returned to them, and what counts as spent without a report. */
  Tokens returned;
  Tokens writtenOff;
};

/** One control VM as the log knows it. */
struct MemberView
{
  ProcessId process;
  std::string diskId;
  ZoneId zone;
  bool voter = false;
};

/** The state machine over the replicated log. It is deterministic: two instances that applied the
    same entries have the same snapshot. Time comes from the entries.
    Thread safety: use one instance from one thread only. */
class ControlState
{
public:
  ControlState();
  ~ControlState();
  ControlState(ControlState&&) noexcept;
  ControlState& operator=(ControlState&&) noexcept;

  /** Applies one committed entry and checks the invariants of the budgets it touched.
      @param index    the index of the entry; entries are applied in order, an index that is not
                      larger than the last one is a broken invariant
      @param time     the time in the entry; a time before an earlier entry's counts as that time
      @param command  the command
      @returns the result for the proposer; refusals are in its verdict */
  Result apply(std::uint64_t index, Time time, const Command& command);

  /** Decodes and applies one committed entry.
      @returns the encoded Result; codec_error when the bytes are no command, in which case only the
      index advances */
  Expected<std::string> applyEncoded(std::uint64_t index, Time time, std::string_view command);

  /** Returns the whole state as bytes; equal states give equal bytes. */
  [[nodiscard]] std::string snapshot() const;

  /** Replaces the state by a snapshot.
      @returns codec_error when the bytes are no snapshot; the state is then unchanged */
  Expected<void> restore(std::string_view bytes);

  /** Sets the amounts of the prepaid budgets without an entry of the log, for tests and
      measurements; processes propose a configuration. */
  void setPrepaid(std::span<const PrepaidBudget> budgets);

  /** Returns the messages that applied entries caused (recalls) and forgets them. The leader sends
      them, followers drop them. They are no part of a snapshot. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the report requests for all retirements that miss a report. The leader sends them
     about once a second and proposes retireFrom() of each answer. */
  [[nodiscard]] std::vector<Outgoing> reportRequests() const;

  /** Builds the command that adds a witness report to a retirement. */
  static Retire makeRetireCommand(const WitnessReport& report);

  /** Returns the index of the last applied entry. */
  [[nodiscard]] std::uint64_t lastIndex() const;

  /** Returns the count of accepted documents. */
  [[nodiscard]] std::uint64_t revision() const;

  /** Builds the answer to a poll: the documents accepted after the polled revision, and the
      quarantine when it changed. */
  [[nodiscard]] DocumentPush documentsSince(const DocumentPoll& poll) const;

  /** Returns one budget, or nothing when no document names it. */
  [[nodiscard]] std::optional<BudgetView> budget(const BudgetId& id) const;

  /** Returns all budgets by name. */
  [[nodiscard]] std::vector<BudgetView> budgets() const;

  /** Returns what retiring holders hold. */
  [[nodiscard]] std::vector<StrandedView> stranded() const;

  /** Returns one team's document with its history, or nothing when there is none. */
  [[nodiscard]] std::optional<DocumentView> document(const TeamId& team) const;

  /** Returns the teams that have a document. */
  [[nodiscard]] std::vector<TeamId> teams() const;

  /** Returns all claims that are kept. */
  [[nodiscard]] std::vector<ClaimView> claims() const;

  /** Returns the number of keyed bills that are kept. */
  [[nodiscard]] std::size_t keyedBillCount() const;

  /** Returns the billed amount of a key against one budget, or 0 when there is none. */
  [[nodiscard]] Tokens keyedBill(const CallerId& caller,
                                 std::string_view key,
                                 const BudgetId& budget) const;

  /** Returns the fingerprints that are quarantined at @p now. */
  [[nodiscard]] std::vector<QuarantineEntry> quarantine(Time now) const;

  /** Returns the registered holders that are not completely retired. */
  [[nodiscard]] std::vector<RegisteredHolderView> holders() const;

  /** Returns the holders with reserves that were retired since the last call; the newest of
      many are left out. */
  std::vector<RetirementView> takeRetirements();

  /** Returns the members of the log. */
  [[nodiscard]] std::vector<MemberView> members() const;

  /** Returns configuration and endpoint registry. The reference stays valid, also over restore(),
      until this object is assigned to or destroyed. */
  [[nodiscard]] const fleet::FleetState& fleet() const;

private:
  struct State;

  std::unique_ptr<State> state_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::ledger
