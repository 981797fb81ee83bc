#pragma once

#include <string_view>

namespace figchute::ini {

/** Tells whether a text may be used as a name: 1 to 64 letters, digits, `-`, `_` and `.`, not
    beginning with `.`. Thread safety: safe from any thread. */
bool isName(std::string_view text);

/** What isName() accepts, for faults. */
constexpr std::string_view kNameRule =
  "1 to 64 letters, digits, '-', '_' and '.', not beginning with '.'";

/** Tells whether a text may be used as a key: 8 to 256 visible ASCII characters without spaces.
    Thread safety: safe from any thread. */
bool isKey(std::string_view text);

/** What isKey() accepts, for faults. */
constexpr std::string_view kKeyRule = "8 to 256 visible ASCII characters without spaces";

} // namespace figchute::ini
