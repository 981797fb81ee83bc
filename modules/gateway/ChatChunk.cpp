#include "gateway/ChatChunk.h"

#include "gateway/JsonText.h"
#include "json/json.h"

#include <fmt/format.h>
#include <utility>

namespace figchute::gateway {
namespace {

auto invalidEvent(std::string_view detail)
{
  return fail(ErrorKind::endpointFailed,
              fmt::format("invalid event in the response of the endpoint: {}", detail));
}

std::string stringOrEmpty(const json::Value* value)
{
  const auto* text = value == nullptr ? nullptr : value->asString();
  return text == nullptr ? "" : *text;
}

bool isPresent(const json::Value* value)
{
  return value != nullptr && !value->isNull();
}

Expected<std::optional<ChatUsage>> parseUsage(const json::Value* value)
{
  if (!isPresent(value)) {
    return std::nullopt;
  }
  const auto tokenCount = [&](std::string_view name) {
    const auto* number = value->find(name);
    return number == nullptr ? std::optional<std::int64_t>() : number->asInteger();
  };
  const auto prompt = tokenCount("prompt_tokens");
  const auto completion = tokenCount("completion_tokens").value_or(0);
  if (!prompt || *prompt < 0 || completion < 0) {
    return invalidEvent("usage has no valid token counts");
  }
  return ChatUsage{ Tokens{ *prompt }, Tokens{ completion } };
}

Expected<void> parseChoice(const json::Value& choice, ChatChunk& chunk)
{
  const auto* index = choice.find("index");
  if (index != nullptr && index->asInteger() != 0) {
    return invalidEvent("it has a choice other than the first");
  }
  const auto* delta = choice.find("delta");
  const auto* content = delta == nullptr ? nullptr : delta->find("content");
  if (isPresent(content) && content->asString() == nullptr) {
    return invalidEvent("delta.content is not a string");
  }
  chunk.text += stringOrEmpty(content);
  const auto* reason = choice.find("finish_reason");
  if (isPresent(reason) && reason->asString() == nullptr) {
    return invalidEvent("finish_reason is not a string");
  }
  // Some engines send an empty reason with each chunk before the last one.
  if (auto text = stringOrEmpty(reason); !text.empty()) {
    chunk.finishReason = std::move(text);
  }
  return {};
}

} // namespace

Expected<ChatChunk> ChatChunk::parse(std::string_view data)
{
  const auto root = json::parse(data);
  if (!root || root->asObject() == nullptr) {
    return invalidEvent("it is not a JSON object");
  }
  if (const auto* error = root->find("error"); isPresent(error)) {
    return invalidEvent("it reports the error: " + stringOrEmpty(error->find("message")));
  }
  ChatChunk chunk;
  chunk.id = stringOrEmpty(root->find("id"));
  chunk.model = stringOrEmpty(root->find("model"));
  if (const auto* created = root->find("created")) {
    chunk.created = created->asInteger().value_or(0);
  }
  auto usage = parseUsage(root->find("usage"));
  if (!usage) {
    return tl::unexpected(usage.error());
  }
  chunk.usage = *usage;
  const auto* choices = root->find("choices");
  const auto* list = choices == nullptr ? nullptr : choices->asArray();
  if (list == nullptr) {
    return invalidEvent("choices is missing or not an array");
  }
  for (const auto& choice : *list) {
    if (auto parsed = parseChoice(choice, chunk); !parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  return chunk;
}

std::string ChatChunk::toEvent(bool first) const
{
  std::string event = R"(data: {"id":)";
  event.reserve(text.size() + 256);
  appendJsonString(event, id);
  event += fmt::format(R"(,"object":"chat.completion.chunk","created":{},"model":)", created);
  appendJsonString(event, model);
  event += R"(,"choices":[)";
  if (first || !text.empty() || finishReason) {
    event += R"({"index":0,"delta":{)";
    event += first ? R"("role":"assistant","content":)" : "";
    if (!first && !text.empty()) {
      event += R"("content":)";
    }
    if (first || !text.empty()) {
      appendJsonString(event, text);
    }
    event += R"(},"finish_reason":)";
    if (finishReason) {
      appendJsonString(event, *finishReason);
    } else {
      event += "null";
    }
    event += '}';
  }
  event += ']';
  if (usage) {
    event +=
      fmt::format(R"(,"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
                  usage->prompt.count,
                  usage->completion.count,
                  usage->prompt.count + usage->completion.count);
  }
  event += "}\n\n";
  return event;
}

std::string streamEndEvent()
{
  return fmt::format("data: {}\n\n", kStreamEnd);
}

} // namespace figchute::gateway
