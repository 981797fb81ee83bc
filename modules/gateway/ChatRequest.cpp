#include "gateway/ChatRequest.h"

#include "gateway/JsonText.h"
#include "json/json.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace figchute::gateway {
namespace {

/** More messages than any conversation of the two deployments has; bounds the fingerprint chain. */
constexpr std::size_t kMaxMessages = 4096;
/** Above any engine's context; keeps sums of tokens far from overflow. */
constexpr std::int64_t kMaxTokens = 16'777'216;

/** The fields that change how the engine chooses tokens, not how many it reads or generates. */
constexpr std::array<std::string_view, 11> kParameters{ "temperature",
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

constexpr std::array<std::string_view, 4> kRoles{ "system", "developer", "user", "assistant" };

auto bad(std::string detail)
{
  return fail(ErrorKind::badRequest, std::move(detail));
}

} // namespace

/** Reads the fields of one body into a ChatRequest. */
class ChatRequestParser
{
public:
  Expected<ChatRequest> parse(std::string_view body);

private:
  using Step = Expected<void>;

  Step field(const std::string& name, const json::Value& value);
  Step model(const json::Value& value);
  Step messages(const json::Value& value);
  Step message(std::size_t index, const json::Value& value);
  Step content(std::size_t index, const json::Value& value, std::string& text);
  Step part(std::size_t index, const json::Value& value, std::string& text);
  Step tokenBound(const std::string& name, const json::Value& value);
  Step flag(const std::string& name, const json::Value& value, bool& target);
  Step streamOptions(const json::Value& value);
  Step choices(const json::Value& value);
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
    return bad("the body is not JSON: " + root.error().detail);
  }
  const auto* fields = root->asObject();
  if (fields == nullptr) {
    return bad("the body is not a JSON object");
  }
  for (const auto& member : *fields) {
    if (auto step = field(member.name, member.value); !step) {
      return tl::unexpected(step.error());
    }
  }
  if (request_.model_.empty()) {
    return bad("model is missing");
  }
  if (request_.messages_.empty()) {
    return bad("messages is missing or empty");
  }
  computeFingerprints();
  return std::move(request_);
}

Expected<void> ChatRequestParser::field(const std::string& name, const json::Value& value)
{
  if (name == "model") {
    return model(value);
  }
  if (name == "messages") {
    return messages(value);
  }
  if (value.isNull()) {
    return {};
  }
  if (name == "max_tokens" || name == "max_completion_tokens") {
    return tokenBound(name, value);
  }
  if (name == "stream") {
    return flag(name, value, request_.streamed_);
  }
  if (name == "stream_options") {
    return streamOptions(value);
  }
  if (name == "n") {
    return choices(value);
  }
  if (std::find(kParameters.begin(), kParameters.end(), name) != kParameters.end()) {
    request_.parameters_.push_back({ name, json::dump(value) });
    return {};
  }
  return bad(fmt::format("the field \"{}\" is not supported", name));
}

Expected<void> ChatRequestParser::model(const json::Value& value)
{
  const auto* name = value.asString();
  if (name == nullptr || name->empty()) {
    return bad("model is not a name");
  }
  request_.model_ = ModelName(*name);
  return {};
}

