#pragma once

#include "RoutingWorkload.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** Prompt prefixes in the limited memory of one engine; the least recently used go first. */
class PrefixCache
{
public:
  /** Creates an empty cache for @p capacity tokens. */
  explicit PrefixCache(int capacity)
    : capacity_(capacity)
  {
  }

  /** Returns the tokens of the longest cached prefix and marks its parts as used. */
  int lookUp(const std::vector<PromptPart>& prompt);

  /** Adds all parts of a prompt. */
  void insert(const std::vector<PromptPart>& prompt);

private:
  using Order = std::list<PromptPart>;

  int capacity_;
  int used_ = 0;
  Order order_;
  std::unordered_map<Fingerprint, Order::iterator> parts_;
};

/** A request inside an engine. */
struct EngineSequence
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  Rank priority = Rank::prompt;
  std::vector<PromptPart> prompt;
  /** Tokens to read before the first token; set when the sequence starts. */
  int unread = 0;
  /** Generated tokens, those of earlier attempts included. */
  int generated = 0;
  int output = 0;
  bool resumed = false;
  bool crashes = false;
};

/** What a step of the engine produced for one sequence. */
struct EngineEvent
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int generated = 0;
  bool first = false;
  bool done = false;
};

/** A model engine with continuous batching, chunked reading of prompts, a prefix cache and a
   waiting line in order of priority. One step generates one token for each running sequence; its
   time grows with the batch and with the prompt tokens read. */
class FakeEngine
{
public:
  /** Creates an idle engine.
      @param fifo  ignores priorities when set */
  explicit FakeEngine(bool fifo);

  /** Adds a sequence to the waiting line. */
  void add(EngineSequence sequence);

  /** Removes a sequence of an attempt, running or waiting.
      @returns its generated tokens, or -1 when it is not here */
  int cancel(std::size_t request, std::uint32_t attempt);

  /** Starts a step.
      @returns its time; 0 when there is nothing to do */
  Duration beginStep();

  /** Ends the step that beginStep() started.
      @returns what it produced */
  std::vector<EngineEvent> endStep(Duration length);

  /** Loses everything, as a crash does.
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
  [[nodiscard]] bool runsCrashing() const;

  /** Slot time in use, without the time to read prompts again after a cancellation. */
  [[nodiscard]] double usefulSlotSeconds() const { return usefulSlotSeconds_; }
  [[nodiscard]] std::int64_t promptTokens() const { return promptTokens_; }
  [[nodiscard]] std::int64_t cachedTokens() const { return cachedTokens_; }

private:
  void admitWaiting();

  bool fifo_;
  PrefixCache cache_;
  std::vector<EngineSequence> running_;
  std::list<EngineSequence> waiting_;
  /** Sequences at the start of running_ that take part in the step. */
  std::size_t inStep_ = 0;
  double usefulSlotSeconds_ = 0;
  std::int64_t promptTokens_ = 0;
  std::int64_t cachedTokens_ = 0;
};

} // namespace figchute::measure
