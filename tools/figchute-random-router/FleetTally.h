#pragma once

#include "control/control.h"
#include "fleet/fleet.h"
#include "Network.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::simulation {

/** Identifies one start of a process. */
struct ProcessStart
{
  ProcessId process;
  Incarnation incarnation;

  auto operator<=>(const ProcessStart&) const = default;
};

/** Checks the rules of the fleet against what operators, endpoints and callers observe and against
    the state that is active at each process. It keeps its own totals and uses none computed by the
    code under test.
    @throws Violation from every method that detects a broken rule */
class FleetTally
{
public:
  /** How long after the acknowledgement of its drain an endpoint may still be sent work. */
  static constexpr Duration kMaxDrainDelay = std::chrono::seconds(2);

  // Configurations.

  /** Records a valid configuration that an operator sends and that may become active. */
  void addSentConfiguration(const fleet::Configuration& configuration, const std::string& bytes);

  /** Records a configuration that an operator sends and that must never become active, because it
     is invalid or its version is already used by another configuration. */
  void addForbiddenConfiguration(const std::string& bytes)
  {
    forbiddenConfigurations_.insert(bytes);
  }

  /** Records that an operator received the acknowledgement of a version. */
  void recordAcknowledgement(std::uint64_t version);

  /** Returns the lowest version that a read which starts now may return. */
  [[nodiscard]] std::uint64_t minReadVersion() const
  {
    return std::max(acknowledgedVersion_, lastReadVersion_);
  }

  /** Checks the result of a linearizable read.
      @param minVersion  the value of minReadVersion() when the read started */
  void checkRead(std::uint64_t minVersion, std::uint64_t version, const std::string& bytes);

  /** Checks the configuration that is active at a process. */
  void checkActiveConfiguration(const ProcessStart& start,
                                std::uint64_t version,
                                const std::string& bytes);

  /** Returns the highest acknowledged version. */
  [[nodiscard]] std::uint64_t newestAcknowledgedVersion() const { return acknowledgedVersion_; }

  // Groups of control processes.

  /** Checks that a term has a single leader. */
  void checkLeader(const ProcessStart& start, const std::string& diskId, std::uint64_t term);

  /** Checks that at most one process is leader.
      @param leaders  all processes that are leader at the same time */
  static void checkSingleLeader(const std::vector<ProcessId>& leaders);

  /** Checks that all processes have applied the same state up to an index of the log. */
  void checkApplied(const ProcessId& process,
                    std::uint64_t index,
                    std::uint64_t version,
                    std::uint64_t revision);

  // Endpoints.

  /** Checks the endpoint registry of a process; called after each change. */
  void checkRegistry(const ProcessStart& start, const std::vector<fleet::EndpointRecord>& records);

  /** Records that an endpoint received the acknowledgement that it is draining or removed. */
  void recordDrain(Time now, const EndpointId& id, std::int64_t startedAtMs);

  /** Checks that an entry process sends no work to a drained endpoint after kMaxDrainDelay.
      @param contactSince  since when the process has had undisturbed contact with control */
  void checkSend(Time now,
                 const ProcessId& entry,
                 const EndpointId& id,
                 std::int64_t startedAtMs,
                 Time contactSince);

  // Requests and charges.

  /** Records that a request was sent for the first time, or refused. */
  void recordRequest(Time now) { requestTimes_.push_back(now); }

  /** Records that a request which had reached an endpoint was sent again, and checks the repeat
      budget. */
  void checkRepeat(Time now);

  /** Records used tokens of a budget and checks that its largest prepaid amount covers them. */
  void checkCharge(const BudgetId& budget, Tokens tokens);

  /** Records that an entry process ended.
      @param unspendable  the tokens of its reserves that it can neither have spent nor unlocked */
  void recordHolderEnd(const HolderId& holder, Tokens unspendable)
  {
    unspendableTokens_[holder] = unspendable;
  }

  /** Checks that control returns all tokens to their budgets that an ended entry process cannot
     have spent.
      @param returned  the tokens that control returned */
  void checkRetirement(const HolderId& holder, Tokens returned);

  [[nodiscard]] std::uint64_t retirementCheckCount() const { return retirementCheckCount_; }
  [[nodiscard]] std::uint64_t chargeCount() const { return chargeCount_; }
  [[nodiscard]] std::uint64_t readCount() const { return readCount_; }
  [[nodiscard]] std::uint64_t repeatCount() const { return repeatCount_; }
  [[nodiscard]] std::uint64_t drainCount() const { return drainTimes_.size(); }
  [[nodiscard]] std::uint64_t drainCheckCount() const { return drainCheckCount_; }
  [[nodiscard]] std::size_t maxRepeatCount() const { return maxRepeatCount_; }

private:
  using StartTimes = std::map<std::string, std::int64_t>;

  void checkContent(const ProcessId& process, std::uint64_t version, const std::string& bytes);

  std::set<std::string> sentConfigurations_;
  std::set<std::string> forbiddenConfigurations_;
  std::map<BudgetId, Tokens> maxPrepaid_;
  std::map<BudgetId, Tokens> chargedTokens_;
  std::map<HolderId, Tokens> unspendableTokens_;
  std::uint64_t acknowledgedVersion_ = 0;
  std::uint64_t lastReadVersion_ = 0;
  std::map<std::uint64_t, std::string> contentByVersion_;
  std::map<ProcessStart, std::uint64_t> activeVersions_;

  std::map<std::uint64_t, std::string> leaderByTerm_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> appliedByIndex_;

  std::map<ProcessStart, StartTimes> newestStartTimes_;
  std::map<std::pair<EndpointId, std::int64_t>, Time> drainTimes_;

  std::deque<Time> requestTimes_;
  std::deque<Time> repeatTimes_;

  std::uint64_t chargeCount_ = 0;
  std::uint64_t retirementCheckCount_ = 0;
  std::uint64_t readCount_ = 0;
  std::uint64_t repeatCount_ = 0;
  std::uint64_t drainCheckCount_ = 0;
  std::size_t maxRepeatCount_ = 0;
};

} // namespace figchute::simulation
