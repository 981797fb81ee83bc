#pragma once

#include "core/Error.h"
#include "ini/Fault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::ini {

/** A key with its value. */
struct Entry
{
  std::string key;
  std::string value;
  /** Line number, starting at 1. */
  int line = 0;
};

/** A section with its keys in text order. */
struct Section
{
  std::string name;
  /** Line number of the section header, starting at 1. */
  int line = 0;
  std::vector<Entry> entries;

  /** Returns the entry of a key, or nullptr if there is none. The pointer is valid while the
      section is unchanged. */
  [[nodiscard]] const Entry* find(std::string_view key) const;
};

/** The sections of a text, in text order. */
struct IniFile
{
  std::vector<Section> sections;

  /** Returns the section with a name, or nullptr if there is none. The pointer is valid while the
      file is unchanged. */
  [[nodiscard]] const Section* find(std::string_view name) const;
};

/** The readable part of a text, and all faults in the text. */
struct ParseResult
{
  IniFile file;
  Faults faults;
};

/** Maximum size of a text, in bytes: a document with about 100,000 callers. */
constexpr std::size_t kMaxIniBytes = 16U * 1024 * 1024;

/** Reads an INI text and reports all faults: invalid lines, keys outside a section, repeated
    sections, repeated keys, bytes that are not UTF-8, a text that is too large.
    A line that starts with `#` or `;` is a comment. Values may be quoted; a backslash escapes
    the next character, and `\n` is a line break.
    @param text  the whole text, UTF-8
    @returns the valid sections and keys, and the faults in line order
    Thread safety: safe from any thread. */
ParseResult parseAll(std::string_view text);

/** Reads an INI text that must not contain any faults.
    @param text  the whole text, UTF-8
    @returns the sections, or `bad_request` whose detail has one line per fault
    @see parseAll
    Thread safety: safe from any thread. */
Expected<IniFile> parse(std::string_view text);

} // namespace figchute::ini
