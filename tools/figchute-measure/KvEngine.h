#pragma once

#include "core/Random.h"
#include "core/Types.h"
#include "dispatch/Work.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** Sizes of one model engine. */
struct KvEngineSizes
{
  int slots = 48;
  std::int64_t kvCapacity = 430'000;
  /** Tokens in one event of a stream. */
  int stride = 6;
};

/** A request inside an engine. */
struct KvSequence
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int priority = 5;
  std::vector<dispatch::PromptPart> parts;
  /** Keys of the prefixes that end with each part. */
  std::vector<std::uint64_t> keys;
  int output = 0;
  int generated = 0;
  /** Tokens to read before the first token. */
  std::int64_t unread = 0;
  std::int64_t promptTokens = 0;
  /** Order of admission. */
  std::uint64_t admitted = 0;
};

/** What a step produced for one sequence. */
struct KvEvent
{
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  int tokens = 0;
  bool done = false;
};

/** A model engine with continuous batching, chunked reading of prompts that is interleaved with
    decoding, memory shared by running requests and cached prompt parts, and priorities.
    FakeEngine has a cache of fixed size and no memory limit for running requests. */
class KvEngine
{
public:
  explicit KvEngine(const KvEngineSizes& sizes)
    : sizes_(sizes)
  {
  }

  /** Adds a sequence to the queue. @returns whether there was room */
  bool add(KvSequence sequence);

  /** Removes a sequence, running or waiting. */
  void cancel(std::size_t request, std::uint32_t attempt);

  /** Starts a step. @returns its time; 0 when there is nothing to do */
  Duration beginStep();

  /** Ends the step that beginStep() started. */
  std::vector<KvEvent> endStep();

  /** Loses everything, as a crash does. @returns the sequences that were there */
  std::vector<KvSequence> crash();

  /** Returns the keys and tokens of parts that were read since the last call. */
  std::vector<dispatch::PromptPart> takeReadParts();

  /** Returns the keys of parts that were used or read since the last call. */
  std::vector<std::uint64_t> takeUsedKeys();

  [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
  [[nodiscard]] int waiting() const { return static_cast<int>(waiting_.size()); }
  [[nodiscard]] int slots() const { return sizes_.slots; }
  [[nodiscard]] std::uint64_t preemptions() const { return preemptions_; }

private:
  struct Part
  {
    std::int64_t tokens = 0;
    int users = 0;
    std::uint64_t lastUse = 0;
    std::list<std::uint64_t>::iterator order;
  };

  void admitWaiting();
  bool admit(KvSequence& sequence);
  bool makeRoom(std::int64_t tokens);
  void release(const KvSequence& sequence);
  void preemptOne();
  [[nodiscard]] std::vector<KvSequence>::iterator newestLeastUrgent();

  KvEngineSizes sizes_;
  std::vector<KvSequence> running_;
  std::list<KvSequence> waiting_;
  std::unordered_map<std::uint64_t, Part> parts_;
  /** Cached keys, least recently used first. */
  std::list<std::uint64_t> order_;
  std::int64_t partTokens_ = 0;
  std::int64_t generatedTokens_ = 0;
  std::uint64_t admissions_ = 0;
  std::uint64_t preemptions_ = 0;
  std::vector<dispatch::PromptPart> readParts_;
  std::vector<std::uint64_t> usedKeys_;
};

} // namespace figchute::measure
