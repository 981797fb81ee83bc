#include "gateway/ChatRequest.h"

#include "gateway/JsonText.h"
#include "json/json.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace figchute::gateway {
namespace {

/** More messages than any conversation of the two deployments has. It limits the length of the
    fingerprint chain. */
constexpr std::size_t kMaxMessages = 4096;
/** Larger than the context of any engine, and small enough that sums of token counts cannot
    overflow. */
constexpr std::int64_t kMaxTokens = 16'777'216;

/** Fields forwarded to the engine. They affect how it selects tokens or when it stops, but cannot
    raise the number of tokens that it reads or generates above the token limit. */
constexpr std::array<std::string_view, 11> kForwardedParameters{ "temperature",
                                                                 "top_p",
                                                                 "top_k",
                                                                 "min_p",
                                                                 "seed",
                                                                 "stop",
                                                                 "user",
                                                                 "logit_bias",
                                                                 "ignore_eos",
                                                                 "presence_penalty",
                                                                 "frequency_penalty" };

constexpr std::array<std::string_view, 4> kMessageRoles{ "system",
                                                         "developer",
                                                         "user",
                                                         "assistant" };

auto badRequest(std::string detail)
{
  return fail(ErrorKind::badRequest, std::move(detail));
}

} // namespace

/** Parses and validates the fields of one request body. */
class ChatRequestParser
{
public:
  Expected<ChatRequest> parse(std::string_view body);

private:
  using ParseResult = Expected<void>;

  ParseResult parseField(const std::string& name, const json::Value& value);
  ParseResult parseModel(const json::Value& value);
  ParseResult parseMessages(const json::Value& value);
  ParseResult parseMessage(std::size_t index, const json::Value& value);
  ParseResult parseContent(std::size_t index, const json::Value& value, std::string& text);
  ParseResult parsePart(std::size_t index, const json::Value& value, std::string& text);
  ParseResult parseTokenLimit(const std::string& name, const json::Value& value);
  ParseResult parseFlag(const std::string& name, const json::Value& value, bool& target);
  ParseResult parseStreamOptions(const json::Value& value);
  ParseResult parseChoiceCount(const json::Value& value);
  void computeFingerprints();

  ChatRequest request_;
};

Expected<ChatRequest> ChatRequest::parse(std::string_view body)
{
  return ChatRequestParser().parse(body);
}

