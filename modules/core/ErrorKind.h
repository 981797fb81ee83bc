#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace figchute {

/** The complete list of error kinds. Each kind has one row in the table behind errorTraits(). */
enum class ErrorKind
{
  badRequest,
  bodyTooLarge,
  headTooLarge,
  slowSender,
  unauthenticated,
  forbidden,
  notFound,
  unknownModel,
  unknownService,
  budgetExhausted,
  rateLimited,
  concurrencyLimited,
  overloaded,
  deadlineUnmeetable,
  noEndpoint,
  noQuorum,
  quarantined,
  keyRequired,
  keyExpired,
  keyConflict,
  inProgress,
  outcomeUnknown,
  endpointFailed,
  endpointTimeout,
  answerMismatch,
  versionConflict,
  documentInvalid,
  shuttingDown,
  storageCorrupt,
  storageFailed,
  codecError,
  timeout,
  internal,
  quarantinedPart,
  resumeUnavailable,
  methodNotAllowed,
};

/** Number of error kinds. */
constexpr std::size_t kErrorKindCount = static_cast<std::size_t>(ErrorKind::methodNotAllowed) + 1;

/** Whether an endpoint executed a request that was refused or failed. */
enum class Ran
{
  no,
  yes,
  unknown,
};

/** Whether and how a caller should retry a request. */
enum class RetryAdvice
{
  never,
  sameKeyLater,
  later,
  elsewhere,
};

/** One row of the error table. */
struct ErrorTraits
{
  ErrorKind kind;
  std::string_view name;
  int httpStatus;
  Ran ran;
  RetryAdvice retry;
  std::chrono::milliseconds retryAfter;
};

/** Returns the table row of an error kind.
    @param kind  any listed kind
    @returns its row; the reference stays valid until the program ends
    Thread safety: safe from any thread. */
const ErrorTraits& errorTraits(ErrorKind kind);

/** Finds the table row of an error kind by name.
    @param name  a name such as "bad_request"
    @returns the row, or nullptr if no kind has that name
    Thread safety: safe from any thread. */
const ErrorTraits* findErrorTraits(std::string_view name);

/** Returns the text used in responses: "no", "yes" or "unknown". Safe from any thread. */
std::string_view toString(Ran ran);

/** Returns the text used in responses: "never", "same_key_later", "later" or "elsewhere". Safe
    from any thread. */
std::string_view toString(RetryAdvice advice);

} // namespace figchute
