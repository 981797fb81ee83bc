#include "FakeEngine.h"

#include <algorithm>

namespace figchute::measure {
namespace {

/** A full batch of 32 takes 30 ms per step, within the 33 ms between tokens of section 1. */
constexpr double kStepMicros = 8'000;
constexpr double kMicrosPerSequence = 700;
constexpr double kMicrosPerPromptToken = 60;
constexpr int kPromptTokensPerStep = 512;
constexpr int kCacheTokens = 30'000;

} // namespace

int PrefixCache::lookUp(const std::vector<PromptPart>& prompt)
{
  int tokens = 0;
  for (const auto& part : prompt) {
    const auto found = parts_.find(part.prefix);
    if (found == parts_.end()) {
      break;
    }
    order_.splice(order_.begin(), order_, found->second);
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixCache::insert(const std::vector<PromptPart>& prompt)
{
  for (const auto& part : prompt) {
    if (parts_.contains(part.prefix)) {
      continue;
    }
    order_.push_front(part);
    parts_[part.prefix] = order_.begin();
    used_ += part.tokens;
  }
  while (used_ > capacity_) {
    used_ -= order_.back().tokens;
    parts_.erase(order_.back().prefix);
    order_.pop_back();
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
  const auto queued = std::find_if(waiting_.begin(), waiting_.end(), matches);
  if (queued != waiting_.end()) {
    const int generated = queued->generated;
    waiting_.erase(queued);
    return generated;
  }
  const auto active = std::find_if(running_.begin(), running_.end(), matches);
  if (active == running_.end()) {
    return -1;
  }
  const int generated = active->generated;
  inStep_ -= static_cast<std::size_t>(active - running_.begin()) < inStep_ ? 1 : 0;
  running_.erase(active);
  return generated;
}

void FakeEngine::admitWaiting()
{
  while (running_.size() < kSlotsPerEngine && !waiting_.empty()) {
    auto sequence = std::move(waiting_.front());
    waiting_.pop_front();
    int prompt = sequence.generated;
    for (const auto& part : sequence.prompt) {
      prompt += part.tokens;
    }
    const int cached = cache_.lookUp(sequence.prompt);
    promptTokens_ += prompt;
    cachedTokens_ += cached;
    sequence.unread = std::max(prompt - cached, 1);
    running_.push_back(std::move(sequence));
  }
}

Duration FakeEngine::beginStep()
{
  admitWaiting();
  inStep_ = running_.size();
  if (running_.empty()) {
    return Duration(0);
  }
  int budget = kPromptTokensPerStep;
  int read = 0;
  std::vector<EngineSequence*> unread;
  for (auto& sequence : running_) {
    if (sequence.unread > 0) {
      unread.push_back(&sequence);
    }
  }
  if (!fifo_) {
    std::stable_sort(unread.begin(), unread.end(), [](const auto* a, const auto* b) {
      return a->priority < b->priority;
    });
  }
  for (auto* sequence : unread) {
    const int part = std::min(sequence->unread, budget);
    sequence->unread -= part;
    budget -= part;
    read += part;
  }
  const double micros = kStepMicros + kMicrosPerSequence * static_cast<double>(running_.size()) +
                        kMicrosPerPromptToken * read;
  return Duration(static_cast<std::int64_t>(micros));
}

std::vector<EngineEvent> FakeEngine::endStep(Duration length)
{
  constexpr int kTokensPerEvent = 16;
  std::vector<EngineEvent> events;
  const double seconds = static_cast<double>(length.count()) * 1e-6;
  for (std::size_t i = 0; i < inStep_; ++i) {
    auto& sequence = running_[i];
    if (sequence.unread > 0) {
      usefulSlotSeconds_ += sequence.resumed ? 0 : seconds;
      continue;
    }
    usefulSlotSeconds_ += seconds;
    const bool first = sequence.unread == 0;
    if (first) {
      cache_.insert(sequence.prompt);
      sequence.unread = -1;
    }
    ++sequence.generated;
    const bool done = sequence.generated >= sequence.output;
    if (first || done || sequence.generated % kTokensPerEvent == 0) {
      events.push_back({ sequence.request, sequence.attempt, sequence.generated, first, done });
    }
  }
  std::erase_if(running_, [](const EngineSequence& sequence) {
    return sequence.unread < 0 && sequence.generated >= sequence.output;
  });
  return events;
}

std::vector<EngineSequence> FakeEngine::crash()
{
  std::vector<EngineSequence> lost(running_.begin(), running_.end());
  lost.insert(lost.end(), waiting_.begin(), waiting_.end());
  running_.clear();
  waiting_.clear();
  inStep_ = 0;
  cache_ = PrefixCache(kCacheTokens);
  return lost;
}

bool FakeEngine::runsCrashing() const
{
  return std::any_of(running_.begin(), running_.end(), [](const EngineSequence& sequence) {
    return sequence.crashes;
  });
}

} // namespace figchute::measure
