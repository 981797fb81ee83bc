#pragma once

#include "ini/Fault.h"
#include "ini/IniFile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::ini {

/** Whether a key may be left out. */
enum class Presence
{
  optional,
  required,
};

/** The integers that a key allows, both ends included. */
struct IntegerRange
{
  std::int64_t min = 0;
  std::int64_t max = INT64_MAX;
};

/** The real numbers that a key allows, both ends included. */
struct RealRange
{
  double min = 0;
  double max = 1e9;
};

/** Reads the keys of one section as typed values and records a fault for each value that is not
    allowed, each required key that is missing and each key that was not asked for.
    Thread safety: use one instance from one thread only. */
class SectionReader
{
public:
  /** Creates a reader.
      @param section  the section; it must outlive the reader
      @param faults   gets the faults; it must outlive the reader */
  SectionReader(const Section& section, Faults& faults);

  /** Reads a key as it stands; an empty value is a fault.
      @returns the entry, or nullptr when it is missing or empty */
  const Entry* entry(std::string_view key, Presence presence);

  /** Reads a decimal integer.
      @returns the number, or nothing when it is missing or a fault was recorded */
  std::optional<std::int64_t> integer(std::string_view key, IntegerRange range, Presence presence);

  /** Reads a decimal number.
      @returns the number, or nothing when it is missing or a fault was recorded */
  std::optional<double> real(std::string_view key, RealRange range, Presence presence);

  /** Reads one of a list of words.
      @returns the index of the word in @p words, or nothing */
  std::optional<std::size_t> choice(std::string_view key,
                                    const std::vector<std::string_view>& words,
                                    Presence presence);

  /** Records that the value of an entry is not allowed. */
  void addFault(const Entry& entry, std::string allowed);

  /** Records a fault for every key that no other method asked for. Call it last. */
  void rejectUnknownKeys();

private:
  const Section& section_;
  Faults& faults_;
  std::vector<std::string> known_;
};

/** Splits a text at commas and removes spaces around the parts; empty parts are kept.
    Thread safety: safe from any thread. */
std::vector<std::string> splitList(std::string_view text);

} // namespace figchute::ini
