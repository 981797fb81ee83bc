#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::router {

/** Splits a text/event-stream body that comes in parts into complete events and follows their ids,
    so that another answer can continue the stream after the last complete event.
    Thread safety: use one instance from one thread only. */
class EventRelay
{
public:
  /** Most bytes of an incomplete event that are held back. */
  static constexpr std::size_t kMostHeld = std::size_t{ 16 } * 1024;

  /** What can be relayed after a part of the body. */
  struct Part
  {
    /** The begin of the first event that came with earlier parts. */
    std::string held;
    /** Goes after @ref held; a view into the bytes given to feed(). */
    std::string_view rest;
    /** The number of complete events in both. */
    std::int64_t events = 0;
    /** False when the events of a further answer do not continue the stream. What was relayed must
       not be completed then; nothing of that event and of later ones is in this part. */
    bool sound = true;
  };

  /** Takes the next part of the body. Events are complete with their empty line; incomplete ones
     are held back up to kMostHeld bytes. */
  Part feed(std::string_view bytes);

  /** Begins a further answer. Its first event must have the id after lastId(), and each further one
     the next. Drops an incomplete event. */
  void continueStream();

  /** Ends the body.
      @returns the incomplete event at its end, to be relayed; nothing when a further answer ends
      with bytes that are no event */
  std::optional<std::string> finish();

  /** Returns whether another answer can continue the stream: every event so far had the id after
      the one before it, and no part of an incomplete event was relayed. */
  [[nodiscard]] bool canContinue() const { return continuable_; }

  /** Returns the id of the last complete event; nothing before the first one. */
  [[nodiscard]] std::optional<std::int64_t> lastId() const { return lastId_; }

private:
  /** More than the longest line with an id that is a 64-bit number. */
  static constexpr std::size_t kMostPrefix = 32;

  bool endEvent(Part& part);
  std::string_view completeLine(std::string_view end);
  void keepPrefix(std::string_view begin);

  std::string held_;
  /** The begin of a line that came with an earlier part. */
  std::array<char, kMostPrefix> prefix_{};
  std::size_t prefixSize_ = 0;
  bool eventHasText_ = false;
  std::optional<std::int64_t> id_;
  std::optional<std::int64_t> lastId_;
  /** A further answer is read. */
  bool continuing_ = false;
  /** An event of this answer was complete. */
  bool begun_ = false;
  bool continuable_ = true;
  /** An event was longer than kMostHeld, so nothing is held back any more. */
  bool passing_ = false;
};

} // namespace figchute::router
