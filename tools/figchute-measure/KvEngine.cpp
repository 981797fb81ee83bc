#include "KvEngine.h"

#include <algorithm>
#include <utility>

namespace figchute::measure {
namespace {

constexpr std::int64_t kBlock = 16;
constexpr std::int64_t kChunk = 4096;
constexpr std::size_t kQueuePerSlot = 3;
constexpr double kTokensPerMilli = 61.2;
constexpr double kAttentionMillis = 0.324e-6;
constexpr double kStepMillis = 3.37;
constexpr double kMillisPerRequest = 0.0109;
constexpr double kMillisPerContextToken = 0.0034e-3;

std::int64_t blocks(std::int64_t tokens)
{
  return (tokens + kBlock - 1) / kBlock * kBlock;
}

} // namespace

bool KvEngine::add(KvSequence sequence)
{
  const auto slots = static_cast<std::size_t>(sizes_.slots);
  if (running_.size() + waiting_.size() >= slots * (1 + kQueuePerSlot)) {
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
  const auto active = std::find_if(running_.begin(), running_.end(), matches);
  if (active != running_.end()) {
    release(*active);
    running_.erase(active);
  }
}

bool KvEngine::makeRoom(std::int64_t tokens)
{
  auto oldest = order_.begin();
  while (partTokens_ + generatedTokens_ + tokens > sizes_.kvCapacity && oldest != order_.end()) {
    const auto found = parts_.find(*oldest);
    if (found->second.users > 0) {
      ++oldest;
      continue;
    }
    partTokens_ -= blocks(found->second.tokens);
    parts_.erase(found);
    oldest = order_.erase(oldest);
  }
  return partTokens_ + generatedTokens_ + tokens <= sizes_.kvCapacity;
}

bool KvEngine::admit(KvSequence& sequence)
{
  std::int64_t cached = 0;
  std::size_t known = 0;
  while (known < sequence.keys.size() && parts_.contains(sequence.keys[known])) {
    cached += sequence.parts[known].tokens;
    ++known;
  }
  for (std::size_t i = 0; i < known; ++i) {
    ++parts_[sequence.keys[i]].users;
  }
  std::int64_t needed = blocks(sequence.generated + 1);
  for (std::size_t i = known; i < sequence.keys.size(); ++i) {
    needed += parts_.contains(sequence.keys[i]) ? 0 : blocks(sequence.parts[i].tokens);
  }
  if (!makeRoom(needed)) {
    for (std::size_t i = 0; i < known; ++i) {
      --parts_[sequence.keys[i]].users;
    }
    return false;
  }
  for (std::size_t i = 0; i < sequence.keys.size(); ++i) {
    const auto key = sequence.keys[i];
    usedKeys_.push_back(key);
    const auto [entry, isNew] = parts_.try_emplace(key);
    if (isNew) {
      entry->second.tokens = sequence.parts[i].tokens;
      partTokens_ += blocks(entry->second.tokens);
      order_.push_back(key);
      entry->second.order = std::prev(order_.end());
    } else {
      order_.splice(order_.end(), order_, entry->second.order);
    }
    if (i >= known) {
      ++entry->second.users;
      readParts_.push_back({ key, sequence.parts[i].tokens });
    }
  }
  generatedTokens_ += blocks(sequence.generated);
  sequence.unread = std::max<std::int64_t>(sequence.promptTokens - cached + sequence.generated, 1);
  sequence.admitted = ++admissions_;
  return true;
}

void KvEngine::release(const KvSequence& sequence)
{
  for (const auto key : sequence.keys) {
    const auto found = parts_.find(key);
    --found->second.users;
    // A part that was not read to its end is not cached.
    if (sequence.unread > 0 && found->second.users == 0 && key == sequence.keys.back()) {
      partTokens_ -= blocks(found->second.tokens);
      order_.erase(found->second.order);
      parts_.erase(found);
    }
  }
  generatedTokens_ -= blocks(sequence.generated);
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

std::vector<KvSequence>::iterator KvEngine::newestLeastUrgent()
{
  return std::max_element(
    running_.begin(), running_.end(), [](const KvSequence& a, const KvSequence& b) {
      return a.priority != b.priority ? a.priority < b.priority : a.admitted < b.admitted;
    });
}

void KvEngine::preemptOne()
{
  const auto victim = newestLeastUrgent();
  release(*victim);
  waiting_.push_front(std::move(*victim));
  running_.erase(victim);
  ++preemptions_;
}

Duration KvEngine::beginStep()
{
  admitWaiting();
  if (running_.empty()) {
    return Duration(0);
  }
  std::vector<KvSequence*> unread;
  double context = 0;
  for (auto& sequence : running_) {
    context += static_cast<double>(sequence.promptTokens + sequence.generated - sequence.unread);
    if (sequence.unread > 0) {
      unread.push_back(&sequence);
    }
  }
  std::sort(unread.begin(), unread.end(), [](const auto* a, const auto* b) {
    return a->priority != b->priority ? a->priority < b->priority : a->admitted < b->admitted;
  });
  double millis = kStepMillis + kMillisPerRequest * static_cast<double>(running_.size()) +
                  kMillisPerContextToken * context;
  std::int64_t budget = kChunk;
  for (auto* sequence : unread) {
    const auto part = std::min(sequence->unread, budget);
    const auto before =
      static_cast<double>(sequence->promptTokens + sequence->generated - sequence->unread);
    const auto read = static_cast<double>(part);
    millis += read / kTokensPerMilli + kAttentionMillis * read * (before + read / 2);
    sequence->unread -= part;
    budget -= part;
  }
  return Duration(static_cast<std::int64_t>(millis * 1000));
}

std::vector<KvEvent> KvEngine::endStep()
{
  std::vector<KvEvent> events;
  std::vector<std::pair<std::size_t, std::uint32_t>> done;
  for (auto& sequence : running_) {
    if (sequence.unread > 0) {
      continue;
    }
    if (sequence.generated % kBlock == 0) {
      generatedTokens_ += kBlock;
    }
    ++sequence.generated;
    const bool last = sequence.generated >= sequence.output;
    if (last || sequence.generated % sizes_.stride == 0) {
      events.push_back({ sequence.request, sequence.attempt, sequence.generated, last });
    }
    if (last) {
      done.emplace_back(sequence.request, sequence.attempt);
    }
  }
  for (const auto& [request, attempt] : done) {
    cancel(request, attempt);
  }
  while (running_.size() > 1 && !makeRoom(0)) {
    preemptOne();
  }
  return events;
}

std::vector<KvSequence> KvEngine::crash()
{
  std::vector<KvSequence> lost(running_.begin(), running_.end());
  lost.insert(lost.end(), waiting_.begin(), waiting_.end());
  *this = KvEngine(sizes_);
  return lost;
}

std::vector<dispatch::PromptPart> KvEngine::takeReadParts()
{
  return std::exchange(readParts_, {});
}

std::vector<std::uint64_t> KvEngine::takeUsedKeys()
{
  return std::exchange(usedKeys_, {});
}

} // namespace figchute::measure
