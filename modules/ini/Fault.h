#pragma once

#include <string>
#include <vector>

namespace figchute::ini {

/** One fault of an INI text: where it is, what stands there and what may stand there. */
struct Fault
{
  /** The section, empty for text before the first section. */
  std::string section;
  /** The key, empty when the fault concerns the whole section or line. */
  std::string key;
  /** The value found; for a key that has no value the reason, such as "missing". */
  std::string found;
  /** What is allowed at this place. */
  std::string allowed;
  /** Line number from 1; 0 when the fault belongs to no line. */
  int line = 0;
};

/** All faults of one text in line order. */
using Faults = std::vector<Fault>;

/** Writes one fault as a line for people:
    `line 7: [caller.till] workspace = "shop": expected a workspace of this document`.
    Thread safety: safe from any thread. */
std::string toString(const Fault& fault);

/** Writes all faults, one a line. Thread safety: safe from any thread. */
std::string toString(const Faults& faults);

/** Orders faults by line, keeping the order of faults of one line. */
void sortByLine(Faults& faults);

} // namespace figchute::ini
