#pragma once

#include <string>
#include <vector>

namespace figchute::ini {

/** One fault in an INI text: its position, the actual text and the allowed text. */
struct Fault
{
  /** The section; empty for text before the first section. */
  std::string section;
  /** The key; empty if the fault concerns a whole section or line. */
  std::string key;
  /** The actual value; for a key that has no value the reason, such as "missing". */
  std::string found;
  /** The values allowed at this position. */
  std::string allowed;
  /** Line number, starting at 1; 0 if the fault does not belong to a line. */
  int line = 0;
};

/** All faults in one text, in line order. */
using Faults = std::vector<Fault>;

/** Returns a human-readable line for one fault:
    `line 7: [caller.till] workspace = "shop": expected a workspace of this document`.
    Thread safety: safe from any thread. */
std::string toString(const Fault& fault);

/** Returns all faults, one per line. Thread safety: safe from any thread. */
std::string toString(const Faults& faults);

/** Sorts faults by line; faults in the same line keep their order. */
void sortByLine(Faults& faults);

} // namespace figchute::ini
