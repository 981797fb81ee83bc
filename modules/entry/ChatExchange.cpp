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
  earlierTokens_ = Tokens{};
  if (request_.streamed()) {
    delivered_.restart();
  } else {
    delivered_ = gateway::DeliveredText();
  }
  beginAttempt();
}

void ChatExchange::continueFromEnd()
{
  earlierTokens_ = completionTokens();
  delivered_.continueFromEnd();
  beginAttempt();
}

void ChatExchange::beginAttempt()
{
  parser_ = gateway::EventStreamParser();
  attemptId_.clear();
  countedTokens_ = Tokens{};
  reportedTokens_.reset();
}

Expected<ChatStep> ChatExchange::feed(std::string_view bytes)
{
  const auto events = parser_.feed(bytes);
  if (!events) {
    return tl::unexpected(events.error());
  }
  ChatStep step;
  for (const auto& event : *events) {
    if (event.data == gateway::kStreamEnd) {
      step.complete = complete_;
      continue;
    }
    const auto chunk = gateway::ChatChunk::parse(event.data);
    if (!chunk) {
      return tl::unexpected(chunk.error());
    }
    if (auto taken = takeChunk(*chunk, step); !taken) {
      return tl::unexpected(taken.error());
    }
  }
  return step;
}

Expected<void> ChatExchange::takeChunk(const gateway::ChatChunk& chunk, ChatStep& step)
{
  if (auto checked = checkId(chunk); !checked) {
    return checked;
  }
  takeUsage(chunk, step);
  if (complete_) {
    return {};
  }
  if (!chunk.text.empty()) {
    if (earlierTokens_ + countedTokens_ >= maxTokens_) {
      finish("length");
      step.complete = true;
      step.cut = true;
      return {};
    }
    countedTokens_ += Tokens{ 1 };
    auto fresh = delivered_.accept(chunk.text);
    if (!fresh) {
      return fail(ErrorKind::codecError, fresh.error().detail);
    }
    if (!fresh->empty()) {
      step.firstText = step.firstText || !sentFirst_;
      auto own = ownChunk();
      own.text = std::move(*fresh);
      step.events += own.toEvent(!sentFirst_);
      sentFirst_ = true;
    }
  }
  if (chunk.finishReason) {
    if (!delivered_.caughtUp()) {
      return fail(ErrorKind::codecError, "the regenerated answer is shorter than the first one");
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

void ChatExchange::takeUsage(const gateway::ChatChunk& chunk, ChatStep& step)
{
  if (!chunk.usage) {
    return;
  }
  if (!promptTokens_) {
    promptTokens_ = chunk.usage->prompt;
    step.promptKnown = true;
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
  // An engine may put several tokens into one chunk, but never less than one.
  const auto attempt = std::max(countedTokens_, reportedTokens_.value_or(Tokens{}));
  return std::min(maxTokens_, earlierTokens_ + attempt);
}

gateway::ChatChunk ChatExchange::ownChunk() const
{
  gateway::ChatChunk chunk;
  chunk.id = "chatcmpl-" + id_.value;
  chunk.model = model_;
  chunk.created = created_;
  return chunk;
}

std::string ChatExchange::lastEvents(Tokens prompt) const
{
  auto last = ownChunk();
  last.finishReason = finishReason_;
  std::string events = last.toEvent(!sentFirst_);
  if (request_.usageWanted()) {
    auto usage = ownChunk();
    usage.usage = gateway::ChatUsage{ prompt, completionTokens() };
    events += usage.toEvent();
  }
  return events + gateway::streamEndEvent();
}

std::string ChatExchange::wholeAnswer(Tokens prompt) const
{
  gateway::WholeAnswer answer;
  auto chunk = ownChunk();
  chunk.text = delivered_.text();
  chunk.finishReason = finishReason_;
  chunk.usage = gateway::ChatUsage{ prompt, completionTokens() };
  // The text was bounded while it was collected.
  static_cast<void>(answer.add(chunk));
  return answer.toJson();
}

} // namespace figchute::entry
