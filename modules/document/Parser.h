#pragma once

#include "core/core.h"
#include "document/Document.h"
#include "ini/Fault.h"

#include <string_view>
#include <tl/expected.hpp>

namespace figchute::document {

using ini::Fault;
using ini::Faults;

/** Maximum amount of tokens in one budget. The 960,000 budgets of the design size add up to less
    than 2^63 even if each has this amount. */
constexpr Tokens kMaxTokens{ 9'000'000'000'000 };

/** Reads and validates a team document: names, ranges, references, unknown sections and keys,
    repeated sections and keys, and duplicate caller keys.
    @param text  the whole INI text, UTF-8
    @returns the document, or all faults in line order, each with its section, key, actual value,
             allowed values and line
    Thread safety: safe from any thread. */
tl::expected<Document, Faults> parse(std::string_view text);

/** Reads and validates the document of the given team.
    @param team  the team that the document must belong to
    @param text  the whole INI text, UTF-8
    @returns the document, or `document_invalid` whose detail has one line for each fault
    Thread safety: safe from any thread. */
Expected<Document> parseForTeam(const TeamId& team, std::string_view text);

/** Returns true if a text is a valid name: 1 to 64 letters, digits, `-`, `_` and `.`, not starting
    with `.`. Thread safety: safe from any thread. */
bool isName(std::string_view text);

} // namespace figchute::document
