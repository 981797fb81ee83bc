#pragma once

#include "Options.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
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

/** The answer to a prompt: the same prompt always gives the same tokens. */
struct Generation
{
  std::vector<std::string> tokens;
  std::string finishReason;
  std::int64_t promptTokens = 0;
};

/** Reads a chat completions body.
    @returns the prompt, or the text of the fault */
std::pair<Prompt, std::string> readPrompt(std::string_view body);

/** Generates the answer.
    @param prompt        what to answer
    @param answerTokens  the length of an answer that `max_tokens` does not cut */
Generation generate(const Prompt& prompt, int answerTokens);

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
