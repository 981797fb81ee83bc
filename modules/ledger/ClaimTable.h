#pragma once

#include "ledger/BudgetLedger.h"
#include "ledger/ControlState.h"

#include <map>
#include <set>

namespace figchute::ledger::detail {

/** The state of a claimed key. */
enum class ClaimState : std::uint8_t
{
  /** The request did not run. The key may be claimed again. */
  open = 0,
  inProgress = 1,
  done = 2,
  unknown = 3,
};

} // namespace figchute::ledger::detail

MSGPACK_ADD_ENUM(figchute::ledger::detail::ClaimState)

namespace figchute::ledger::detail {

/** The claim of one key and its outcome. */
struct ClaimEntry
{
  ClaimState state = ClaimState::open;
  HolderId holder;
  RequestId request;
  Fingerprint content = 0;
  std::uint64_t fencingToken = 0;
  int status = 0;
  std::string body;
  /** Requests whose proposer timed out before its claim was answered. Their claims are refused when
      they are committed later. */
  std::set<RequestId> abandoned;

  MSGPACK_DEFINE(state, holder, request, content, fencingToken, status, body, abandoned)
};

/** Claims and outcomes of non-idempotent requests.
    Thread safety: use one instance from one thread only. */
class ClaimTable
{
public:
  ClaimResult claim(std::uint64_t index,
                    Time time,
                    const Claim& command,
                    const Verdict& holderVerdict);
  OutcomeResult recordOutcome(Time time, const Outcome& command);

  /** Sets the claims in progress of a failed holder to unknown, because it cannot be determined
      whether their requests ran. */
  void markHolderClaimsUnknown(const HolderId& holder);

  /** Removes keys that are older than kKeyRetention. They are refused as key_expired from then on.
   */
  void expire(Time time);

  /** Rebuilds the index by key time, which is not part of a snapshot. */
  void rebuildIndex();

  [[nodiscard]] const std::map<CallerKey, ClaimEntry>& claims() const { return claims_; }

  MSGPACK_DEFINE(claims_)

private:
  ClaimEntry& insert(const CallerKey& callerKey, Time keyTime);
  static ClaimResult applyClaim(std::uint64_t index, const Claim& command, ClaimEntry& entry);

  std::map<CallerKey, ClaimEntry> claims_;
  std::set<std::pair<Time, CallerKey>> keysByTime_;
};

/** Parses the time at the start of a key.
    @returns the time; key_required when the key does not have the form `<unix seconds>-<any text>`,
    key_expired when it is older than kKeyRetention, bad_request when it is more than
    kKeyFutureLimit in the future */
Expected<Time> checkKeyTime(Time now, std::string_view key);

} // namespace figchute::ledger::detail
