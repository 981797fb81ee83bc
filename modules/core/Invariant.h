#pragma once

#include <string>
#include <string_view>

namespace figchute {

/** Called when an invariant does not hold. It must not return normally: it throws or ends the
    process. */
using InvariantHandler = void (*)(std::string_view message);

/** Replaces the handler for violated invariants; the default handler prints the message and aborts.
    Tests install a handler that throws.
    @param handler  the new handler, never null
    @returns the handler that was installed before
    Thread safety: call it before other threads start. */
InvariantHandler setInvariantHandler(InvariantHandler handler);

namespace detail {
[[noreturn]] void reportInvariantViolation(std::string_view message);
} // namespace detail

/** Checks a condition that must hold in every build.
    @param condition  the condition
    @param message    names the invariant for the log
    Thread safety: safe from any thread. */
inline void invariant(bool condition, std::string_view message)
{
  if (!condition) {
    detail::reportInvariantViolation(message);
  }
}

} // namespace figchute
