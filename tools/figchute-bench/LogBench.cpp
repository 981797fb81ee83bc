#include "LogBench.h"

#include "replication/replication.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>

namespace figchute::bench {
namespace {

using replication::FileDisk;
using replication::LogNode;
using replication::LogStorage;

constexpr std::size_t kCommandBytes = 256;
/** The size of a team document with a few tens of callers. */
constexpr std::size_t kDocumentBytes = 4096;
constexpr int kChangeCount = 500;
constexpr std::chrono::milliseconds kMeasurementTime{ 2000 };

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point start)
{
  return std::chrono::duration<double>(Clock::now() - start).count();
}

Time wallTime()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Time{ std::chrono::duration_cast<Duration>(sinceEpoch).count() };
}

void printRow(const std::string& policy, const std::string& metric, double value, const char* unit)
{
  fmt::print("log\t{}\t{}\t{:.1f}\t{}\n", policy, metric, value, unit);
}

/** A replicated log with a single voter on a FileDisk. */
class SingleVoter
{
public:
  static Expected<std::unique_ptr<SingleVoter>> open(const std::string& folder)
  {
    auto disk = FileDisk::open(folder);
    if (!disk) {
      return tl::unexpected(disk.error());
    }
    auto voter = std::unique_ptr<SingleVoter>(new SingleVoter(std::move(*disk)));
    auto recovered = voter->storage_.recover("bench-disk");
    if (!recovered) {
      return tl::unexpected(recovered.error());
    }
    replication::LogConfig config;
    config.self = ProcessId("bench");
    config.initialMembers = { { config.self, "" } };
    voter->node_.emplace(config, std::move(*recovered), wallTime());
    return voter;
  }

  /** Advances a simulated clock past the election timeout until the voter is the leader. */
  Expected<void> becomeLeader()
  {
    for (Time now = wallTime(); !node_->isLeader(now); now = now + Duration(10'000)) {
      node_->tick(now);
      if (auto persistResult = persistReady(now); !persistResult) {
        return persistResult;
      }
    }
    return {};
  }

  /** Proposes a batch of commands and returns when it is committed. */
  Expected<void> commit(std::size_t batchSize, std::size_t commandBytes)
  {
    const Time now = wallTime() + Duration(2'000'000);
    for (std::size_t i = 0; i < batchSize; ++i) {
      if (auto proposeResult = node_->propose(now, std::string(commandBytes, 'c'));
          !proposeResult) {
        return tl::unexpected(proposeResult.error());
      }
    }
    return persistReady(now);
  }

  [[nodiscard]] replication::LogIndex lastIndex() const { return node_->lastIndex(); }

private:
  explicit SingleVoter(FileDisk disk)
    : disk_(std::move(disk))
    , storage_(disk_)
  {
  }

  Expected<void> persistReady(Time now)
  {
    for (auto ready = node_->takeReady(); !ready.empty(); ready = node_->takeReady()) {
      if (!ready.needsSync()) {
        continue;
      }
      if (auto saveResult = storage_.save(ready); !saveResult) {
        return saveResult;
      }
      node_->confirmPersisted(now);
    }
    return {};
  }

  FileDisk disk_;
  LogStorage<FileDisk> storage_;
  std::optional<LogNode> node_;
};

Expected<void> measureAppends(const std::string& folder,
                              const std::string& policy,
                              std::size_t batchSize)
{
  auto voter = SingleVoter::open(folder);
  if (!voter) {
    return tl::unexpected(voter.error());
  }
  if (auto electionResult = (*voter)->becomeLeader(); !electionResult) {
    return electionResult;
  }
  const auto start = Clock::now();
  std::size_t appendCount = 0;
  while (Clock::now() - start < kMeasurementTime) {
    if (auto commitResult = (*voter)->commit(batchSize, kCommandBytes); !commitResult) {
      return commitResult;
    }
    appendCount += batchSize;
  }
  printRow(policy, "appends", static_cast<double>(appendCount) / secondsSince(start), "per_s");
  return {};
}

Expected<void> measureRecovery(const std::string& folder)
{
  {
    auto voter = SingleVoter::open(folder);
    if (!voter) {
      return tl::unexpected(voter.error());
    }
    if (auto electionResult = (*voter)->becomeLeader(); !electionResult) {
      return electionResult;
    }
    for (int i = 0; i < kChangeCount; ++i) {
      if (auto commitResult = (*voter)->commit(1, kDocumentBytes); !commitResult) {
        return commitResult;
      }
    }
  }
  const auto start = Clock::now();
  auto voter = SingleVoter::open(folder);
  const double milliseconds = secondsSince(start) * 1000;
  if (!voter) {
    return tl::unexpected(voter.error());
  }
  if ((*voter)->lastIndex() <= kChangeCount) {
    return fail(ErrorKind::internal, "the recovered log is shorter than the committed log");
  }
  printRow("after_500_changes", "recovery", milliseconds, "ms");
  return {};
}

} // namespace

Expected<void> runLogBench(const std::string& folder)
{
  std::string base = folder + "/figchute-bench-XXXXXX";
  if (::mkdtemp(base.data()) == nullptr) {
    return fail(ErrorKind::storageFailed, "cannot create a folder in " + folder);
  }
  fmt::print("scenario\tpolicy\tmetric\tvalue\tunit\n");
  auto result =
    measureAppends(base + "/single", "sync_each", 1)
      .and_then([&] { return measureAppends(base + "/batch16", "group_commit_16", 16); })
      .and_then([&] { return measureAppends(base + "/batch256", "group_commit_256", 256); })
      .and_then([&] { return measureRecovery(base + "/recovery"); });
  std::error_code ignored;
  std::filesystem::remove_all(base, ignored);
  return result;
}

} // namespace figchute::bench
