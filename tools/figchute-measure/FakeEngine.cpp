#include "FakeEngine.h"

#include <algorithm>

namespace figchute::measure {
namespace {

/** A full batch of 32 sequences takes 30 ms per step, within the 33 ms between tokens of section 1
    of the design page. */
constexpr double kBaseStepMicros = 8'000;
constexpr double kMicrosPerSequence = 700;
constexpr double kMicrosPerPromptToken = 60;
constexpr int kPromptTokensPerStep = 512;
constexpr int kCacheTokens = 30'000;

} // namespace

int PrefixCache::lookUp(const std::vector<PromptPart>& prompt)
{
  int tokens = 0;
  for (const auto& part : prompt) {
    const auto partIt = partsByPrefix_.find(part.prefix);
    if (partIt == partsByPrefix_.end()) {
      break;
    }
    recencyOrder_.splice(recencyOrder_.begin(), recencyOrder_, partIt->second);
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixCache::insert(const std::vector<PromptPart>& prompt)
{
  for (const auto& part : prompt) {
    if (partsByPrefix_.contains(part.prefix)) {
      continue;
    }
    recencyOrder_.push_front(part);
    partsByPrefix_[part.prefix] = recencyOrder_.begin();
    usedTokens_ += part.tokens;
  }
  while (usedTokens_ > capacityTokens_) {
    usedTokens_ -= recencyOrder_.back().tokens;
    partsByPrefix_.erase(recencyOrder_.back().prefix);
    recencyOrder_.pop_back();
  }
}

FakeEngine::FakeEngine(bool fifo)
  : fifo_(fifo)
  , cache_(kCacheTokens)
{
}

void FakeEngine::add(EngineSequence sequence)
{
  auto position = waiting_.end();
  if (!fifo_) {
    position = std::find_if(waiting_.begin(), waiting_.end(), [&](const EngineSequence& other) {
      return other.priority > sequence.priority;
    });
  }
  waiting_.insert(position, std::move(sequence));
}

int FakeEngine::cancel(std::size_t request, std::uint32_t attempt)
{
  const auto matches = [&](const EngineSequence& sequence) {
    return sequence.request == request && sequence.attempt == attempt;
  };
  const auto waitingIt = std::find_if(waiting_.begin(), waiting_.end(), matches);
  if (waitingIt != waiting_.end()) {
    const int generatedTokens = waitingIt->generatedTokens;
    waiting_.erase(waitingIt);
    return generatedTokens;
  }
  const auto runningIt = std::find_if(running_.begin(), running_.end(), matches);
  if (runningIt == running_.end()) {
    return -1;
  }
  const int generatedTokens = runningIt->generatedTokens;
  sequencesInStep_ -=
    static_cast<std::size_t>(runningIt - running_.begin()) < sequencesInStep_ ? 1 : 0;
  running_.erase(runningIt);
  return generatedTokens;
}

void FakeEngine::admitWaiting()
{
  while (running_.size() < kSlotsPerEngine && !waiting_.empty()) {
    auto sequence = std::move(waiting_.front());
    waiting_.pop_front();
    int promptTokens = sequence.generatedTokens;
    for (const auto& part : sequence.prompt) {
      promptTokens += part.tokens;
    }
    const int cachedTokens = cache_.lookUp(sequence.prompt);
    promptTokens_ += promptTokens;
    cachedTokens_ += cachedTokens;
    sequence.unprefilledTokens = std::max(promptTokens - cachedTokens, 1);
    running_.push_back(std::move(sequence));
  }
}

Duration FakeEngine::beginStep()
{
  admitWaiting();
  sequencesInStep_ = running_.size();
  if (running_.empty()) {
    return Duration(0);
  }
  int prefillBudget = kPromptTokensPerStep;
  int prefilledTokens = 0;
  std::vector<EngineSequence*> prefilling;
  for (auto& sequence : running_) {
    if (sequence.unprefilledTokens > 0) {
      prefilling.push_back(&sequence);
    }
  }
  if (!fifo_) {
    std::stable_sort(prefilling.begin(), prefilling.end(), [](const auto* a, const auto* b) {
      return a->priority < b->priority;
    });
  }
  for (auto* sequence : prefilling) {
    const int chunkTokens = std::min(sequence->unprefilledTokens, prefillBudget);
    sequence->unprefilledTokens -= chunkTokens;
    prefillBudget -= chunkTokens;
    prefilledTokens += chunkTokens;
  }
  const double stepMicros = kBaseStepMicros +
                            kMicrosPerSequence * static_cast<double>(running_.size()) +
                            kMicrosPerPromptToken * prefilledTokens;
  return Duration(static_cast<std::int64_t>(stepMicros));
}

std::vector<EngineEvent> FakeEngine::endStep(Duration duration)
{
  constexpr int kTokensPerEvent = 16;
  std::vector<EngineEvent> events;
  const double seconds = static_cast<double>(duration.count()) * 1e-6;
  for (std::size_t i = 0; i < sequencesInStep_; ++i) {
    auto& sequence = running_[i];
    if (sequence.unprefilledTokens > 0) {
      usefulSlotSeconds_ += sequence.isResumed ? 0 : seconds;
      continue;
    }
    usefulSlotSeconds_ += seconds;
    const bool isFirstToken = sequence.unprefilledTokens == 0;
    if (isFirstToken) {
      cache_.insert(sequence.prompt);
      sequence.unprefilledTokens = -1;
    }
    ++sequence.generatedTokens;
    const bool isDone = sequence.generatedTokens >= sequence.outputTokens;
    if (isFirstToken || isDone || sequence.generatedTokens % kTokensPerEvent == 0) {
      events.push_back(
        { sequence.request, sequence.attempt, sequence.generatedTokens, isFirstToken, isDone });
    }
  }
  std::erase_if(running_, [](const EngineSequence& sequence) {
    return sequence.unprefilledTokens < 0 && sequence.generatedTokens >= sequence.outputTokens;
  });
  return events;
}

std::vector<EngineSequence> FakeEngine::crash()
{
  std::vector<EngineSequence> droppedSequences(running_.begin(), running_.end());
  droppedSequences.insert(droppedSequences.end(), waiting_.begin(), waiting_.end());
  running_.clear();
  waiting_.clear();
  sequencesInStep_ = 0;
  cache_ = PrefixCache(kCacheTokens);
  return droppedSequences;
}

bool FakeEngine::hasCrashingSequence() const
{
  return std::any_of(running_.begin(), running_.end(), [](const EngineSequence& sequence) {
    return sequence.crashesEngine;
  });
}

} // namespace figchute::measure
