#pragma once

#include "core/Error.h"
#include "ini/Fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::ini {

/** One key with its value. */
struct Entry
{
  std::string key;
  std::string value;
  /** Line number from 1. */
  int line = 0;
};

/** One section with its keys in the order of the text. */
struct Section
{
  std::string name;
  /** Line number of the header, from 1. */
  int line = 0;
  std::vector<Entry> entries;

  /** Returns the entry of a key, or nullptr. The pointer lives as long as the section is
      unchanged. */
  [[nodiscard]] const Entry* find(std::string_view key) const;
};

/** The sections of one text in their order. */
struct IniFile
{
  std::vector<Section> sections;

  /** Returns the section of a name, or nullptr. The pointer lives as long as the file is
      unchanged. */
  [[nodiscard]] const Section* find(std::string_view name) const;
};

/** What could be read of a text, and every fault in it. */
struct ParseResult
{
  IniFile file;
  Faults faults;
};

/** Largest text that is read, in bytes: a document of some 100,000 callers. */
constexpr std::size_t kMaxIniBytes = 16U * 1024 * 1024;

/** Reads an INI text and lists every fault: bad lines, keys outside a section, repeated sections,
    repeated keys, bytes that are not UTF-8, a text that is too large.
    Comments begin with `#` or `;` at the start of a line. Values may be quoted; a backslash escapes
    the next character, and `\n` is a line break.
    @param text  the whole text, UTF-8
    @returns the sections and keys that are sound, and the faults in line order
    Thread safety: safe from any thread. */
ParseResult parseAll(std::string_view text);

/** Reads an INI text that must have no fault.
    @param text  the whole text, UTF-8
    @returns the sections, or `bad_request` whose detail has one line for each fault
    @see parseAll
    Thread safety: safe from any thread. */
Expected<IniFile> parse(std::string_view text);

} // namespace figchute::ini
