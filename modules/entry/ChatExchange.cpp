#include "entry/ChatExchange.h"

#include <algorithm>

namespace figchute::entry {

ChatExchange::ChatExchange(const gateway::ChatRequest& request, RequestId id, Tokens maxTokens)
  : request_(request)
  , id_(std::move(id))
  , maxTokens_(maxTokens)
{
}

void ChatExchange::restart()
{
  previousTokens_ = Tokens{};
  if (request_.isStreamed()) {
    deliveredText_.restart();
  } else {
    deliveredText_ = gateway::DeliveredText();
    deliveredTokens_ = Tokens{};
    finishReason_.clear();
    complete_ = false;
  }
  beginAttempt();
}

void ChatExchange::continueFromEnd()
{
  previousTokens_ = deliveredTokens_;
  deliveredText_.continueFromEnd();
  beginAttempt();
}

void ChatExchange::beginAttempt()
{
  parser_ = gateway::EventStreamParser();
  attemptId_.clear();
  countedTokens_ = Tokens{};
  reportedTokens_.reset();
}

Expected<ChatProgress> ChatExchange::feed(std::string_view bytes)
{
  const auto events = parser_.feed(bytes);
  if (!events) {
    return tl::unexpected(events.error());
  }
  ChatProgress progress;
  for (const auto& event : *events) {
    if (event.data == gateway::kStreamEnd) {
      progress.complete = complete_;
      continue;
    }
    const auto chunk = gateway::ChatChunk::parse(event.data);
    if (!chunk) {
      return tl::unexpected(chunk.error());
    }
    if (auto chunkResult = processChunk(*chunk, progress); !chunkResult) {
      return tl::unexpected(chunkResult.error());
    }
  }
  return progress;
}

Expected<void> ChatExchange::processChunk(const gateway::ChatChunk& chunk, ChatProgress& progress)
{
  if (auto idCheck = checkId(chunk); !idCheck) {
    return idCheck;
  }
  processUsage(chunk, progress);
  if (complete_) {
    return {};
  }
  if (!chunk.text.empty()) {
    if (previousTokens_ + countedTokens_ >= maxTokens_) {
      finish("length");
      progress.complete = true;
      progress.truncated = true;
      return {};
    }
    countedTokens_ += Tokens{ 1 };
    auto newText = deliveredText_.accept(chunk.text);
    if (!newText) {
      return fail(ErrorKind::codecError, newText.error().detail);
    }
    if (!request_.isStreamed() &&
        deliveredText_.text().size() > gateway::ChatCompletionBuilder::kMaxTextBytes) {
      return fail(ErrorKind::endpointFailed, "the text of the answer is larger than 8 MiB");
    }
    if (!newText->empty()) {
      progress.firstText = progress.firstText || !firstEventSent_;
      auto outgoingChunk = makeChunk();
      outgoingChunk.text = std::move(*newText);
      progress.events += outgoingChunk.toEvent(!firstEventSent_);
      firstEventSent_ = true;
      deliveredTokens_ = completionTokens();
    }
  }
  if (chunk.finishReason) {
    if (!deliveredText_.hasCaughtUp()) {
      return fail(ErrorKind::codecError,
                  "the regenerated answer is shorter than the delivered text");
    }
    finish(*chunk.finishReason);
  }
  return {};
}

Expected<void> ChatExchange::checkId(const gateway::ChatChunk& chunk)
{
  if (attemptId_.empty()) {
    attemptId_ = chunk.id;
    model_ = chunk.model;
    created_ = chunk.created;
    return {};
  }
  if (chunk.id != attemptId_) {
    return fail(ErrorKind::answerMismatch,
                "chunk id " + chunk.id + " does not match the answer's id " + attemptId_);
  }
  return {};
}

void ChatExchange::processUsage(const gateway::ChatChunk& chunk, ChatProgress& progress)
{
  if (!chunk.usage) {
    return;
  }
  if (!promptTokens_) {
    promptTokens_ = chunk.usage->prompt;
    progress.promptTokensKnown = true;
  }
  reportedTokens_ = chunk.usage->completion;
}

void ChatExchange::finish(std::string reason)
{
  finishReason_ = std::move(reason);
  complete_ = true;
}

Tokens ChatExchange::completionTokens() const
{
  // A chunk with text contains at least one token, possibly several.
  const auto attemptTokens = std::max(countedTokens_, reportedTokens_.value_or(Tokens{}));
  return std::min(maxTokens_, std::max(deliveredTokens_, previousTokens_ + attemptTokens));
}

gateway::ChatChunk ChatExchange::makeChunk() const
{
  gateway::ChatChunk chunk;
  chunk.id = "chatcmpl-" + id_.value;
  chunk.model = model_;
  chunk.created = created_;
  return chunk;
}

std::string ChatExchange::finalEvents(Tokens prompt) const
{
  auto finishChunk = makeChunk();
  finishChunk.finishReason = finishReason_;
  std::string events = finishChunk.toEvent(!firstEventSent_);
  if (request_.isUsageRequested()) {
    auto usageChunk = makeChunk();
    usageChunk.usage = gateway::ChatUsage{ prompt, completionTokens() };
    events += usageChunk.toEvent();
  }
  return events + gateway::streamEndEvent();
}

std::string ChatExchange::fullResponse(Tokens prompt) const
{
  gateway::ChatCompletionBuilder answer;
  auto chunk = makeChunk();
  chunk.text = deliveredText_.text();
  chunk.finishReason = finishReason_;
  chunk.usage = gateway::ChatUsage{ prompt, completionTokens() };
  // The size of the text was already limited while it was received.
  static_cast<void>(answer.add(chunk));
  return answer.toJson();
}

} // namespace figchute::entry
