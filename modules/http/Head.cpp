#include "http/Head.h"

#include <algorithm>

namespace figchute::http {

namespace {

char toLower(char c)
{
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return toLower(x) == toLower(y);
         });
}

const std::string* Fields::find(std::string_view name) const
{
  for (const auto& field : fields_)
    if (equalsIgnoreCase(field.name, name))
      return &field.value;
  return nullptr;
}

std::string_view Fields::get(std::string_view name) const
{
  const auto* value = find(name);
  return value ? std::string_view(*value) : std::string_view();
}

std::size_t Fields::count(std::string_view name) const
{
  return static_cast<std::size_t>(
    std::count_if(fields_.begin(), fields_.end(), [&](const Field& field) {
      return equalsIgnoreCase(field.name, name);
    }));
}

void Fields::add(std::string name, std::string value)
{
  fields_.push_back({ std::move(name), std::move(value) });
}

void Fields::set(std::string name, std::string value)
{
  remove(name);
  add(std::move(name), std::move(value));
}

std::size_t Fields::remove(std::string_view name)
{
  return std::erase_if(fields_,
                       [&](const Field& field) { return equalsIgnoreCase(field.name, name); });
}

std::string_view toString(BodyDelimiter delimiter)
{
  switch (delimiter) {
    case BodyDelimiter::length:
      return "length";
    case BodyDelimiter::lastChunk:
      return "last_chunk";
    case BodyDelimiter::connectionEnd:
      return "connection_end";
  }
  return "unknown";
}

} // namespace figchute::http
