#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::router {

/** Splits a text/event-stream body that is received in parts into complete events and tracks their
   ids, so that a later response can continue the stream after the last complete event. Thread
   safety: use one instance from one thread only. */
class EventRelay
{
public:
  /** Maximum number of bytes of an incomplete event that are buffered. */
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 16 } * 1024;

  /** The bytes that can be relayed after a part of the body. */
  struct Part
  {
    /** Start of the first event, received with earlier parts. */
    std::string buffered;
    /** Follows @ref buffered; a view into the bytes given to feed(). */
    std::string_view remainder;
    /** Number of complete events in buffered and remainder. */
    std::int64_t events = 0;
    /** False when the events of a later response do not continue the stream. The caller's response
     * must then be aborted; this part has no bytes of the wrong event or of any after it. */
    bool continuesStream = true;
  };

  /** Processes the next part of the body. An event is complete with its empty line; an incomplete
   * event is buffered up to kMaxBufferedBytes. */
  Part feed(std::string_view bytes);

  /** Begins a later response. Its first event must have the id lastId() + 1, and later events that
   * have an id must continue the sequence. Discards an incomplete event. */
  void continueStream();

  /** Ends the body.
      @returns the incomplete event at its end, to be relayed; nullopt when a later response ends
     without a complete event although one had begun */
  std::optional<std::string> finish();

  /** Returns whether a later response can continue the stream: the event ids so far are
   * consecutive, and no part of an incomplete event was relayed. */
  [[nodiscard]] bool canContinue() const { return canContinue_; }

  /** Returns whether the bytes so far end inside an event. */
  [[nodiscard]] bool isInsideEvent() const { return eventHasText_ || linePrefixSize_ > 0; }

  /** Returns the id of the last complete event with an id; nullopt before the first one. */
  [[nodiscard]] std::optional<std::int64_t> lastId() const { return lastId_; }

private:
  /** Larger than the longest id line with a 64-bit number. */
  static constexpr std::size_t kMaxLinePrefixBytes = 32;

  bool endEvent(Part& part);
  std::string_view completeLine(std::string_view end);
  void appendLinePrefix(std::string_view begin);

  std::string buffered_;
  /** Start of a line that was received with earlier parts. */
  std::array<char, kMaxLinePrefixBytes> linePrefix_{};
  std::size_t linePrefixSize_ = 0;
  bool eventHasText_ = false;
  std::optional<std::int64_t> currentId_;
  std::optional<std::int64_t> lastId_;
  /** A later response is being read. */
  bool continuing_ = false;
  /** This response has had a complete event. */
  bool eventCompleted_ = false;
  bool canContinue_ = true;
  /** An earlier response ended inside an event, so the stream has at least one more. */
  bool expectsEvent_ = false;
  /** An event was longer than kMaxBufferedBytes, so bytes are no longer buffered. */
  bool passThrough_ = false;
};

} // namespace figchute::router
