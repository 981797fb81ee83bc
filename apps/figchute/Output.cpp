#include "Output.h"

#include <algorithm>

namespace figchute::cli {
namespace {

constexpr std::string_view kColumnGap = "  ";

std::size_t codePointCount(std::string_view text)
{
  const auto isContinuation = [](char c) {
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
  };
  return text.size() - static_cast<std::size_t>(std::ranges::count_if(text, isContinuation));
}

bool isNumber(std::string_view text)
{
  return text.empty() || text.find_first_not_of("0123456789+-.") == std::string_view::npos;
}

std::string cellText(const json::Value* value)
{
  if (value == nullptr || value->isNull()) {
    return "-";
  }
  if (const auto* text = value->asString()) {
    return text->empty() ? "-" : *text;
  }
  const auto* elements = value->asArray();
  if (elements == nullptr) {
    return json::dump(*value);
  }
  std::string list;
  for (const auto& element : *elements) {
    list += (list.empty() ? "" : ",") + cellText(&element);
  }
  return list.empty() ? "-" : list;
}

bool isTable(const json::Value& value)
{
  const auto* rows = value.asArray();
  return rows != nullptr && !rows->empty() &&
         std::ranges::all_of(*rows, [](const auto& row) { return row.asObject() != nullptr; });
}

std::string renderTable(const json::Value::Array& rows)
{
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    for (const auto& member : *row.asObject()) {
      if (std::ranges::find(columns, member.name) == columns.end()) {
        columns.push_back(member.name);
      }
    }
  }
  Table table(columns);
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const auto& column : columns) {
      cells.push_back(cellText(row.find(column)));
    }
    table.add(std::move(cells));
  }
  return table.text();
}

// The recursion depth is the nesting depth of the response, which the JSON reader limits.
// NOLINTNEXTLINE(misc-no-recursion)
void renderMembers(const json::Value& value, const std::string& prefix, std::string& output)
{
  for (const auto& member : *value.asObject()) {
    const auto name = prefix + toPrintable(member.name);
    if (isTable(member.value)) {
      output += (output.empty() ? "" : "\n") + name + ":\n" + renderTable(*member.value.asArray());
    } else if (member.value.asObject() != nullptr) {
      renderMembers(member.value, name + ".", output);
    } else {
      output += name + ": " + toPrintable(cellText(&member.value)) + "\n";
    }
  }
}

} // namespace

std::string toPrintable(std::string text)
{
  std::ranges::replace_if(
    text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
  return text;
}

Table::Table(std::vector<std::string> columns)
{
  add(std::move(columns));
}

void Table::add(std::vector<std::string> cells)
{
  std::ranges::transform(cells, cells.begin(), toPrintable);
  if (!rows_.empty()) {
    cells.resize(rows_.front().size());
  }
  rows_.push_back(std::move(cells));
}

std::string Table::text() const
{
  const auto columns = rows_.front().size();
  std::vector<std::size_t> widths(columns, 0);
  std::vector<bool> isRightAligned(columns, rows_.size() > 1);
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    for (std::size_t column = 0; column < columns; ++column) {
      const auto& cell = rows_[i][column];
      widths[column] = std::max(widths[column], codePointCount(cell));
      isRightAligned[column] = isRightAligned[column] && (i == 0 || isNumber(cell));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < columns; ++column) {
      const std::string padding(widths[column] - codePointCount(row[column]), ' ');
      line += column == 0 ? "" : kColumnGap;
      line += isRightAligned[column] ? padding + row[column] : row[column] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string render(const json::Value& response)
{
  std::string output;
  if (response.asObject() == nullptr) {
    return toPrintable(cellText(&response)) + "\n";
  }
  renderMembers(response, "", output);
  return output;
}

} // namespace figchute::cli