Expected<void> ChatRequestParser::messages(const json::Value& value)
{
  const auto* list = value.asArray();
  if (list == nullptr) {
    return bad("messages is not an array");
  }
  if (list->size() > kMaxMessages) {
    return bad(fmt::format("there are more than {} messages", kMaxMessages));
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    if (auto step = message(i, (*list)[i]); !step) {
      return step;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::message(std::size_t index, const json::Value& value)
{
  const auto* fields = value.asObject();
  if (fields == nullptr) {
    return bad(fmt::format("messages[{}] is not an object", index));
  }
  ChatRequest::Message message;
  bool hasContent = false;
  for (const auto& [name, member] : *fields) {
    if (name == "content") {
      hasContent = true;
      if (auto step = content(index, member, message.text); !step) {
        return step;
      }
    } else if ((name == "role" || name == "name") && member.asString() != nullptr) {
      (name == "role" ? message.role : message.name) = *member.asString();
    } else {
      return bad(fmt::format("messages[{}].{} is not supported or not a text", index, name));
    }
  }
  if (std::find(kRoles.begin(), kRoles.end(), message.role) == kRoles.end()) {
    return bad(fmt::format("messages[{}].role \"{}\" is unknown", index, message.role));
  }
  if (!hasContent) {
    return bad(fmt::format("messages[{}].content is missing", index));
  }
  request_.promptBytes_ += message.role.size() + message.name.size() + message.text.size();
  request_.messages_.push_back(std::move(message));
  return {};
}

Expected<void> ChatRequestParser::content(std::size_t index,
                                          const json::Value& value,
                                          std::string& text)
{
  if (const auto* whole = value.asString()) {
    text = *whole;
    return {};
  }
  const auto* parts = value.asArray();
  if (parts == nullptr) {
    return bad(fmt::format("messages[{}].content is neither text nor parts", index));
  }
  for (const auto& each : *parts) {
    if (auto step = part(index, each, text); !step) {
      return step;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::part(std::size_t index,
                                       const json::Value& value,
                                       std::string& text)
{
  const auto* type = value.find("type");
  const auto* content = value.find("text");
  const bool isText = type != nullptr && type->asString() != nullptr &&
                      *type->asString() == "text" && content != nullptr &&
                      content->asString() != nullptr && value.asObject()->size() == 2;
  if (!isText) {
    return bad(fmt::format("messages[{}].content has a part that is not text", index));
  }
  text += *content->asString();
  return {};
}

Expected<void> ChatRequestParser::tokenBound(const std::string& name, const json::Value& value)
{
  const auto number = value.asInteger();
  if (!number || *number < 1 || *number > kMaxTokens) {
    return bad(fmt::format("{} is not a whole number from 1 to {}", name, kMaxTokens));
  }
  const Tokens bound{ *number };
  request_.maxTokens_ = std::min(bound, request_.maxTokens_.value_or(bound));
  return {};
}

Expected<void> ChatRequestParser::flag(const std::string& name,
                                       const json::Value& value,
                                       bool& target)
{
  const auto given = value.asBool();
  if (!given) {
    return bad(name + " is neither true nor false");
  }
  target = *given;
  return {};
}

Expected<void> ChatRequestParser::streamOptions(const json::Value& value)
{
  const auto* fields = value.asObject();
  if (fields == nullptr) {
    return bad("stream_options is not an object");
  }
  for (const auto& [name, member] : *fields) {
    if (name != "include_usage") {
      return bad(fmt::format("stream_options.{} is not supported", name));
    }
    if (auto step = flag("stream_options.include_usage", member, request_.usageWanted_); !step) {
      return step;
    }
  }
  return {};
}

Expected<void> ChatRequestParser::choices(const json::Value& value)
{
  const auto number = value.asInteger();
  if (!number || *number != 1) {
    return bad("n is not 1");
  }
  return {};
}

void ChatRequestParser::computeFingerprints()
{
  Fingerprint chain = fingerprintOf(request_.model_.view());
  for (const auto& message : request_.messages_) {
    chain = fingerprintOf(message.role, chain);
    chain = fingerprintOf(message.name, chain);
    chain = fingerprintOf(message.text, chain);
    request_.prefixChain_.push_back(chain);
  }
  std::sort(request_.parameters_.begin(),
            request_.parameters_.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  Fingerprint all = chain;
  for (const auto& parameter : request_.parameters_) {
    all = fingerprintOf(parameter.name, all);
    all = fingerprintOf(parameter.json, all);
  }
  const auto bound = request_.maxTokens_.value_or(Tokens{ 0 });
  request_.fingerprint_ = fingerprintOf(std::to_string(bound.count), all);
}

std::string ChatRequest::engineBody(const EngineOptions& options) const
{
  std::string body = R"({"model":)";
  body.reserve(promptBytes_ + 256 + options.continueAfter.size());
  appendJsonString(body, model_.view());
  body += R"(,"messages":[)";
  const auto append = [&](const Message& message) {
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
    append(message);
  }
  const bool continues = !options.continueAfter.empty();
  if (continues) {
    append({ "assistant", "", options.continueAfter });
  }
  body += ']';
  if (continues) {
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
