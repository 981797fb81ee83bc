#include "Engine.h"

#include "json/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::standin {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kTokensPerMessage = 3;

std::string contentText(const json::Value& content)
{
  if (const auto* text = content.asString()) {
    return *text;
  }
  std::string joined;
  if (const auto* parts = content.asArray()) {
    for (const auto& part : *parts) {
      const auto* text = part.find("text");
      joined += text != nullptr && text->asString() != nullptr ? *text->asString() : "";
    }
  }
  return joined;
}

int intMember(const json::Value& object, const char* key, int fallback)
{
  const auto* value = object.find(key);
  const auto number = value == nullptr ? std::nullopt : value->asInteger();
  return static_cast<int>(number.value_or(fallback));
}

bool boolMember(const json::Value& object, const char* key)
{
  const auto* value = object.find(key);
  const auto flag = value == nullptr ? std::nullopt : value->asBool();
  return flag.value_or(false);
}

std::string tokenAt(Fingerprint seed, std::uint64_t index)
{
  const auto hash = fingerprintOf(std::to_string(index), seed);
  return fmt::format("{}{:04x}", index == 0 ? "" : " ", hash & 0xFFFFU);
}

} // namespace

std::pair<Prompt, std::string> readPrompt(std::string_view body)
{
  const auto parsed = json::parse(body);
  if (!parsed) {
    return { {}, "body is not JSON: " + parsed.error().detail };
  }
  const auto* messages = parsed->find("messages");
  const auto* messageList = messages == nullptr ? nullptr : messages->asArray();
  if (messageList == nullptr) {
    return { {}, "messages is missing" };
  }
  Prompt prompt;
  const auto* model = parsed->find("model");
  prompt.model = model != nullptr && model->asString() != nullptr ? *model->asString() : "";
  prompt.messageCount = messageList->size();
  prompt.maxTokens = intMember(*parsed, "max_tokens", 0);
  prompt.priority = intMember(*parsed, "priority", 1);
  prompt.isStreamed = boolMember(*parsed, "stream");
  const bool isContinuation = boolMember(*parsed, "continue_final_message");
  for (std::size_t i = 0; i < messageList->size(); ++i) {
    const auto* role = (*messageList)[i].find("role");
    const auto* content = (*messageList)[i].find("content");
    if (role == nullptr || role->asString() == nullptr || content == nullptr) {
      return { {}, fmt::format("messages[{}] has no role or content", i) };
    }
    if (isContinuation && i + 1 == messageList->size()) {
      prompt.textToContinue = contentText(*content);
    } else {
      prompt.text += *role->asString() + '\n' + contentText(*content) + '\n';
    }
  }
  return { std::move(prompt), "" };
}

Generation::Generation(const Prompt& prompt, int answerTokens)
  : seed_(fingerprintOf(prompt.text, fingerprintOf(prompt.model)))
  , promptTokens_(
      static_cast<std::int64_t>((prompt.text.size() + kBytesPerToken - 1) / kBytesPerToken) +
      kTokensPerMessage * static_cast<std::int64_t>(prompt.messageCount))
  , answerTokens_(answerTokens)
  , maxTokens_(prompt.maxTokens > 0 ? prompt.maxTokens : answerTokens)
  , bytesToSkip_(prompt.textToContinue.size())
{
}

std::optional<std::string> Generation::next()
{
  while (nextIndex_ < answerTokens_ && emittedTokens_ < maxTokens_) {
    auto token = tokenAt(seed_, static_cast<std::uint64_t>(nextIndex_++));
    const auto skippedBytes = std::min(bytesToSkip_, token.size());
    bytesToSkip_ -= skippedBytes;
    if (skippedBytes < token.size()) {
      ++emittedTokens_;
      return token.substr(skippedBytes);
    }
  }
  return std::nullopt;
}

std::string Generation::finishReason() const
{
  return nextIndex_ < answerTokens_ ? "length" : "stop";
}

std::uint64_t Slots::acquire(int priority, std::function<void()> onAcquired)
{
  const auto ticket = ++lastTicket_;
  waiting_.emplace(std::pair(priority, ticket), std::move(onAcquired));
  startNext();
  return ticket;
}

void Slots::release(std::uint64_t ticket)
{
  if (running_.erase(ticket) == 0) {
    const auto entryIt = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
      return entry.first.second == ticket;
    });
    if (entryIt != waiting_.end()) {
      waiting_.erase(entryIt);
    }
  }
  startNext();
}

Load Slots::load() const
{
  return { static_cast<int>(running_.size()), static_cast<int>(waiting_.size()) };
}

void Slots::startNext()
{
  while (!waiting_.empty() && static_cast<int>(running_.size()) < count_) {
    auto nextEntry = waiting_.extract(waiting_.begin());
    running_.emplace(nextEntry.key().second, nextEntry.key().first);
    nextEntry.mapped()();
  }
}

void LoadHistory::add(Clock::time_point now, Load load)
{
  // One minute exceeds every report lag that the tests use.
  constexpr auto kRetention = std::chrono::seconds(60);
  samples_.emplace_back(now, load);
  while (samples_.size() > 1 && samples_.front().first < now - kRetention) {
    samples_.pop_front();
  }
}

Load LoadHistory::loadAt(Clock::time_point reportTime) const
{
  Load lastLoad = samples_.empty() ? Load{} : samples_.front().second;
  for (const auto& [time, load] : samples_) {
    if (time > reportTime) {
      break;
    }
    lastLoad = load;
  }
  return lastLoad;
}

} // namespace figchute::standin
