#pragma once

#include "ledger/ControlState.h"
#include "ledger/EscrowBook.h"

#include <map>
#include <set>

namespace figchute::ledger::detail {

/** The states of a claimed key. */
enum class ClaimState : std::uint8_t
{
  /** Released as not run; it may be claimed again. */
  open = 0,
  inProgress = 1,
  done = 2,
  unknown = 3,
};

} // namespace figchute::ledger::detail

MSGPACK_ADD_ENUM(figchute::ledger::detail::ClaimState)

namespace figchute::ledger::detail {

/** One claimed key. */
struct ClaimEntry
{
  ClaimState state = ClaimState::open;
  HolderId holder;
  RequestId request;
  Fingerprint content = 0;
  std::uint64_t fencing = 0;
  int status = 0;
  std::string body;
  /** Requests whose proposer gave up before their claim was answered. A claim that arrives late
     must not take the key. */
  std::set<RequestId> abandoned;

  MSGPACK_DEFINE(state, holder, request, content, fencing, status, body, abandoned)
};

/** Claims and outcomes of non-idempotent requests.
    Thread safety: use one instance from one thread only. */
class ClaimBook
{
public:
  ClaimResult claim(std::uint64_t index,
                    Time time,
                    const Claim& command,
                    const Verdict& holderVerdict);
  OutcomeResult outcome(Time time, const Outcome& command);

  /** Marks the claims of a dead holder as unknown: nobody can tell whether they ran. */
  void abandonHolder(const HolderId& holder);

  /** Forgets keys that are older than keyRetention; they are refused as key_expired from then on.
   */
  void expire(Time time);

  /** Rebuilds the index that is no part of a snapshot. */
  void rebuildIndex();

  [[nodiscard]] const std::map<KeyName, ClaimEntry>& claims() const { return claims_; }

  MSGPACK_DEFINE(claims_)

private:
  ClaimEntry& insert(const KeyName& name, Time keyTime);
  static ClaimResult decide(std::uint64_t index, const Claim& command, ClaimEntry& entry);

  std::map<KeyName, ClaimEntry> claims_;
  std::set<std::pair<Time, KeyName>> ages_;
};

/** Reads the time at the start of a key.
    @returns key_required when the key is not `<unix seconds>-<anything>`, key_expired when it is
    older than keyRetention, bad_request when it is too far in the future */
Expected<Time> checkKeyTime(Time now, std::string_view key);

} // namespace figchute::ledger::detail
