#pragma once

#include "core/Random.h"
#include "core/Types.h"
#include "dispatch/RequestInfo.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** Sizes of one simulated model engine. */
struct KvEngineSizes
{
  int slots = 48;
  std::int64_t kvCapacityTokens = 430'000;
  /** Number of tokens in one event of a stream. */
  int tokensPerEvent = 6;
  double prefillTokensPerMs = 61.2;
  /** Duration of a decode step without requests. */
  double baseStepMs = 3.37;
};

/** A request in an engine. */
struct KvSequence
{
  /** Index of the request in the workload. */
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int priority = 5;
  std::vector<dispatch::PromptPart> parts;
  /** For each part, the key of the prefix that ends with it. */
  std::vector<std::uint64_t> prefixKeys;
  int outputTokens = 0;
  int generatedTokens = 0;
  /** Tokens left to prefill before the first token. */
  std::int64_t unprefilledTokens = 0;
  std::int64_t promptTokens = 0;
  /** Position in the order of admission. */
  std::uint64_t admissionNumber = 0;
};

/** The output of one engine step for one sequence. */
struct KvEvent
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int generatedTokens = 0;
  bool isDone = false;
};

/** A simulated model engine with continuous batching, chunked prefill that is interleaved with
    decoding, memory shared by running requests and cached prompt parts, and priorities.
    Unlike this class, FakeEngine has a cache of fixed size and does not limit the memory of running
    requests. */
class KvEngine
{
public:
  explicit KvEngine(const KvEngineSizes& sizes)
    : sizes_(sizes)
  {
  }

  /** Adds a sequence to the queue.
      @returns false if the queue is full */
  bool add(KvSequence sequence);

  /** Removes the running or waiting sequence of an attempt. */
  void cancel(std::size_t request, std::uint32_t attempt);

  /** Starts a step.
      @returns its duration, or 0 if there is nothing to do */
  Duration beginStep();

  /** Ends the step that beginStep() started.
      @returns its output */
  std::vector<KvEvent> endStep();

  /** Drops all sequences and cached parts, as a crash does.
      @returns the sequences that were running or waiting */
  std::vector<KvSequence> crash();

  /** Returns the keys and tokens of the parts that were prefilled since the last call. */
  std::vector<dispatch::PromptPart> takePrefilledParts();

  /** Returns the keys of the parts that were reused or prefilled since the last call. */
  std::vector<std::uint64_t> takeUsedKeys();

  [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
  [[nodiscard]] int waiting() const { return static_cast<int>(waiting_.size()); }
  [[nodiscard]] int slots() const { return sizes_.slots; }
  [[nodiscard]] std::uint64_t preemptionCount() const { return preemptionCount_; }

private:
  struct Part
  {
    std::int64_t tokens = 0;
    int userCount = 0;
    std::uint64_t lastUse = 0;
    std::list<std::uint64_t>::iterator recencyIt;
  };

  void admitWaiting();
  bool admit(KvSequence& sequence);
  bool ensureCapacity(std::int64_t neededTokens);
  void releaseMemory(const KvSequence& sequence);
  void preemptSequence();
  [[nodiscard]] std::vector<KvSequence>::iterator findPreemptionCandidate();

  KvEngineSizes sizes_;
  std::vector<KvSequence> running_;
  std::list<KvSequence> waiting_;
  std::unordered_map<std::uint64_t, Part> parts_;
  /** Keys of the cached parts, least recently used first. */
  std::list<std::uint64_t> recencyOrder_;
  std::int64_t cachedPartTokens_ = 0;
  std::int64_t generationTokens_ = 0;
  std::uint64_t admissionCount_ = 0;
  std::uint64_t preemptionCount_ = 0;
  std::vector<dispatch::PromptPart> prefilledParts_;
  std::vector<std::uint64_t> usedKeys_;
};

} // namespace figchute::measure
