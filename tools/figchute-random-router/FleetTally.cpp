#include "FleetTally.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

/** The fleet-wide repeat budget as users count it: a ratio of the requests plus a fixed number. */
constexpr double kRepeatRatio = 0.2;
constexpr double kFixedRepeats = 58;
constexpr Duration kRepeatWindow = std::chrono::seconds(10);

} // namespace

void FleetTally::addSentConfiguration(const fleet::Configuration& configuration,
                                      const std::string& bytes)
{
  sentConfigurations_.insert(bytes);
  for (const auto& workspace : configuration.workspaces) {
    if (workspace.prepaid) {
      auto& maxPrepaid = maxPrepaid_[BudgetId("w:" + workspace.name)];
      maxPrepaid = std::max(maxPrepaid, *workspace.prepaid);
    }
  }
}

void FleetTally::recordAcknowledgement(std::uint64_t version)
{
  acknowledgedVersion_ = std::max(acknowledgedVersion_, version);
}

void FleetTally::checkContent(const ProcessId& process,
                              std::uint64_t version,
                              const std::string& bytes)
{
  require(forbiddenConfigurations_.count(bytes) == 0 && sentConfigurations_.count(bytes) > 0,
          fmt::format("forbidden_configuration: {} has version {} in force, which was refused or "
                      "never sent",
                      process.value,
                      version));
  const auto [contentIt, added] = contentByVersion_.try_emplace(version, bytes);
  require(contentIt->second == bytes,
          fmt::format("content: {} has another content of version {}", process.value, version));
}

void FleetTally::checkRead(std::uint64_t minVersion,
                           std::uint64_t version,
                           const std::string& bytes)
{
  ++readCount_;
  require(version >= minVersion,
          fmt::format("stale_read: a read returned version {} after {}", version, minVersion));
  lastReadVersion_ = std::max(lastReadVersion_, version);
  if (version > 0) {
    checkContent(ProcessId("a read"), version, bytes);
  }
}

void FleetTally::checkActiveConfiguration(const ProcessStart& start,
                                          std::uint64_t version,
                                          const std::string& bytes)
{
  auto& previousVersion = activeVersions_[start];
  require(
    version >= previousVersion,
    fmt::format(
      "revert: {} went from version {} to {}", start.process.value, previousVersion, version));
  if (version == previousVersion) {
    return;
  }
  previousVersion = version;
  checkContent(start.process, version, bytes);
}

void FleetTally::checkLeader(const ProcessStart& start,
                             const std::string& diskId,
                             std::uint64_t term)
{
  const auto identity = start.process.value + "/" + diskId;
  const auto [leaderIt, added] = leaderByTerm_.try_emplace(term, identity);
  require(leaderIt->second == identity,
          fmt::format("one_group: {} and {} lead in term {}", leaderIt->second, identity, term));
}

void FleetTally::checkSingleLeader(const std::vector<ProcessId>& leaders)
{
  require(leaders.size() < 2,
          leaders.size() < 2 ? ""
                             : fmt::format("one_group: {} and {} lead at the same time",
                                           leaders[0].value,
                                           leaders[1].value));
}

void FleetTally::checkApplied(const ProcessId& process,
                              std::uint64_t index,
                              std::uint64_t version,
                              std::uint64_t revision)
{
  const auto [appliedIt, added] = appliedByIndex_.try_emplace(index, version, revision);
  require(appliedIt->second == std::pair(version, revision),
          fmt::format("one_group: {} has version {} and revision {} at index {}, another process "
                      "had {} and {}",
                      process.value,
                      version,
                      revision,
                      index,
                      appliedIt->second.first,
                      appliedIt->second.second));
}

void FleetTally::checkRegistry(const ProcessStart& start,
                               const std::vector<fleet::EndpointRecord>& records)
{
  auto& startTimes = newestStartTimes_[start];
  for (const auto& record : records) {
    auto& newestStartedAtMs = startTimes[record.address];
    require(record.startedAtMs >= newestStartedAtMs,
            fmt::format("old_incarnation: {} at {} has the record {} born {} after one born {}",
                        record.address,
                        start.process.value,
                        record.id.value,
                        record.startedAtMs,
                        newestStartedAtMs));
    newestStartedAtMs = record.startedAtMs;
  }
}

void FleetTally::recordDrain(Time now, const EndpointId& id, std::int64_t startedAtMs)
{
  drainTimes_.try_emplace({ id, startedAtMs }, now);
}

void FleetTally::checkSend(Time now,
                           const ProcessId& entry,
                           const EndpointId& id,
                           std::int64_t startedAtMs,
                           Time contactSince)
{
  const auto drainIt = drainTimes_.find({ id, startedAtMs });
  if (drainIt == drainTimes_.end()) {
    return;
  }
  ++drainCheckCount_;
  const Duration drainDelay = now - std::max(drainIt->second, contactSince);
  require(drainDelay <= kMaxDrainDelay,
          fmt::format("drained_work: {} sent work to {} {} ms after its drain was acknowledged and "
                      "{} ms after contact began",
                      entry.value,
                      id.value,
                      (now - drainIt->second).count() / 1000,
                      (now - contactSince).count() / 1000));
}

void FleetTally::checkRepeat(Time now)
{
  ++repeatCount_;
  repeatTimes_.push_back(now);
  const auto removeExpired = [now](std::deque<Time>& times) {
    while (!times.empty() && now - times.front() > kRepeatWindow) {
      times.pop_front();
    }
  };
  removeExpired(repeatTimes_);
  removeExpired(requestTimes_);
  maxRepeatCount_ = std::max(maxRepeatCount_, repeatTimes_.size());
  const double maxRepeats =
    kRepeatRatio * static_cast<double>(requestTimes_.size()) + kFixedRepeats;
  require(static_cast<double>(repeatTimes_.size()) <= maxRepeats,
          fmt::format("repeats: {} repeats and {} requests within 10 s",
                      repeatTimes_.size(),
                      requestTimes_.size()));
}

void FleetTally::checkCharge(const BudgetId& budget, Tokens tokens)
{
  ++chargeCount_;
  auto& usedTokens = chargedTokens_[budget];
  usedTokens += tokens;
  require(usedTokens <= maxPrepaid_[budget],
          fmt::format("overspend: {} used {} tokens, the largest prepaid so far is {}",
                      budget.value,
                      usedTokens.count,
                      maxPrepaid_[budget].count));
}

void FleetTally::checkRetirement(const HolderId& holder, Tokens returned)
{
  const auto unspendable = unspendableTokens_.find(holder);
  if (unspendable == unspendableTokens_.end()) {
    return;
  }
  ++retirementCheckCount_;
  require(returned >= unspendable->second,
          fmt::format("write_off: {} of {} tokens that {} cannot have spent were returned",
                      returned.count,
                      unspendable->second.count,
                      holder.process.value));
}

} // namespace figchute::simulation
