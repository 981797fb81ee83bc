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

/** An ordered list of header fields. Names are compared case-insensitively.
    Thread safety: const methods may be called concurrently; other methods need exclusive access. */
class Fields
{
public:
  Fields() = default;

  /** Returns the value of the first field with the name, or nullptr. The pointer is valid until the
      fields are modified. */
  [[nodiscard]] const std::string* find(std::string_view name) const;

  /** Returns the value of the first field with the name, or an empty string. */
  [[nodiscard]] std::string_view get(std::string_view name) const;

  /** Returns the number of fields with the name. */
  [[nodiscard]] std::size_t count(std::string_view name) const;

  /** Appends a field. */
  void add(std::string name, std::string value);

  /** Removes all fields with the name and appends the new field. */
  void set(std::string name, std::string value);

  /** Removes all fields with the name.
      @returns the number of removed fields */
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

/** Returns whether two strings are equal, ignoring ASCII case. Safe to call from any thread. */
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/** The head of a request without its hop-by-hop fields. */
struct RequestHead
{
  std::string method;
  /** Path and query, without decoding. */
  std::string target;
  Fields fields;
  /** Length of the body in bytes, if known. */
  std::optional<std::uint64_t> length;
  bool chunked = false;
};

/** What tells the receiver of a body where it ends. */
enum class BodyDelimiter : std::uint8_t
{
  /** The Content-Length field. */
  length,
  /** The last chunk. */
  lastChunk,
  /** The end of the connection, which does not prove that the body is complete. */
  connectionEnd,
};

/** Returns the name used in logs: "length" and so on. Safe from any thread. */
std::string_view toString(BodyDelimiter delimiter);

/** The head of a response without its hop-by-hop fields. */
struct ResponseHead
{
  int status = 200;
  std::string reason;
  Fields fields;
  std::optional<std::uint64_t> length;
  bool chunked = false;

  /** Returns what ends the body. Precondition: the response has a body. */
  [[nodiscard]] BodyDelimiter bodyDelimiter() const
  {
    if (length) {
      return BodyDelimiter::length;
    }
    return chunked ? BodyDelimiter::lastChunk : BodyDelimiter::connectionEnd;
  }
};

} // namespace figchute::http
