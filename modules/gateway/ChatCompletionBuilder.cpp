#include "gateway/ChatCompletionBuilder.h"

#include "gateway/JsonText.h"

#include <fmt/format.h>

namespace figchute::gateway {

ChatCompletionBuilder::ChatCompletionBuilder(std::size_t maxBytes)
  : maxBytes_(maxBytes)
{
}

Expected<void> ChatCompletionBuilder::add(const ChatChunk& chunk)
{
  if (text_.size() + chunk.text.size() > maxBytes_) {
    return fail(ErrorKind::endpointFailed,
                fmt::format("the completion text exceeds {} bytes", maxBytes_));
  }
  if (id_.empty()) {
    id_ = chunk.id;
    model_ = chunk.model;
    created_ = chunk.created;
  }
  text_ += chunk.text;
  if (chunk.finishReason) {
    finishReason_ = chunk.finishReason;
  }
  if (chunk.usage) {
    usage_ = chunk.usage;
  }
  return {};
}

std::string ChatCompletionBuilder::toJson() const
{
  std::string out = R"({"id":)";
  out.reserve(text_.size() + 256);
  appendJsonString(out, id_);
  out += fmt::format(R"(,"object":"chat.completion","created":{},"model":)", created_);
  appendJsonString(out, model_);
  out += R"(,"choices":[{"index":0,"message":{"role":"assistant","content":)";
  appendJsonString(out, text_);
  out += R"(},"finish_reason":)";
  out += finishReason_ ? jsonQuote(*finishReason_) : "null";
  out += "}]";
  if (usage_) {
    out +=
      fmt::format(R"(,"usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}})",
                  usage_->prompt.count,
                  usage_->completion.count,
                  usage_->prompt.count + usage_->completion.count);
  }
  out += '}';
  return out;
}

} // namespace figchute::gateway
