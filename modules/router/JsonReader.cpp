#include "router/JsonReader.h"

#include <fmt/format.h>
#include <limits>

namespace figchute::router {

std::string joinErrors(const std::vector<std::string>& errors)
{
  constexpr std::size_t kMaxShown = 20;
  std::string text;
  for (std::size_t i = 0; i < errors.size() && i < kMaxShown; ++i) {
    text += (i == 0 ? "" : "; ") + errors[i];
  }
  if (errors.size() > kMaxShown) {
    text += fmt::format("; and {} more", errors.size() - kMaxShown);
  }
  return text;
}

Expected<void> JsonDocument::parse(std::string_view bytes)
{
  auto value = json::parse(bytes);
  if (!value) {
    return tl::unexpected(value.error());
  }
  if (value->asObject() == nullptr) {
    return fail(ErrorKind::codecError, "the body is not a JSON object");
  }
  value_ = std::move(*value);
  return {};
}

JsonReader JsonDocument::root()
{
  return { *this, value_, "" };
}

std::vector<std::string> JsonDocument::takeErrors()
{
  return std::move(errors_);
}

JsonReader::JsonReader(JsonDocument& document, const json::Value& value, std::string path)
  : document_(document)
  , value_(value)
  , path_(std::move(path))
{
}

const json::Value* JsonReader::find(std::string_view name) const
{
  const auto* value = value_.find(name);
  return value == nullptr || value->isNull() ? nullptr : value;
}

bool JsonReader::has(std::string_view name) const
{
  return find(name) != nullptr;
}

void JsonReader::addError(std::string_view name, std::string_view text)
{
  document_.errors_.push_back(fmt::format("{}{} {}", path_, name, text));
}

std::string JsonReader::text(std::string_view name)
{
  const auto* value = find(name);
  const auto* text = value != nullptr ? value->asString() : nullptr;
  if (text == nullptr || text->empty()) {
    addError(name, "is not a non-empty string");
    return {};
  }
  return *text;
}

std::string JsonReader::text(std::string_view name, std::string_view fallback)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return std::string(fallback);
  }
  const auto* text = value->asString();
  if (text == nullptr) {
    addError(name, "is not a string");
    return {};
  }
  return *text;
}

std::vector<std::string> JsonReader::strings(std::string_view name)
{
  const auto* value = find(name);
  const auto* array = value != nullptr ? value->asArray() : nullptr;
  std::vector<std::string> strings;
  if (array == nullptr) {
    addError(name, "is not an array");
    return strings;
  }
  for (const auto& element : *array) {
    if (const auto* text = element.asString()) {
      strings.push_back(*text);
    } else {
      addError(name, "has an element that is not a string");
    }
  }
  return strings;
}

std::int64_t JsonReader::integer(std::string_view name, std::int64_t min, std::int64_t max)
{
  const auto* value = find(name);
  const auto number = value != nullptr ? value->asInteger() : std::nullopt;
  if (!number || *number < min || *number > max) {
    addError(name, fmt::format("is not an integer from {} to {}", min, max));
    return min;
  }
  return *number;
}

std::int64_t JsonReader::integerOrDefault(std::string_view name,
                                          std::int64_t fallback,
                                          std::int64_t min,
                                          std::int64_t max)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = value->asNumber();
  // Both limits are exact as doubles, so the conversion below is defined.
  if (!number || *number < static_cast<double>(min) || *number > static_cast<double>(max)) {
    addError(name, fmt::format("is not a number from {} to {}", min, max));
    return fallback;
  }
  return static_cast<std::int64_t>(*number);
}

int JsonReader::intOrDefault(std::string_view name, int fallback)
{
  using Limits = std::numeric_limits<std::int32_t>;
  return static_cast<int>(integerOrDefault(name, fallback, Limits::min(), Limits::max()));
}

double JsonReader::realOrDefault(std::string_view name, double fallback)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = value->asNumber();
  if (!number) {
    addError(name, "is not a number");
  }
  return number.value_or(fallback);
}

bool JsonReader::boolean(std::string_view name)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return false;
  }
  const auto boolean = value->asBool();
  if (!boolean) {
    addError(name, "is not true or false");
  }
  return boolean.value_or(false);
}

Duration JsonReader::millis(std::string_view name)
{
  const auto* value = find(name);
  const auto number = value != nullptr ? value->asNumber() : std::nullopt;
  if (!number || *number < 0 || *number > 1e12) {
    addError(name, "is not a valid number of milliseconds");
    return {};
  }
  return Duration(static_cast<std::int64_t>(*number * 1000));
}

Duration JsonReader::millis(std::string_view name, Duration fallback)
{
  return has(name) ? millis(name) : fallback;
}

void JsonReader::forEachObject(std::string_view name, const std::function<void(JsonReader&)>& read)
{
  const auto* value = find(name);
  const auto* array = value != nullptr ? value->asArray() : nullptr;
  if (array == nullptr) {
    addError(name, "is not an array");
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    JsonReader element(document_, (*array)[i], fmt::format("{}{}[{}].", path_, name, i));
    if ((*array)[i].asObject() == nullptr) {
      element.addError("", "is not an object");
      continue;
    }
    read(element);
  }
}

void JsonReader::object(std::string_view name, const std::function<void(JsonReader&)>& read)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return;
  }
  if (value->asObject() == nullptr) {
    addError(name, "is not an object");
    return;
  }
  JsonReader inner(document_, *value, fmt::format("{}{}.", path_, name));
  read(inner);
}

} // namespace figchute::router
