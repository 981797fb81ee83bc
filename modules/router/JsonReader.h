#pragma once

#include "core/core.h"
#include "json/json.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::router {

/** The largest integer up to which a JSON number, as an IEEE 754 double, represents every integer
 * exactly. */
constexpr std::int64_t kMaxJsonInteger = 9'007'199'254'740'992;

/** Joins the first 20 error messages into one string. Thread safety: safe from any thread. */
std::string joinErrors(const std::vector<std::string>& errors);

class JsonReader;

/** A parsed JSON document and the errors that its readers found.
    Thread safety: use one instance from one thread only. */
class JsonDocument
{
public:
  /** Parses a document whose top level must be an object.
      @returns codec_error when it is not valid JSON or not an object */
  Expected<void> parse(std::string_view bytes);

  /** Returns a reader of the top-level object. Precondition: parse() succeeded. */
  [[nodiscard]] JsonReader root();

  /** Returns the errors found so far and clears them. */
  std::vector<std::string> takeErrors();

private:
  friend class JsonReader;

  json::Value value_;
  std::vector<std::string> errors_;
};

/** Reads typed fields of one JSON object and records an error for each required field that is
   missing and each field of the wrong type. Thread safety: use one instance from one thread only.
 */
class JsonReader
{
public:
  JsonReader(JsonDocument& document, const json::Value& value, std::string path);

  /** Returns whether the field is present and not null. */
  [[nodiscard]] bool has(std::string_view name) const;

  /** Reads a required non-empty string. */
  std::string text(std::string_view name);

  /** Reads an optional string. */
  std::string text(std::string_view name, std::string_view fallback);

  /** Reads a required array of strings. */
  std::vector<std::string> strings(std::string_view name);

  /** Reads a required integer from min to max, inclusive. */
  std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max);

  /** Reads an optional integer from min to max, inclusive; a fractional number is truncated.
      Precondition: the magnitudes of min and max are at most kMaxJsonInteger. */
  std::int64_t integerOrDefault(std::string_view name,
                                std::int64_t fallback,
                                std::int64_t min = -kMaxJsonInteger,
                                std::int64_t max = kMaxJsonInteger);

  /** Reads an optional integer of 32 bits; a fractional number is truncated. */
  int intOrDefault(std::string_view name, int fallback);

  /** Reads an optional number of any sign. */
  double realOrDefault(std::string_view name, double fallback);

  /** Reads an optional boolean; the default is false. */
  bool boolean(std::string_view name);

  /** Reads a required non-negative number of milliseconds. */
  Duration millis(std::string_view name);

  /** Reads an optional non-negative number of milliseconds. */
  Duration millis(std::string_view name, Duration fallback);

  /** Calls @p read for each object of a required array. */
  void forEachObject(std::string_view name, const std::function<void(JsonReader&)>& read);

  /** Calls @p read for an optional object. */
  void object(std::string_view name, const std::function<void(JsonReader&)>& read);

  /** Records an error of a field. */
  void addError(std::string_view name, std::string_view text);

private:
  const json::Value* find(std::string_view name) const;

  JsonDocument& document_;
  const json::Value& value_;
  std::string path_;
};

} // namespace figchute::router
