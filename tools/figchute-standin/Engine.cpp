#include "Engine.h"

#include "core/Fingerprint.h"
#include "json/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::standin {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kTokensPerMessage = 3;

std::string textOf(const json::Value& content)
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

int intOf(const json::Value& object, const char* key, int fallback)
{
  const auto* value = object.find(key);
  const auto number = value == nullptr ? std::nullopt : value->asInteger();
  return static_cast<int>(number.value_or(fallback));
}

bool boolOf(const json::Value& object, const char* key)
{
  const auto* value = object.find(key);
  const auto flag = value == nullptr ? std::nullopt : value->asBool();
  return flag.value_or(false);
}

std::string tokenAt(Fingerprint seed, std::uint64_t index)
{
  const auto bits = fingerprintOf(std::to_string(index), seed);
  return fmt::format("{}{:04x}", index == 0 ? "" : " ", bits & 0xFFFFU);
}

} // namespace

std::pair<Prompt, std::string> readPrompt(std::string_view body)
{
  const auto parsed = json::parse(body);
  if (!parsed) {
    return { {}, "body is not JSON: " + parsed.error().detail };
  }
  const auto* messages = parsed->find("messages");
  const auto* list = messages == nullptr ? nullptr : messages->asArray();
  if (list == nullptr) {
    return { {}, "messages is missing" };
  }
  Prompt prompt;
  const auto* model = parsed->find("model");
  prompt.model = model != nullptr && model->asString() != nullptr ? *model->asString() : "";
  prompt.messages = list->size();
  prompt.maxTokens = intOf(*parsed, "max_tokens", 0);
  prompt.priority = intOf(*parsed, "priority", 1);
  prompt.stream = boolOf(*parsed, "stream");
  const bool continues = boolOf(*parsed, "continue_final_message");
  for (std::size_t i = 0; i < list->size(); ++i) {
    const auto* role = (*list)[i].find("role");
    const auto* content = (*list)[i].find("content");
    if (role == nullptr || role->asString() == nullptr || content == nullptr) {
      return { {}, fmt::format("messages[{}] has no role or content", i) };
    }
    if (continues && i + 1 == list->size()) {
      prompt.continued = textOf(*content);
    } else {
      prompt.text += *role->asString() + '\n' + textOf(*content) + '\n';
    }
  }
  return { std::move(prompt), "" };
}

Generation generate(const Prompt& prompt, int answerTokens)
{
  Generation result;
  const auto seed = fingerprintOf(prompt.text, fingerprintOf(prompt.model));
  result.promptTokens =
    static_cast<std::int64_t>((prompt.text.size() + kBytesPerToken - 1) / kBytesPerToken) +
    kTokensPerMessage * static_cast<std::int64_t>(prompt.messages);
  std::string text;
  for (int i = 0; i < answerTokens; ++i) {
    auto token = tokenAt(seed, static_cast<std::uint64_t>(i));
    text += token;
    if (text.size() <= prompt.continued.size()) {
      continue;
    }
    const auto fresh = std::min(token.size(), text.size() - prompt.continued.size());
    result.tokens.push_back(token.substr(token.size() - fresh));
  }
  result.finishReason = "stop";
  const auto bound = static_cast<std::size_t>(std::max(prompt.maxTokens, 0));
  if (bound > 0 && result.tokens.size() > bound) {
    result.tokens.resize(bound);
    result.finishReason = "length";
  }
  return result;
}

std::uint64_t Slots::take(int priority, std::function<void()> start)
{
  const auto ticket = ++lastTicket_;
  waiting_.emplace(std::pair(priority, ticket), std::move(start));
  startNext();
  return ticket;
}

void Slots::release(std::uint64_t ticket)
{
  if (running_.erase(ticket) == 0) {
    const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
      return entry.first.second == ticket;
    });
    if (place != waiting_.end()) {
      waiting_.erase(place);
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
    auto next = waiting_.extract(waiting_.begin());
    running_.emplace(next.key().second, next.key().first);
    next.mapped()();
  }
}

void LoadHistory::add(Clock::time_point now, Load load)
{
  // One minute is longer than any report lag that tests use.
  constexpr auto kKept = std::chrono::seconds(60);
  samples_.emplace_back(now, load);
  while (samples_.size() > 1 && samples_.front().first < now - kKept) {
    samples_.pop_front();
  }
}

Load LoadHistory::at(Clock::time_point when) const
{
  Load found = samples_.empty() ? Load{} : samples_.front().second;
  for (const auto& [time, load] : samples_) {
    if (time > when) {
      break;
    }
    found = load;
  }
  return found;
}

} // namespace figchute::standin
