#include "router/JsonReader.h"

#include <fmt/format.h>

namespace figchute::router {

std::string joinFaults(const std::vector<std::string>& faults)
{
  constexpr std::size_t kShown = 20;
  std::string text;
  for (std::size_t i = 0; i < faults.size() && i < kShown; ++i) {
    text += (i == 0 ? "" : "; ") + faults[i];
  }
  if (faults.size() > kShown) {
    text += fmt::format("; and {} more", faults.size() - kShown);
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
    return fail(ErrorKind::codecError, "the body is no JSON object");
  }
  value_ = std::move(*value);
  return {};
}

JsonReader JsonDocument::root()
{
  return { *this, value_, "" };
}

std::vector<std::string> JsonDocument::takeFaults()
{
  return std::move(faults_);
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

void JsonReader::fault(std::string_view name, std::string_view text)
{
  document_.faults_.push_back(fmt::format("{}{} {}", path_, name, text));
}

std::string JsonReader::text(std::string_view name)
{
  const auto* value = find(name);
  const auto* text = value != nullptr ? value->asString() : nullptr;
  if (text == nullptr || text->empty()) {
    fault(name, "is no text");
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
    fault(name, "is no text");
    return {};
  }
  return *text;
}

std::vector<std::string> JsonReader::texts(std::string_view name)
{
  const auto* value = find(name);
  const auto* array = value != nullptr ? value->asArray() : nullptr;
  std::vector<std::string> texts;
  if (array == nullptr) {
    fault(name, "is no list");
    return texts;
  }
  for (const auto& element : *array) {
    if (const auto* text = element.asString()) {
      texts.push_back(*text);
    } else {
      fault(name, "has an element that is no text");
    }
  }
  return texts;
}

std::int64_t JsonReader::integer(std::string_view name, std::int64_t min, std::int64_t max)
{
  const auto* value = find(name);
  const auto number = value != nullptr ? value->asInteger() : std::nullopt;
  if (!number || *number < min || *number > max) {
    fault(name, fmt::format("is no whole number from {} to {}", min, max));
    return min;
  }
  return *number;
}

std::int64_t JsonReader::integerOr(std::string_view name, std::int64_t fallback)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return fallback;
  }
  const auto number = value->asNumber();
  if (!number) {
    fault(name, "is no number");
    return fallback;
  }
  return static_cast<std::int64_t>(*number);
}

bool JsonReader::flag(std::string_view name)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return false;
  }
  const auto flag = value->asBool();
  if (!flag) {
    fault(name, "is not true or false");
  }
  return flag.value_or(false);
}

Duration JsonReader::millis(std::string_view name)
{
  const auto* value = find(name);
  const auto number = value != nullptr ? value->asNumber() : std::nullopt;
  if (!number || *number < 0 || *number > 1e12) {
    fault(name, "is no number of milliseconds");
    return {};
  }
  return Duration(static_cast<std::int64_t>(*number * 1000));
}

Duration JsonReader::millis(std::string_view name, Duration fallback)
{
  return has(name) ? millis(name) : fallback;
}

void JsonReader::each(std::string_view name, const std::function<void(JsonReader&)>& read)
{
  const auto* value = find(name);
  const auto* array = value != nullptr ? value->asArray() : nullptr;
  if (array == nullptr) {
    fault(name, "is no list");
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    JsonReader element(document_, (*array)[i], fmt::format("{}{}[{}].", path_, name, i));
    if ((*array)[i].asObject() == nullptr) {
      element.fault("", "is no object");
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
    fault(name, "is no object");
    return;
  }
  JsonReader inner(document_, *value, fmt::format("{}{}.", path_, name));
  read(inner);
}

} // namespace figchute::router
