#pragma once

#include "json/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace figchute::cli {

/** Replaces control characters by "?", so that a text cannot change the terminal.
    Thread safety: safe from any thread. */
std::string printable(std::string text);

/** A table whose columns are aligned: numbers to the right, other cells to the left. */
class Table
{
public:
  /** Creates a table with its column names. */
  explicit Table(std::vector<std::string> columns);

  /** Adds a row; missing cells are empty. Control characters are replaced by "?". */
  void add(std::vector<std::string> cells);

  /** Writes the header and the rows, each with a line break. Columns are aligned by code points. */
  [[nodiscard]] std::string text() const;

private:
  std::vector<std::vector<std::string>> rows_;
};

/** Writes an answer of the admin server for people: single values as "name: value" lines and each
    array of objects as a table with one column for each member name.
    Thread safety: safe from any thread. */
std::string render(const json::Value& answer);

} // namespace figchute::cli
