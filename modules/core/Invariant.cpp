#include "core/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace figchute {
namespace {

void abortOnViolation(std::string_view message)
{
  std::fprintf(
    stderr, "invariant violated: %.*s\n", static_cast<int>(message.size()), message.data());
  std::abort();
}

InvariantHandler& currentHandler()
{
  static InvariantHandler handler = &abortOnViolation;
  return handler;
}

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler)
{
  const auto previous = currentHandler();
  currentHandler() = handler;
  return previous;
}

namespace detail {

void reportInvariantViolation(std::string_view message)
{
  currentHandler()(message);
  std::abort();
}

} // namespace detail
} // namespace figchute
