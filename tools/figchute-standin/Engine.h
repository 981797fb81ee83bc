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

/** A chat request as the engine runs it. */
struct Prompt
{
  std::string model;
  /** Roles and texts of all messages, in order. */
  std::string text;
  std::size_t messages = 0;
  /** The text that the answer must continue; empty for a new answer. */
  std::string continued;
  int maxTokens = 0;
  int priority = 1;
  bool stream = false;
};

/** The answer to a prompt: the same prompt always gives the same tokens. Each token is generated
    when it is asked for, so that a long answer holds up no other stream. */
class Generation
{
public:
  Generation() = default;

  /** Starts an answer.
      @param answerTokens  the length of an answer that `max_tokens` does not cut */
  Generation(const Prompt& prompt, int answerTokens);

  /** Returns the next token, or nothing at the end. */
  std::optional<std::string> next();

  /** Returns why the answer ended: "stop" or "length". */
  [[nodiscard]] std::string finishReason() const;

  [[nodiscard]] std::int64_t promptTokens() const { return promptTokens_; }
  [[nodiscard]] std::int64_t completionTokens() const { return emitted_; }

private:
  Fingerprint seed_ = 0;
  std::int64_t promptTokens_ = 0;
  std::int64_t length_ = 0;
  std::int64_t bound_ = 0;
  std::int64_t index_ = 0;
  std::int64_t emitted_ = 0;
  /** Bytes of the text to continue that are not yet passed. */
  std::size_t toSkip_ = 0;
};

/** Reads a chat completions body.
    @returns the prompt, or the text of the fault */
std::pair<Prompt, std::string> readPrompt(std::string_view body);

/** Running and waiting requests at one moment. */
struct Load
{
  int running = 0;
  int waiting = 0;
};

/** Hands out the slots of a model engine: by priority, then in order of arrival. */
class Slots
{
public:
  explicit Slots(int count)
    : count_(count)
  {
  }

  /** Takes a slot now or later.
      @param priority  a lower number goes first
      @param start     called once a slot is taken
      @returns a ticket for release() */
  std::uint64_t take(int priority, std::function<void()> start);

  /** Gives the slot, or the place in the queue, back. */
  void release(std::uint64_t ticket);

  [[nodiscard]] Load load() const;

private:
  void startNext();

  int count_;
  std::uint64_t lastTicket_ = 0;
  std::map<std::uint64_t, int> running_;
  std::map<std::pair<int, std::uint64_t>, std::function<void()>> waiting_;
};

/** Remembers the load, so that a report can be as old as the options say. */
class LoadHistory
{
public:
  using Clock = std::chrono::steady_clock;

  void add(Clock::time_point now, Load load);

  /** Returns the load at @p when, or the oldest one known. */
  [[nodiscard]] Load at(Clock::time_point when) const;

private:
  std::deque<std::pair<Clock::time_point, Load>> samples_;
};

} // namespace figchute::standin
