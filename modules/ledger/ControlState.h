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

/** How long the keys of non-idempotent requests and keyed bills are kept. */
constexpr Duration kKeyRetention = std::chrono::hours(24);
/** A key whose time is further in the future than this is refused. */
constexpr Duration kKeyFutureLimit = std::chrono::minutes(5);
/** How long a fingerprint is refused after a crash that quarantines it. */
constexpr Duration kQuarantineTime = std::chrono::minutes(10);
/** The number of crashes after which a fingerprint is quarantined. */
constexpr std::uint64_t kQuarantineThreshold = 2;
/** The number of document versions kept per team. The outcomes of changes are kept independently of
    this, for kKeyRetention. */
constexpr std::size_t kMaxDocumentVersions = 100;

/** One holder's account of a budget. */
struct HolderView
{
  HolderId holder;
  Tokens granted;
  Tokens settled;
  Tokens returned;
  Tokens held;
};

/** One budget, for which bought = settled + held + free. */
struct BudgetView
{
  BudgetId budget;
  Tokens bought;
  Tokens settled;
  Tokens held;
  Tokens free;
  std::vector<HolderView> holders;
};

/** An amount that stays held because not all witnesses of a retiring holder have reported. */
struct UnreclaimedTokensView
{
  HolderId holder;
  BudgetId budget;
  Tokens amount;
  std::vector<HolderId> missingWitnesses;
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
  /** The document revision at which the latest version was accepted. */
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
  /** One of in_progress, done, unknown and open (released because the request did not run). */
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

/** How it is known what a failed holder had unlocked. */
enum class RetirementProof : std::uint8_t
{
  /** It is not known; the holder may have unlocked up to its limit. */
  none,
  /** A witness or the holder itself reported. */
  report,
  /** The holder ended so soon after its last contact that it had unlocked nothing since. */
  contact,
  /** The holder had no witnesses, without which it unlocks nothing. */
  noWitness,
};

/** The retirement of a failed holder with reserves. */
struct RetirementView
{
  HolderId holder;
  RetirementProof proof = RetirementProof::none;
  /** The tokens returned to their budgets and the tokens counted as spent without a report, summed
      over all budgets. */
  Tokens returned;
  Tokens writtenOff;
};

/** One control VM that is a member of the log. */
struct MemberView
{
  ProcessId process;
  std::string diskId;
  ZoneId zone;
  bool voter = false;
};

/** The state machine of the replicated log. It is deterministic: two instances that have applied
    the same entries have equal snapshots. Time is taken from the entries.
    Thread safety: use one instance from one thread only. */
class ControlState
{
public:
  ControlState();
  ~ControlState();
  ControlState(ControlState&&) noexcept;
  ControlState& operator=(ControlState&&) noexcept;

  /** Applies one committed entry and checks the invariants of the budgets it touched.
      Precondition: @p index is larger than that of the last applied entry.
      @param index    the index of the entry
      @param time     the time in the entry; a time before that of an earlier entry is replaced by
                      the latter
      @param command  the command
      @returns the result for the proposer; its verdict states when the command was refused */
  Result apply(std::uint64_t index, Time time, const Command& command);

  /** Decodes and applies one committed entry.
      @returns the encoded Result; codec_error when the bytes cannot be decoded as a command, in
      which case only the index advances */
  Expected<std::string> applyEncoded(std::uint64_t index, Time time, std::string_view command);

  /** Advances to the index of an entry that cannot be decoded as a command and changes nothing
     else. Precondition: @p index is larger than that of the last applied entry. */
  void skip(std::uint64_t index);

  /** Returns the whole state as bytes; equal states give equal bytes. */
  [[nodiscard]] std::string snapshot() const;

  /** Replaces the state by a snapshot.
      @returns codec_error when the bytes are not a snapshot; the state is unchanged then */
  Expected<void> restore(std::string_view bytes);

  /** Sets the amounts of the prepaid budgets without a log entry, for tests and measurements.
      Processes propose a PutConfiguration instead. */
  void setPrepaid(std::span<const PrepaidBudget> budgets);

  /** Returns and clears the messages that applied entries caused. The leader sends them, followers
      discard them. They are not part of a snapshot. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns the requests to the witnesses that still have to report on a retiring holder, and the
      recalls to live holders that have not received a final transfer total. The leader sends them
      about once a second and proposes makeRetireCommand() of each answer. */
  [[nodiscard]] std::vector<OutgoingMessage> reportRequests() const;

  /** Returns the command that adds a witness report to a retirement. */
  static Retire makeRetireCommand(const WitnessReport& report);

  /** Returns the index of the last applied entry. */
  [[nodiscard]] std::uint64_t lastIndex() const;

  /** Returns the number of documents accepted so far, over all teams. */
  [[nodiscard]] std::uint64_t revision() const;

  /** Returns the answer to a poll: the documents accepted after the polled revision, and the
      quarantine if it has changed. */
  [[nodiscard]] DocumentPush documentsSince(const DocumentPoll& poll) const;

  /** Returns one budget, or nothing when no document or configuration has named it. */
  [[nodiscard]] std::optional<BudgetView> budget(const BudgetId& id) const;

  /** Returns all budgets, sorted by id. */
  [[nodiscard]] std::vector<BudgetView> budgets() const;

  /** Returns the tokens that retiring holders still hold. */
  [[nodiscard]] std::vector<UnreclaimedTokensView> unreclaimedTokens() const;

  /** Returns one team's document with its history, or nothing when there is none. */
  [[nodiscard]] std::optional<DocumentView> document(const TeamId& team) const;

  /** Returns the teams that have a document. */
  [[nodiscard]] std::vector<TeamId> teams() const;

  /** Returns all claims that have not expired. */
  [[nodiscard]] std::vector<ClaimView> claims() const;

  /** Returns the number of pairs of holders with transfers, summed over all budgets. */
  [[nodiscard]] std::size_t transferPairCount() const;

  /** Returns the number of keyed bills that have not expired. */
  [[nodiscard]] std::size_t keyedBillCount() const;

  /** Returns the amount billed for a key against one budget, or 0 when there is no such bill. */
  [[nodiscard]] Tokens keyedBill(const CallerId& caller,
                                 std::string_view key,
                                 const BudgetId& budget) const;

  /** Returns the fingerprints that are quarantined at @p now. */
  [[nodiscard]] std::vector<QuarantineEntry> quarantine(Time now) const;

  /** Returns the registered holders whose retirement is not complete. */
  [[nodiscard]] std::vector<RegisteredHolderView> holders() const;

  /** Returns the holders with reserves whose retirement was completed since the last call. The
   * number kept is limited; further ones are dropped. */
  std::vector<RetirementView> takeRetirements();

  /** Returns the members of the log. */
  [[nodiscard]] std::vector<MemberView> members() const;

  /** Returns the configuration, the endpoint registry and the evacuations. The reference stays
     valid, also across restore(), until this object is assigned to or destroyed. */
  [[nodiscard]] const fleet::FleetState& fleet() const;

private:
  struct State;

  std::unique_ptr<State> state_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger
