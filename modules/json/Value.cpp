#include "json/Value.h"

#include <algorithm>
#include <cmath>

namespace figchute::json {
namespace {

// A double represents every integer up to 2^53 exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

} // namespace

Value::Value() = default;
Value::Value(const Value& other) = default;
Value::Value(Value&& other) noexcept = default;
Value& Value::operator=(const Value& other) = default;
Value& Value::operator=(Value&& other) noexcept = default;
Value::~Value() = default;

Value::Value(bool flag)
  : data_(flag)
{
}

Value::Value(std::string text)
  : data_(std::move(text))
{
}

Value::Value(std::string_view text)
  : data_(std::string(text))
{
}

Value::Value(const char* text)
  : data_(std::string(text))
{
}

Value::Value(double number)
  : data_(number)
{
}

Value::Value(Array elements)
  : data_(std::move(elements))
{
}

Value::Value(Object members)
  : data_(std::move(members))
{
}

Value Value::object(std::initializer_list<Member> members)
{
  return Value(Object(members));
}

Value Value::array(std::initializer_list<Value> elements)
{
  return Value(Array(elements));
}

Kind Value::kind() const
{
  return static_cast<Kind>(data_.index());
}

std::optional<bool> Value::asBool() const
{
  const auto* flag = std::get_if<bool>(&data_);
  return flag != nullptr ? std::optional<bool>(*flag) : std::nullopt;
}

std::optional<std::int64_t> Value::asInteger() const
{
  if (const auto* number = std::get_if<std::int64_t>(&data_)) {
    return *number;
  }
  const auto* real = std::get_if<double>(&data_);
  if (real != nullptr && std::abs(*real) <= kMaxExactInteger && std::trunc(*real) == *real) {
    return static_cast<std::int64_t>(*real);
  }
  return std::nullopt;
}

std::optional<double> Value::asNumber() const
{
  if (const auto* number = std::get_if<std::int64_t>(&data_)) {
    return static_cast<double>(*number);
  }
  const auto* real = std::get_if<double>(&data_);
  return real != nullptr ? std::optional<double>(*real) : std::nullopt;
}

const std::string* Value::asString() const
{
  return std::get_if<std::string>(&data_);
}

const Value::Array* Value::asArray() const
{
  return std::get_if<Array>(&data_);
}

Value::Array* Value::asArray()
{
  return std::get_if<Array>(&data_);
}

const Value::Object* Value::asObject() const
{
  return std::get_if<Object>(&data_);
}

Value::Object* Value::asObject()
{
  return std::get_if<Object>(&data_);
}

const Value* Value::find(std::string_view name) const
{
  const auto* members = asObject();
  if (members == nullptr) {
    return nullptr;
  }
  for (const auto& member : *members) {
    if (member.name == name) {
      return &member.value;
    }
  }
  return nullptr;
}

Value* Value::find(std::string_view name)
{
  return const_cast<Value*>(std::as_const(*this).find(name));
}

Value& Value::set(std::string name, Value value)
{
  if (asObject() == nullptr) {
    data_ = Object();
  }
  if (auto* existingValue = find(name)) {
    *existingValue = std::move(value);
    return *this;
  }
  asObject()->push_back(Member{ std::move(name), std::move(value) });
  return *this;
}

bool Value::remove(std::string_view name)
{
  auto* members = asObject();
  if (members == nullptr) {
    return false;
  }
  const auto memberIt = std::find_if(
    members->begin(), members->end(), [&](const Member& member) { return member.name == name; });
  if (memberIt == members->end()) {
    return false;
  }
  members->erase(memberIt);
  return true;
}

Value& Value::push(Value element)
{
  if (asArray() == nullptr) {
    data_ = Array();
  }
  asArray()->push_back(std::move(element));
  return *this;
}

bool Value::equals(const Value& other) const
{
  const auto* members = asObject();
  const auto* otherMembers = other.asObject();
  if (members == nullptr || otherMembers == nullptr) {
    return members == otherMembers && data_.index() == other.data_.index() &&
           (asArray() == nullptr ? true : *asArray() == *other.asArray()) &&
           asBool() == other.asBool() && asNumber() == other.asNumber() &&
           asInteger() == other.asInteger() &&
           (asString() == nullptr || *asString() == *other.asString());
  }
  const auto isSameMember = [](const Member& a, const Member& b) {
    return a.name == b.name && a.value == b.value;
  };
  return std::equal(
    members->begin(), members->end(), otherMembers->begin(), otherMembers->end(), isSameMember);
}

} // namespace figchute::json
