#pragma once

#include "ini/Fault.h"
#include "ini/IniFile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::ini {

/** Whether a key may be missing. */
enum class Presence
{
  optional,
  required,
};

/** The range of integers allowed for a key, both ends included. */
struct IntegerRange
{
  std::int64_t min = 0;
  std::int64_t max = INT64_MAX;
};

/** The range of real numbers allowed for a key, both ends included. */
struct RealRange
{
  double min = 0;
  double max = 1e9;
};

/** Reads the keys of one section as typed values and records a fault for each value that is not
    allowed, each required key that is missing and each key that was not read.
    Thread safety: use one instance from one thread only. */
class SectionReader
{
public:
  /** Creates a reader.
      @param section  the section; it must outlive the reader
      @param faults   receives the faults; it must outlive the reader */
  SectionReader(const Section& section, Faults& faults);

  /** Reads a key as text; an empty value is a fault.
      @returns the entry, or nullptr if it is missing or empty */
  const Entry* entry(std::string_view key, Presence presence);

  /** Reads an optional key as text, which may be empty.
      @returns the entry, or nullptr if it is missing */
  const Entry* optionalEntry(std::string_view key);

  /** Reads a decimal integer.
      @returns the number, or std::nullopt if it is missing or a fault was recorded */
  std::optional<std::int64_t> integer(std::string_view key, IntegerRange range, Presence presence);

  /** Reads a decimal number.
      @returns the number, or std::nullopt if it is missing or a fault was recorded */
  std::optional<double> real(std::string_view key, RealRange range, Presence presence);

  /** Reads one of a list of words.
      @returns the index of the word in @p words, or std::nullopt if the key is missing or a
               fault was recorded */
  std::optional<std::size_t> choice(std::string_view key,
                                    const std::vector<std::string_view>& words,
                                    Presence presence);

  /** Records a fault: the value of an entry is not allowed.
      @param entry    the entry with the invalid value
      @param allowed  describes the allowed values */
  void addFault(const Entry& entry, std::string allowed);

  /** Records a fault for every key that was not read by another method. Call it last. */
  void rejectUnknownKeys();

private:
  const Section& section_;
  Faults& faults_;
  std::vector<std::string> requestedKeys_;
};

/** Splits a text at commas and removes spaces around the parts; empty parts are kept.
    Thread safety: safe from any thread. */
std::vector<std::string> splitList(std::string_view text);

} // namespace figchute::ini
