#pragma once

#include "json/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace figchute::cli {

/** Replaces control characters with "?", so that a text cannot alter the terminal.
    Thread safety: safe from any thread. */
std::string toPrintable(std::string text);

/** A table with aligned columns: columns of numbers to the right, others to the left. */
class Table
{
public:
  /** Creates a table with the given column names. */
  explicit Table(std::vector<std::string> columns);

  /** Adds a row; missing cells are empty. Control characters are replaced with "?". */
  void add(std::vector<std::string> cells);

  /** Returns the header and the rows, each followed by a line break. Columns are aligned by code
      points. */
  [[nodiscard]] std::string text() const;

private:
  std::vector<std::vector<std::string>> rows_;
};

/** Formats a response of the admin server for display: single values as "name: value" lines and
    each array of objects as a table with one column for each member name.
    Thread safety: safe from any thread. */
std::string render(const json::Value& response);

} // namespace figchute::cli
