#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace figchute::json {

/** The kinds of JSON values. A number without fraction and exponent that fits into 64 bits is an
    integer. */
enum class Kind
{
  null,
  boolean,
  integer,
  real,
  string,
  array,
  object,
};

struct Member;

/** A JSON value with its nested values. Objects keep the order of their members.
    Thread safety: const methods may be called from several threads at a time, other methods only
    from one. */
class Value
{
public:
  using Array = std::vector<Value>;
  using Object = std::vector<Member>;

  /** Creates a null value. */
  Value();
  Value(const Value& other);
  Value(Value&& other) noexcept;
  Value& operator=(const Value& other);
  Value& operator=(Value&& other) noexcept;
  ~Value();

  /** Creates a boolean. */
  Value(bool flag);
  /** Creates a string. Bytes that are not UTF-8 are replaced when the value is written. */
  Value(std::string text);
  Value(std::string_view text);
  Value(const char* text);
  /** Deleted because other pointers would convert to a boolean. */
  Value(const void* pointer) = delete;
  /** Creates a real number; a number that is not finite is written as null. */
  Value(double number);
  /** Creates an array. */
  Value(Array elements);
  /** Creates an object with the members in their order; names must be distinct. */
  Value(Object members);

  /** Creates an integer from any integer type.
      Precondition: the number fits a signed 64-bit integer. */
  template<typename Integer,
           std::enable_if_t<std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>, int> = 0>
  Value(Integer number);

  /** Creates an object from a list of members: `Value::object({ { "id", 3 }, { "ok", true } })`. */
  static Value object(std::initializer_list<Member> members = {});
  /** Creates an array from a list of values. */
  static Value array(std::initializer_list<Value> elements = {});

  /** Returns the kind of this value. */
  [[nodiscard]] Kind kind() const;
  /** Returns true if this value is null. */
  [[nodiscard]] bool isNull() const { return kind() == Kind::null; }

  /** Returns the boolean, or std::nullopt if this is another kind. */
  [[nodiscard]] std::optional<bool> asBool() const;
  /** Returns the integer, or the integral value of a real with a magnitude up to 2^53; std::nullopt
      if this is another kind or number. */
  [[nodiscard]] std::optional<std::int64_t> asInteger() const;
  /** Returns the integer or real number, or std::nullopt if this is another kind. */
  [[nodiscard]] std::optional<double> asNumber() const;
  /** Returns the string, or nullptr if this is another kind. The pointer is valid while this value
      is unchanged; the same applies to the accessors below. */
  [[nodiscard]] const std::string* asString() const;
  /** Returns the elements, or nullptr if this is not an array. */
  [[nodiscard]] const Array* asArray() const;
  [[nodiscard]] Array* asArray();
  /** Returns the members, or nullptr if this is not an object. */
  [[nodiscard]] const Object* asObject() const;
  [[nodiscard]] Object* asObject();

  /** Returns the value of a member, or nullptr if this is not an object or has no such member. */
  [[nodiscard]] const Value* find(std::string_view name) const;
  [[nodiscard]] Value* find(std::string_view name);

  /** Sets a member: replaces the member with that name or adds one at the end. A value of another
      kind becomes an empty object first.
      @returns this value, for chained calls */
  Value& set(std::string name, Value value);
  /** Removes a member if this is an object that has it.
      @returns true if the member existed */
  bool remove(std::string_view name);
  /** Adds an element at the end. A value of another kind becomes an empty array first.
      @returns this value, for chained calls */
  Value& push(Value element);

  /** Compares kind and content; the order of members matters. */
  friend bool operator==(const Value& a, const Value& b) { return a.equals(b); }
  friend bool operator!=(const Value& a, const Value& b) { return !a.equals(b); }

private:
  [[nodiscard]] bool equals(const Value& other) const;

  std::variant<std::monostate, bool, std::int64_t, double, std::string, Array, Object> data_;
};

/** A named value of an object. */
struct Member
{
  std::string name;
  Value value;
};

// Defined after Member: clang in C++20 mode needs the complete type to build the variant.
template<typename Integer,
         std::enable_if_t<std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>, int>>
Value::Value(Integer number)
  : data_(static_cast<std::int64_t>(number))
{
}

} // namespace figchute::json
