#pragma once

#include "core/ErrorKind.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace figchute {

/** An error with its kind and a human-readable message. */
struct Error
{
  ErrorKind kind = ErrorKind::internal;
  std::string detail;
};

/** The result of an operation that can fail. */
template<typename T>
using Expected = tl::expected<T, Error>;

/** Builds the error branch of an Expected.
    @param kind    the kind of error
    @param detail  a message that names the value that caused the error
    @returns a value that converts to any Expected
    Thread safety: safe from any thread. */
inline tl::unexpected<Error> fail(ErrorKind kind, std::string detail)
{
  return tl::unexpected<Error>(Error{ kind, std::move(detail) });
}

} // namespace figchute
