#pragma once

#include "core/Fingerprint.h"
#include "Options.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figchute::standin {

/** The parts of a chat request that the engine processes. */
struct Prompt
{
  std::string model;
  /** Roles and texts of all messages, in order. */
  std::string text;
  std::size_t messageCount = 0;
  /** The text that the response must continue; empty for a new response. */
  std::string textToContinue;
  int maxTokens = 0;
  int priority = 1;
  bool isStreamed = false;
};

/** The response to a prompt: the same prompt always produces the same tokens. Each token is
    generated on demand, so that a long response does not delay other streams. */
class Generation
{
public:
  Generation() = default;

  /** Starts a response.
      @param answerTokens  the length of a response that `max_tokens` does not truncate */
  Generation(const Prompt& prompt, int answerTokens);

  /** Returns the next token, or nullopt at the end. */
  std::optional<std::string> next();

  /** Returns why the response ended: "stop" or "length". */
  [[nodiscard]] std::string finishReason() const;

  [[nodiscard]] std::int64_t promptTokens() const { return promptTokens_; }
  [[nodiscard]] std::int64_t completionTokens() const { return emittedTokens_; }

private:
  Fingerprint seed_ = 0;
  std::int64_t promptTokens_ = 0;
  std::int64_t answerTokens_ = 0;
  std::int64_t maxTokens_ = 0;
  std::int64_t nextIndex_ = 0;
  std::int64_t emittedTokens_ = 0;
  /** Number of bytes of the text to continue that are still to be skipped. */
  std::size_t bytesToSkip_ = 0;
};

/** Parses the body of a chat completions request.
    @returns the prompt and an empty string, or an empty prompt and an error message */
std::pair<Prompt, std::string> readPrompt(std::string_view body);

/** The numbers of running and waiting requests at one moment. */
struct Load
{
  int running = 0;
  int waiting = 0;
};

/** Assigns the slots of a model engine by priority, then in order of arrival. */
class Slots
{
public:
  explicit Slots(int count)
    : count_(count)
  {
  }

  /** Acquires a slot immediately or, after waiting in a queue, when one is free.
      @param priority    requests with a lower number are served first
      @param onAcquired  called once a slot is acquired
      @returns a ticket for release() */
  std::uint64_t acquire(int priority, std::function<void()> onAcquired);

  /** Releases the slot, or removes the request from the queue. */
  void release(std::uint64_t ticket);

  [[nodiscard]] Load load() const;

private:
  void startNext();

  int count_;
  std::uint64_t lastTicket_ = 0;
  std::map<std::uint64_t, int> running_;
  std::map<std::pair<int, std::uint64_t>, std::function<void()>> waiting_;
};

/** Records the load over time, so that a report can have the age that the options set. */
class LoadHistory
{
public:
  using Clock = std::chrono::steady_clock;

  void add(Clock::time_point now, Load load);

  /** Returns the load at @p reportTime, or the oldest recorded one. */
  [[nodiscard]] Load loadAt(Clock::time_point reportTime) const;

private:
  std::deque<std::pair<Clock::time_point, Load>> samples_;
};

} // namespace figchute::standin
