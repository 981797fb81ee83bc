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

/** Names one start of a process. */
struct Life
{
  ProcessId process;
  Incarnation incarnation;

  auto operator<=>(const Life&) const = default;
};

/** Checks the rules of the fleet from what operators, endpoints and callers see and from the state
    in force at each process. It uses no sum of the tested code.
    @throws Violation from every method that finds a rule broken */
class FleetTally
{
public:
  /** How long after its acknowledgement a draining endpoint may still get work. */
  static constexpr Duration kDrain = std::chrono::seconds(2);

  // Configurations.

  /** An operator sends a valid configuration that may take effect. */
  void offered(const fleet::Configuration& configuration, const std::string& bytes);

  /** An operator sends bytes that must never be in force: they are invalid, or the version is
      taken by another configuration. */
  void forbidden(const std::string& bytes) { forbidden_.insert(bytes); }

  /** An operator got the acknowledgement of a version. */
  void acknowledged(std::uint64_t version);

  /** Returns the least version that a read which begins now may return. */
  [[nodiscard]] std::uint64_t readFloor() const { return std::max(acknowledged_, read_); }

  /** A linearizable read ended. */
  void readDone(std::uint64_t floor, std::uint64_t version, const std::string& bytes);

  /** A version is in force at a process. */
  void inForce(const Life& life, std::uint64_t version, const std::string& bytes);

  /** Returns the highest acknowledged version. */
  [[nodiscard]] std::uint64_t newest() const { return acknowledged_; }

  // Groups of control processes.

  /** A process acts as leader. */
  void leads(const Life& life, const std::string& diskId, std::uint64_t term);

  /** No other process may lead while this one does; called with all leaders of one moment. */
  static void leadersNow(const std::vector<ProcessId>& leaders);

  /** What a process has applied up to an index of the log. */
  void applied(const ProcessId& process,
               std::uint64_t index,
               std::uint64_t version,
               std::uint64_t revision);

  // Endpoints.

  /** The registry of a process; called after each change. */
  void registry(const Life& life, const std::vector<fleet::EndpointRecord>& records);

  /** An endpoint got the acknowledgement that it drains or is removed. */
  void drained(Time now, const EndpointId& id, std::int64_t born);

  /** An entry process sends work to an endpoint.
      @param contactSince  since when the process is in undisturbed contact with control */
  void sent(Time now,
            const ProcessId& entry,
            const EndpointId& id,
            std::int64_t born,
            Time contactSince);

  // Work.

  /** A request was sent for the first time, or refused. */
  void request(Time now) { requests_.push_back(now); }

  /** A request was sent again. */
  void repeat(Time now);

  /** Tokens of a budget were used. */
  void charged(const BudgetId& budget, Tokens tokens);

  [[nodiscard]] std::uint64_t charges() const { return charges_; }
  [[nodiscard]] std::uint64_t reads() const { return reads_; }
  [[nodiscard]] std::uint64_t repeats() const { return repeatCount_; }
  [[nodiscard]] std::uint64_t drains() const { return drained_.size(); }
  [[nodiscard]] std::uint64_t drainChecks() const { return drainChecks_; }
  [[nodiscard]] std::size_t mostRepeats() const { return mostRepeats_; }

private:
  using Incarnations = std::map<std::string, std::int64_t>;

  void checkContent(const ProcessId& process, std::uint64_t version, const std::string& bytes);

  std::set<std::string> offered_;
  std::set<std::string> forbidden_;
  std::map<BudgetId, Tokens> largest_;
  std::map<BudgetId, Tokens> charged_;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t read_ = 0;
  std::map<std::uint64_t, std::string> contents_;
  std::map<Life, std::uint64_t> versions_;

  std::map<std::uint64_t, std::string> leaders_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> history_;

  std::map<Life, Incarnations> newest_;
  std::map<std::pair<EndpointId, std::int64_t>, Time> drained_;

  std::deque<Time> requests_;
  std::deque<Time> repeats_;

  std::uint64_t charges_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t repeatCount_ = 0;
  std::uint64_t drainChecks_ = 0;
  std::size_t mostRepeats_ = 0;
};

} // namespace figchute::simulation