Expected<ChatRequest> ChatRequestParser::parse(std::string_view body)
{
  const auto root = json::parse(body);
  if (!root) {
    return badRequest("the request body is not valid JSON: " + root.error().detail);
  }
  const auto* fields = root->asObject();
  if (fields == nullptr) {
    return badRequest("the request body is not a JSON object");
  }
  for (const auto& member : *fields) {
    if (auto parsed = parseField(member.name, member.value); !parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  if (request_.model_.empty()) {
    return badRequest("model is missing");
  }
  if (request_.messages_.empty()) {
    return badRequest("messages is missing or empty");
  }
  computeFingerprints();
  return std::move(request_);
}

Expected<void> ChatRequestParser::parseField(const std::string& name, const json::Value& value)
{
  if (name == "model") {
    return parseModel(value);
  }
  if (name == "messages") {
    return parseMessages(value);
  }
  if (value.isNull()) {
    return {};
  }
  if (name == "max_tokens" || name == "max_completion_tokens") {
    return parseTokenLimit(name, value);
  }
  if (name == "stream") {
    return parseFlag(name, value, request_.isStreamed_);
  }
  if (name == "stream_options") {
    return parseStreamOptions(value);
  }
  if (name == "n") {
    return parseChoiceCount(value);
  }
  if (std::find(kForwardedParameters.begin(), kForwardedParameters.end(), name) !=
      kForwardedParameters.end()) {
    request_.parameters_.push_back({ name, json::dump(value) });
    return {};
  }
  return badRequest(fmt::format("unsupported field \"{}\"", name));
}

Expected<void> ChatRequestParser::parseModel(const json::Value& value)
{
  const auto* name = value.asString();
  if (name == nullptr || name->empty()) {
    return badRequest("model must be a non-empty string");
  }
  request_.model_ = ModelName(*name);
  return {};
}

Expected<void> ChatRequestParser::parseMessages(const json::Value& value)
{
  const auto* list = value.asArray();
  if (list == nullptr) {
    return badRequest("messages must be an array");
  }
  if (list->size() > kMaxMessages) {
    return badRequest(fmt::format("messages has more than {} elements", kMaxMessages));
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    if (auto parsed = parseMessage(i, (*list)[i]); !parsed) {
      return parsed;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::parseMessage(std::size_t index, const json::Value& value)
{
  const auto* fields = value.asObject();
  if (fields == nullptr) {
    return badRequest(fmt::format("messages[{}] must be an object", index));
  }
  ChatRequest::Message message;
  bool hasContent = false;
  for (const auto& [name, member] : *fields) {
    if (name == "content") {
      hasContent = true;
      if (auto parsed = parseContent(index, member, message.text); !parsed) {
        return parsed;
      }
    } else if ((name == "role" || name == "name") && member.asString() != nullptr) {
      (name == "role" ? message.role : message.name) = *member.asString();
    } else {
      return badRequest(
        fmt::format("messages[{}].{} is not supported or not a string", index, name));
    }
  }
  if (std::find(kMessageRoles.begin(), kMessageRoles.end(), message.role) == kMessageRoles.end()) {
    return badRequest(
      fmt::format("messages[{}].role \"{}\" is not supported", index, message.role));
  }
  if (!hasContent) {
    return badRequest(fmt::format("messages[{}].content is missing", index));
  }
  request_.promptBytes_ += message.role.size() + message.name.size() + message.text.size();
  request_.messages_.push_back(std::move(message));
  return {};
}

Expected<void> ChatRequestParser::parseContent(std::size_t index,
                                               const json::Value& value,
                                               std::string& text)
{
  if (const auto* plainText = value.asString()) {
    text = *plainText;
    return {};
  }
  const auto* parts = value.asArray();
  if (parts == nullptr) {
    return badRequest(
      fmt::format("messages[{}].content must be a string or an array of parts", index));
  }
  for (const auto& element : *parts) {
    if (auto parsed = parsePart(index, element, text); !parsed) {
      return parsed;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::parsePart(std::size_t index,
                                            const json::Value& value,
                                            std::string& text)
{
  const auto* type = value.find("type");
  const auto* content = value.find("text");
  const bool isText = type != nullptr && type->asString() != nullptr &&
                      *type->asString() == "text" && content != nullptr &&
                      content->asString() != nullptr && value.asObject()->size() == 2;
  if (!isText) {
    return badRequest(
      fmt::format("messages[{}].content has a part that is not a text part", index));
  }
  text += *content->asString();
  return {};
}

Expected<void> ChatRequestParser::parseTokenLimit(const std::string& name, const json::Value& value)
{
  const auto number = value.asInteger();
  if (!number || *number < 1 || *number > kMaxTokens) {
    return badRequest(fmt::format("{} must be an integer from 1 to {}", name, kMaxTokens));
  }
  const auto previous = request_.maxTokens_.value_or(Tokens{ *number });
  request_.maxTokens_ = Tokens{ std::min(*number, previous.count) };
  return {};
}

Expected<void> ChatRequestParser::parseFlag(const std::string& name,
                                            const json::Value& value,
                                            bool& target)
{
  const auto flag = value.asBool();
  if (!flag) {
    return badRequest(name + " must be true or false");
  }
  target = *flag;
  return {};
}

Expected<void> ChatRequestParser::parseStreamOptions(const json::Value& value)
{
  const auto* fields = value.asObject();
  if (fields == nullptr) {
    return badRequest("stream_options must be an object");
  }
  for (const auto& [name, member] : *fields) {
    if (name != "include_usage") {
      return badRequest(fmt::format("stream_options.{} is not supported", name));
    }
    if (auto parsed = parseFlag("stream_options.include_usage", member, request_.isUsageRequested_);
        !parsed) {
      return parsed;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::parseChoiceCount(const json::Value& value)
{
  const auto number = value.asInteger();
  if (!number || *number != 1) {
    return badRequest("n must be 1");
  }
  return {};
}

void ChatRequestParser::computeFingerprints()
{
  Fingerprint prefixFingerprint = fingerprintOf(request_.model_.view());
  for (const auto& message : request_.messages_) {
    prefixFingerprint = fingerprintOf(message.role, prefixFingerprint);
    prefixFingerprint = fingerprintOf(message.name, prefixFingerprint);
    prefixFingerprint = fingerprintOf(message.text, prefixFingerprint);
    request_.prefixChain_.push_back(prefixFingerprint);
  }
  std::sort(request_.parameters_.begin(),
            request_.parameters_.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  Fingerprint requestFingerprint = prefixFingerprint;
  for (const auto& parameter : request_.parameters_) {
    requestFingerprint = fingerprintOf(parameter.name, requestFingerprint);
    requestFingerprint = fingerprintOf(parameter.json, requestFingerprint);
  }
  const auto tokenLimit = request_.maxTokens_.value_or(Tokens{ 0 });
  request_.fingerprint_ = fingerprintOf(std::to_string(tokenLimit.count), requestFingerprint);
}

std::string ChatRequest::engineBody(const EngineOptions& options) const
{
  std::string body = R"({"model":)";
  body.reserve(promptBytes_ + 256 + options.continueAfter.size());
  appendJsonString(body, model_.view());
  body += R"(,"messages":[)";
  const auto appendMessage = [&](const Message& message) {
    body += body.back() == '[' ? R"({"role":)" : R"(,{"role":)";
    appendJsonString(body, message.role);
    if (!message.name.empty()) {
      body += R"(,"name":)";
      appendJsonString(body, message.name);
    }
    body += R"(,"content":)";
    appendJsonString(body, message.text);
    body += '}';
  };
  for (const auto& message : messages_) {
    appendMessage(message);
  }
  const bool continuesText = !options.continueAfter.empty();
  if (continuesText) {
    appendMessage({ "assistant", "", options.continueAfter });
  }
  body += ']';
  if (continuesText) {
    body += R"(,"continue_final_message":true,"add_generation_prompt":false)";
  }
  for (const auto& parameter : parameters_) {
    body += ',';
    appendJsonString(body, parameter.name);
    body += ':' + parameter.json;
  }
  body += fmt::format(R"(,"max_tokens":{},"stream":true,)"
                      R"("stream_options":{{"include_usage":true}},"priority":{}}})",
                      options.maxTokens.count,
                      static_cast<int>(options.rank));
  return body;
}

} // namespace figchute::gateway
