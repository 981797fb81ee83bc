#include "KvEngine.h"

#include <algorithm>
#include <utility>

namespace figchute::measure {
namespace {

constexpr std::int64_t kBlockTokens = 16;
constexpr std::int64_t kPrefillChunkTokens = 4096;
constexpr std::size_t kQueueEntriesPerSlot = 3;
constexpr double kAttentionMsPerTokenPair = 0.324e-6;
constexpr double kMsPerSequence = 0.0109;
constexpr double kMsPerContextToken = 0.0034e-3;

std::int64_t roundUpToBlocks(std::int64_t tokens)
{
  return (tokens + kBlockTokens - 1) / kBlockTokens * kBlockTokens;
}

} // namespace

bool KvEngine::add(KvSequence sequence)
{
  const auto slots = static_cast<std::size_t>(sizes_.slots);
  if (running_.size() + waiting_.size() >= slots * (1 + kQueueEntriesPerSlot)) {
    return false;
  }
  const auto position =
    std::find_if(waiting_.begin(), waiting_.end(), [&](const KvSequence& other) {
      return other.priority > sequence.priority;
    });
  waiting_.insert(position, std::move(sequence));
  return true;
}

void KvEngine::cancel(std::size_t request, std::uint32_t attempt)
{
  const auto matches = [&](const KvSequence& sequence) {
    return sequence.request == request && sequence.attempt == attempt;
  };
  waiting_.remove_if(matches);
  const auto runningIt = std::find_if(running_.begin(), running_.end(), matches);
  if (runningIt != running_.end()) {
    releaseMemory(*runningIt);
    running_.erase(runningIt);
  }
}

bool KvEngine::ensureCapacity(std::int64_t neededTokens)
{
  auto oldestIt = recencyOrder_.begin();
  while (cachedPartTokens_ + generationTokens_ + neededTokens > sizes_.kvCapacityTokens &&
         oldestIt != recencyOrder_.end()) {
    const auto partIt = parts_.find(*oldestIt);
    if (partIt->second.userCount > 0) {
      ++oldestIt;
      continue;
    }
    cachedPartTokens_ -= roundUpToBlocks(partIt->second.tokens);
    parts_.erase(partIt);
    oldestIt = recencyOrder_.erase(oldestIt);
  }
  return cachedPartTokens_ + generationTokens_ + neededTokens <= sizes_.kvCapacityTokens;
}

bool KvEngine::admit(KvSequence& sequence)
{
  std::int64_t cachedTokens = 0;
  std::size_t cachedPartCount = 0;
  while (cachedPartCount < sequence.prefixKeys.size() &&
         parts_.contains(sequence.prefixKeys[cachedPartCount])) {
    cachedTokens += sequence.parts[cachedPartCount].tokens;
    ++cachedPartCount;
  }
  for (std::size_t i = 0; i < cachedPartCount; ++i) {
    ++parts_[sequence.prefixKeys[i]].userCount;
  }
  std::int64_t neededTokens = roundUpToBlocks(sequence.generatedTokens + 1);
  for (std::size_t i = cachedPartCount; i < sequence.prefixKeys.size(); ++i) {
    neededTokens +=
      parts_.contains(sequence.prefixKeys[i]) ? 0 : roundUpToBlocks(sequence.parts[i].tokens);
  }
  if (!ensureCapacity(neededTokens)) {
    for (std::size_t i = 0; i < cachedPartCount; ++i) {
      --parts_[sequence.prefixKeys[i]].userCount;
    }
    return false;
  }
  for (std::size_t i = 0; i < sequence.prefixKeys.size(); ++i) {
    const auto key = sequence.prefixKeys[i];
    usedKeys_.push_back(key);
    const auto [partIt, isNew] = parts_.try_emplace(key);
    if (isNew) {
      partIt->second.tokens = sequence.parts[i].tokens;
      cachedPartTokens_ += roundUpToBlocks(partIt->second.tokens);
      recencyOrder_.push_back(key);
      partIt->second.recencyIt = std::prev(recencyOrder_.end());
    } else {
      recencyOrder_.splice(recencyOrder_.end(), recencyOrder_, partIt->second.recencyIt);
    }
    if (i >= cachedPartCount) {
      ++partIt->second.userCount;
      prefilledParts_.push_back({ key, sequence.parts[i].tokens });
    }
  }
  generationTokens_ += roundUpToBlocks(sequence.generatedTokens);
  sequence.unprefilledTokens =
    std::max<std::int64_t>(sequence.promptTokens - cachedTokens + sequence.generatedTokens, 1);
  sequence.admissionNumber = ++admissionCount_;
  return true;
}

void KvEngine::releaseMemory(const KvSequence& sequence)
{
  for (const auto key : sequence.prefixKeys) {
    const auto partIt = parts_.find(key);
    --partIt->second.userCount;
    // A part that was not prefilled to its end is not cached.
    if (sequence.unprefilledTokens > 0 && partIt->second.userCount == 0 &&
        key == sequence.prefixKeys.back()) {
      cachedPartTokens_ -= roundUpToBlocks(partIt->second.tokens);
      recencyOrder_.erase(partIt->second.recencyIt);
      parts_.erase(partIt);
    }
  }
  generationTokens_ -= roundUpToBlocks(sequence.generatedTokens);
}

void KvEngine::admitWaiting()
{
  while (running_.size() < static_cast<std::size_t>(sizes_.slots) && !waiting_.empty()) {
    if (!admit(waiting_.front())) {
      return;
    }
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

std::vector<KvSequence>::iterator KvEngine::findPreemptionCandidate()
{
  return std::max_element(
    running_.begin(), running_.end(), [](const KvSequence& a, const KvSequence& b) {
      return a.priority != b.priority ? a.priority < b.priority
                                      : a.admissionNumber < b.admissionNumber;
    });
}

void KvEngine::preemptSequence()
{
  const auto candidate = findPreemptionCandidate();
  releaseMemory(*candidate);
  waiting_.push_front(std::move(*candidate));
  running_.erase(candidate);
  ++preemptionCount_;
}

Duration KvEngine::beginStep()
{
  admitWaiting();
  if (running_.empty()) {
    return Duration(0);
  }
  std::vector<KvSequence*> prefilling;
  double contextTokens = 0;
  for (auto& sequence : running_) {
    contextTokens += static_cast<double>(sequence.promptTokens + sequence.generatedTokens -
                                         sequence.unprefilledTokens);
    if (sequence.unprefilledTokens > 0) {
      prefilling.push_back(&sequence);
    }
  }
  std::sort(prefilling.begin(), prefilling.end(), [](const auto* a, const auto* b) {
    return a->priority != b->priority ? a->priority < b->priority
                                      : a->admissionNumber < b->admissionNumber;
  });
  double stepMs = sizes_.baseStepMs + kMsPerSequence * static_cast<double>(running_.size()) +
                  kMsPerContextToken * contextTokens;
  std::int64_t prefillBudget = kPrefillChunkTokens;
  for (auto* sequence : prefilling) {
    const auto chunkTokens = std::min(sequence->unprefilledTokens, prefillBudget);
    const auto precedingTokens = static_cast<double>(
      sequence->promptTokens + sequence->generatedTokens - sequence->unprefilledTokens);
    const auto chunkTokenCount = static_cast<double>(chunkTokens);
    stepMs += chunkTokenCount / sizes_.prefillTokensPerMs +
              kAttentionMsPerTokenPair * chunkTokenCount * (precedingTokens + chunkTokenCount / 2);
    sequence->unprefilledTokens -= chunkTokens;
    prefillBudget -= chunkTokens;
  }
  return Duration(static_cast<std::int64_t>(stepMs * 1000));
}

std::vector<KvEvent> KvEngine::endStep()
{
  std::vector<KvEvent> events;
  std::vector<std::pair<std::size_t, std::uint32_t>> finishedAttempts;
  for (auto& sequence : running_) {
    if (sequence.unprefilledTokens > 0) {
      continue;
    }
    if (sequence.generatedTokens % kBlockTokens == 0) {
      generationTokens_ += kBlockTokens;
    }
    ++sequence.generatedTokens;
    const bool isLastToken = sequence.generatedTokens >= sequence.outputTokens;
    if (isLastToken || sequence.generatedTokens % sizes_.tokensPerEvent == 0) {
      events.push_back(
        { sequence.request, sequence.attempt, sequence.generatedTokens, isLastToken });
    }
    if (isLastToken) {
      finishedAttempts.emplace_back(sequence.request, sequence.attempt);
    }
  }
  for (const auto& [request, attempt] : finishedAttempts) {
    cancel(request, attempt);
  }
  while (running_.size() > 1 && !ensureCapacity(0)) {
    preemptSequence();
  }
  return events;
}

std::vector<KvSequence> KvEngine::crash()
{
  std::vector<KvSequence> droppedSequences(running_.begin(), running_.end());
  droppedSequences.insert(droppedSequences.end(), waiting_.begin(), waiting_.end());
  *this = KvEngine(sizes_);
  return droppedSequences;
}

std::vector<dispatch::PromptPart> KvEngine::takePrefilledParts()
{
  return std::exchange(prefilledParts_, {});
}

std::vector<std::uint64_t> KvEngine::takeUsedKeys()
{
  return std::exchange(usedKeys_, {});
}

} // namespace figchute::measure
