#include "FleetTally.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

/** The common budget of repeats that the users count by. */
constexpr double kRepeatRatio = 0.2;
constexpr double kRepeatSlack = 58;
constexpr Duration kRepeatWindow = std::chrono::seconds(10);

} // namespace

void FleetTally::offered(const fleet::Configuration& configuration, const std::string& bytes)
{
  offered_.insert(bytes);
  for (const auto& workspace : configuration.workspaces) {
    if (workspace.prepaid) {
      auto& largest = largest_[BudgetId("w:" + workspace.name)];
      largest = std::max(largest, *workspace.prepaid);
    }
  }
}

void FleetTally::acknowledged(std::uint64_t version)
{
  acknowledged_ = std::max(acknowledged_, version);
}

void FleetTally::checkContent(const ProcessId& process,
                              std::uint64_t version,
                              const std::string& bytes)
{
  require(forbidden_.count(bytes) == 0 && offered_.count(bytes) > 0,
          fmt::format("forbidden_configuration: {} has version {} in force, which was refused or "
                      "never sent",
                      process.value,
                      version));
  const auto [at, added] = contents_.try_emplace(version, bytes);
  require(at->second == bytes,
          fmt::format("content: {} has another content of version {}", process.value, version));
}

void FleetTally::readDone(std::uint64_t floor, std::uint64_t version, const std::string& bytes)
{
  ++reads_;
  require(version >= floor,
          fmt::format("stale_read: a read returned version {} after {}", version, floor));
  read_ = std::max(read_, version);
  if (version > 0) {
    checkContent(ProcessId("a read"), version, bytes);
  }
}

void FleetTally::inForce(const Life& life, std::uint64_t version, const std::string& bytes)
{
  auto& known = versions_[life];
  require(version >= known,
          fmt::format("revert: {} went from version {} to {}", life.process.value, known, version));
  if (version == known) {
    return;
  }
  known = version;
  checkContent(life.process, version, bytes);
}

void FleetTally::leads(const Life& life, const std::string& diskId, std::uint64_t term)
{
  const auto identity = life.process.value + "/" + diskId;
  const auto [at, added] = leaders_.try_emplace(term, identity);
  require(at->second == identity,
          fmt::format("one_group: {} and {} lead in term {}", at->second, identity, term));
}

void FleetTally::leadersNow(const std::vector<ProcessId>& leaders)
{
  require(leaders.size() < 2,
          leaders.size() < 2 ? ""
                             : fmt::format("one_group: {} and {} lead at the same time",
                                           leaders[0].value,
                                           leaders[1].value));
}

void FleetTally::applied(const ProcessId& process,
                         std::uint64_t index,
                         std::uint64_t version,
                         std::uint64_t revision)
{
  const auto [at, added] = history_.try_emplace(index, version, revision);
  require(at->second == std::pair(version, revision),
          fmt::format("one_group: {} has version {} and revision {} at index {}, another process "
                      "had {} and {}",
                      process.value,
                      version,
                      revision,
                      index,
                      at->second.first,
                      at->second.second));
}

void FleetTally::registry(const Life& life, const std::vector<fleet::EndpointRecord>& records)
{
  auto& newest = newest_[life];
  for (const auto& record : records) {
    auto& born = newest[record.address];
    require(record.startedAtMs >= born,
            fmt::format("old_incarnation: {} at {} has the record {} born {} after one born {}",
                        record.address,
                        life.process.value,
                        record.id.value,
                        record.startedAtMs,
                        born));
    born = record.startedAtMs;
  }
}

void FleetTally::drained(Time now, const EndpointId& id, std::int64_t born)
{
  drained_.try_emplace({ id, born }, now);
}

void FleetTally::sent(Time now,
                      const ProcessId& entry,
                      const EndpointId& id,
                      std::int64_t born,
                      Time contactSince)
{
  const auto drain = drained_.find({ id, born });
  if (drain == drained_.end()) {
    return;
  }
  ++drainChecks_;
  const Duration late = now - std::max(drain->second, contactSince);
  require(late <= kDrain,
          fmt::format("drained_work: {} sent work to {} {} ms after its drain was acknowledged and "
                      "{} ms after contact began",
                      entry.value,
                      id.value,
                      (now - drain->second).count() / 1000,
                      (now - contactSince).count() / 1000));
}

void FleetTally::repeat(Time now)
{
  ++repeatCount_;
  repeats_.push_back(now);
  const auto old = [now](std::deque<Time>& times) {
    while (!times.empty() && now - times.front() > kRepeatWindow) {
      times.pop_front();
    }
  };
  old(repeats_);
  old(requests_);
  mostRepeats_ = std::max(mostRepeats_, repeats_.size());
  const double allowed = kRepeatRatio * static_cast<double>(requests_.size()) + kRepeatSlack;
  require(static_cast<double>(repeats_.size()) <= allowed,
          fmt::format(
            "repeats: {} repeats and {} requests within 10 s", repeats_.size(), requests_.size()));
}

void FleetTally::charged(const BudgetId& budget, Tokens tokens)
{
  ++charges_;
  auto& sum = charged_[budget];
  sum += tokens;
  require(sum <= largest_[budget],
          fmt::format("overspend: {} used {} tokens, the largest prepaid so far is {}",
                      budget.value,
                      sum.count,
                      largest_[budget].count));
}

} // namespace figchute::simulation
