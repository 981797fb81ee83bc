#pragma once

#include "core/core.h"
#include "json/json.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::router {

/** The largest integer that a JSON number holds without loss. */
constexpr std::int64_t kMaxJsonInteger = 9'007'199'254'740'992;

/** Joins faults into one text. Safe from any thread. */
std::string joinFaults(const std::vector<std::string>& faults);

class JsonReader;

/** A JSON text and the faults that readers found in it.
    Thread safety: use one instance from one thread only. */
class JsonDocument
{
public:
  /** Reads a text whose top level is an object.
      @returns codec_error when it is none */
  Expected<void> parse(std::string_view bytes);

  /** Returns a reader of the top level. Precondition: parse() succeeded. */
  [[nodiscard]] JsonReader root();

  /** Returns the faults found so far and forgets them. */
  std::vector<std::string> takeFaults();

private:
  friend class JsonReader;

  json::Value value_;
  std::vector<std::string> faults_;
};

/** Reads typed fields of one JSON object and records a fault for each that is missing or of another
    type.
    Thread safety: use one instance from one thread only. */
class JsonReader
{
public:
  JsonReader(JsonDocument& document, const json::Value& value, std::string path);

  /** Returns whether the field is present and not null. */
  [[nodiscard]] bool has(std::string_view name) const;

  /** Reads a required text that is not empty. */
  std::string text(std::string_view name);

  /** Reads a text that may be missing. */
  std::string text(std::string_view name, std::string_view fallback);

  /** Reads a required list of texts. */
  std::vector<std::string> texts(std::string_view name);

  /** Reads a required integer within limits, both included. */
  std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max);

  /** Reads an integer that may be missing; a real number is cut to its whole part. */
  std::int64_t integerOr(std::string_view name, std::int64_t fallback);

  /** Reads a flag; missing is false. */
  bool flag(std::string_view name);

  /** Reads a required number of milliseconds, not negative. */
  Duration millis(std::string_view name);

  /** Reads a number of milliseconds that may be missing. */
  Duration millis(std::string_view name, Duration fallback);

  /** Calls a function with each object of a required list. */
  void each(std::string_view name, const std::function<void(JsonReader&)>& read);

  /** Calls a function with an object that may be missing. */
  void object(std::string_view name, const std::function<void(JsonReader&)>& read);

  /** Records a fault of a field. */
  void fault(std::string_view name, std::string_view text);

private:
  const json::Value* find(std::string_view name) const;

  JsonDocument& document_;
  const json::Value& value_;
  std::string path_;
};

} // namespace figchute::router
