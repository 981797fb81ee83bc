#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figchute::http {

/** One header field. */
struct Field
{
  std::string name;
  std::string value;
};

/** Header fields in their order; names compare without regard to case.
    Thread safety: const methods are safe from several threads; others need one thread at a time. */
class Fields
{
public:
  Fields() = default;

  /** Returns the value of the first field of that name, or nullptr. The pointer is valid until a
      change. */
  [[nodiscard]] const std::string* find(std::string_view name) const;

  /** Returns the value of the first field of that name, or an empty text. */
  [[nodiscard]] std::string_view get(std::string_view name) const;

  /** Returns the number of fields of that name. */
  [[nodiscard]] std::size_t count(std::string_view name) const;

  /** Adds a field at the end. */
  void add(std::string name, std::string value);

  /** Removes all fields of that name and adds one at the end. */
  void set(std::string name, std::string value);

  /** Removes all fields of that name.
      @returns how many there were */
  std::size_t remove(std::string_view name);

  /** Removes the fields for which @p predicate returns true. */
  template<typename Predicate>
  void removeIf(Predicate predicate)
  {
    std::erase_if(fields_, std::move(predicate));
  }

  [[nodiscard]] auto begin() const { return fields_.begin(); }
  [[nodiscard]] auto end() const { return fields_.end(); }
  [[nodiscard]] bool empty() const { return fields_.empty(); }
  [[nodiscard]] std::size_t size() const { return fields_.size(); }

private:
  std::vector<Field> fields_;
};

/** Returns whether two texts are equal without regard to ASCII case. Safe from any thread. */
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/** The head of a request without the fields that concern one connection only. */
struct RequestHead
{
  std::string method;
  /** Path and query as they were sent. */
  std::string target;
  Fields fields;
  /** The length of the body, when it is known. */
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

/** The head of a response without the fields that concern one connection only. A body with neither
    a length nor chunking ends with the connection. */
struct ResponseHead
{
  int status = 200;
  std::string reason;
  Fields fields;
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

} // namespace figchute::http
