#pragma once

#include "core/Error.h"
#include "json/Value.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::json::detail {

/** Reads one text according to RFC 8259.
    Thread safety: use one instance from one thread only. */
class Parser
{
public:
  /** Creates a parser of @p text, which must outlive it. */
  Parser(std::string_view text, std::size_t maxDepth);

  /** Reads the whole text. Call it only once.
      @returns the value, or `bad_request` with the line and column of the error */
  Expected<Value> parse();

private:
  void skipSpace();
  bool parseValue(std::size_t depth, Value& value);
  bool parseObject(std::size_t depth, Value& value);
  bool parseMember(std::size_t depth, Member& member);
  bool parseArray(std::size_t depth, Value& value);
  bool parseNumber(Value& value);
  bool convertNumber(std::string_view digits, Value& value);
  bool skipNumber();
  bool skipDigits();
  bool parseLiteral(std::string_view expected, Value literal, Value& value);
  bool parseString(std::string& output);
  bool skipEscape();
  bool skipUnicodeEscape();
  bool readHexUnit(unsigned& codeUnit);
  bool checkNames(const Value::Object& members);
  bool expectCharacter(char expected);
  bool setError(std::string_view message);
  [[nodiscard]] bool atEnd() const { return position_ >= text_.size(); }
  [[nodiscard]] char peek() const { return atEnd() ? '\0' : text_[position_]; }

  std::string_view text_;
  std::size_t maxDepth_;
  std::size_t position_ = 0;
  std::string errorMessage_;
};

} // namespace figchute::json::detail
