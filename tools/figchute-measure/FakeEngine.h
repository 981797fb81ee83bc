#pragma once

#include "RoutingWorkload.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** A cache of prompt prefixes in the limited memory of one engine, which evicts the least recently
    used prefixes first. */
class PrefixCache
{
public:
  /** Creates an empty cache for @p capacityTokens tokens. */
  explicit PrefixCache(int capacityTokens)
    : capacityTokens_(capacityTokens)
  {
  }

  /** Returns the number of tokens of the longest cached prefix and marks its parts as used. */
  int lookUp(const std::vector<PromptPart>& prompt);

  /** Adds all parts of a prompt and evicts the least recently used parts above the capacity. */
  void insert(const std::vector<PromptPart>& prompt);

private:
  using RecencyList = std::list<PromptPart>;

  int capacityTokens_;
  int usedTokens_ = 0;
  RecencyList recencyOrder_;
  std::unordered_map<Fingerprint, RecencyList::iterator> partsByPrefix_;
};

/** A request in an engine. */
struct EngineSequence
{
  /** Index of the request in the workload. */
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  Rank priority = Rank::prompt;
  std::vector<PromptPart> prompt;
  /** Tokens left to prefill before the first token; set when the sequence starts. */
  int unprefilledTokens = 0;
  /** Generated tokens, including those of earlier attempts. */
  int generatedTokens = 0;
  int outputTokens = 0;
  bool isResumed = false;
  bool crashesEngine = false;
};

/** The output of one engine step for one sequence. */
struct EngineEvent
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int generatedTokens = 0;
  bool isFirstToken = false;
  bool isDone = false;
};

/** A simulated model engine with continuous batching, chunked prefill, a prefix cache and a queue
    in order of priority. One step generates one token for each running sequence; its duration
    grows with the batch size and with the number of prefilled prompt tokens. */
class FakeEngine
{
public:
  /** Creates an idle engine.
      @param fifo  true to ignore priorities and serve in order of arrival */
  explicit FakeEngine(bool fifo);

  /** Adds a sequence to the queue. */
  void add(EngineSequence sequence);

  /** Removes the running or waiting sequence of an attempt.
      @returns its generated tokens, or -1 if the engine does not have it */
  int cancel(std::size_t request, std::uint32_t attempt);

  /** Starts a step.
      @returns its duration, or 0 if there is nothing to do */
  Duration beginStep();

  /** Ends the step that beginStep() started.
      @param duration  the duration that beginStep() returned
      @returns its output */
  std::vector<EngineEvent> endStep(Duration duration);

  /** Drops all sequences and the prefix cache, as a crash does.
      @returns the sequences that were running or waiting */
  std::vector<EngineSequence> crash();

  [[nodiscard]] std::uint32_t running() const
  {
    return static_cast<std::uint32_t>(running_.size());
  }
  [[nodiscard]] std::uint32_t waiting() const
  {
    return static_cast<std::uint32_t>(waiting_.size());
  }
  [[nodiscard]] bool hasCrashingSequence() const;

  /** Returns the slot time in use, without the time to repeat the prefill after a cancellation. */
  [[nodiscard]] double usefulSlotSeconds() const { return usefulSlotSeconds_; }
  [[nodiscard]] std::int64_t promptTokens() const { return promptTokens_; }
  [[nodiscard]] std::int64_t cachedTokens() const { return cachedTokens_; }

private:
  void admitWaiting();

  bool fifo_;
  PrefixCache cache_;
  std::vector<EngineSequence> running_;
  std::list<EngineSequence> waiting_;
  /** Number of sequences at the start of running_ that take part in the current step. */
  std::size_t sequencesInStep_ = 0;
  double usefulSlotSeconds_ = 0;
  std::int64_t promptTokens_ = 0;
  std::int64_t cachedTokens_ = 0;
};

} // namespace figchute::measure
