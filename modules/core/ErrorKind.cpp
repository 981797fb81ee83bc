#include "core/ErrorKind.h"

#include <array>

namespace figchute {
namespace {

using namespace std::chrono_literals;

constexpr std::array<ErrorTraits, kErrorKindCount> kErrorTable{ {
  { ErrorKind::badRequest, "bad_request", 400, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::bodyTooLarge, "body_too_large", 413, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::headTooLarge, "head_too_large", 431, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::slowSender, "slow_sender", 408, Ran::no, RetryAdvice::later, 1000ms },
  { ErrorKind::unauthenticated, "unauthenticated", 401, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::forbidden, "forbidden", 403, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::notFound, "not_found", 404, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::unknownModel, "unknown_model", 404, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::unknownService, "unknown_service", 404, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::budgetExhausted, "budget_exhausted", 402, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::rateLimited, "rate_limited", 429, Ran::no, RetryAdvice::later, 1000ms },
  { ErrorKind::concurrencyLimited, "concurrency_limited", 429, Ran::no, RetryAdvice::later, 500ms },
  { ErrorKind::overloaded, "overloaded", 503, Ran::no, RetryAdvice::later, 1000ms },
  { ErrorKind::deadlineUnmeetable,
    "deadline_unmeetable",
    503,
    Ran::no,
    RetryAdvice::later,
    2000ms },
  { ErrorKind::noEndpoint, "no_endpoint", 503, Ran::no, RetryAdvice::elsewhere, 1000ms },
  { ErrorKind::noQuorum, "no_quorum", 503, Ran::no, RetryAdvice::sameKeyLater, 2000ms },
  { ErrorKind::quarantined, "quarantined", 422, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::keyRequired, "key_required", 400, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::keyExpired, "key_expired", 409, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::keyConflict, "key_conflict", 422, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::inProgress, "in_progress", 409, Ran::unknown, RetryAdvice::sameKeyLater, 1000ms },
  { ErrorKind::outcomeUnknown, "outcome_unknown", 502, Ran::unknown, RetryAdvice::never, 0ms },
  { ErrorKind::endpointFailed,
    "endpoint_failed",
    502,
    Ran::unknown,
    RetryAdvice::sameKeyLater,
    1000ms },
  { ErrorKind::endpointTimeout,
    "endpoint_timeout",
    504,
    Ran::unknown,
    RetryAdvice::sameKeyLater,
    1000ms },
  { ErrorKind::answerMismatch,
    "answer_mismatch",
    502,
    Ran::unknown,
    RetryAdvice::sameKeyLater,
    1000ms },
  { ErrorKind::versionConflict, "version_conflict", 409, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::documentInvalid, "document_invalid", 422, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::shuttingDown, "shutting_down", 503, Ran::no, RetryAdvice::elsewhere, 100ms },
  { ErrorKind::storageCorrupt, "storage_corrupt", 500, Ran::no, RetryAdvice::elsewhere, 1000ms },
  { ErrorKind::storageFailed, "storage_failed", 500, Ran::no, RetryAdvice::elsewhere, 1000ms },
  { ErrorKind::codecError, "codec_error", 400, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::timeout, "timeout", 504, Ran::unknown, RetryAdvice::sameKeyLater, 1000ms },
  { ErrorKind::internal, "internal", 500, Ran::unknown, RetryAdvice::sameKeyLater, 1000ms },
  { ErrorKind::quarantinedPart, "quarantined_part", 503, Ran::no, RetryAdvice::later, 1000ms },
  { ErrorKind::resumeUnavailable, "resume_unavailable", 503, Ran::no, RetryAdvice::never, 0ms },
  { ErrorKind::methodNotAllowed, "method_not_allowed", 405, Ran::no, RetryAdvice::never, 0ms },
} };

} // namespace

const ErrorTraits& errorTraits(ErrorKind kind)
{
  return kErrorTable.at(static_cast<std::size_t>(kind));
}

const ErrorTraits* findErrorTraits(std::string_view name)
{
  for (const auto& traits : kErrorTable) {
    if (traits.name == name) {
      return &traits;
    }
  }
  return nullptr;
}

std::string_view toString(Ran ran)
{
  switch (ran) {
    case Ran::no:
      return "no";
    case Ran::yes:
      return "yes";
    case Ran::unknown:
      break;
  }
  return "unknown";
}

std::string_view toString(RetryAdvice advice)
{
  switch (advice) {
    case RetryAdvice::sameKeyLater:
      return "same_key_later";
    case RetryAdvice::later:
      return "later";
    case RetryAdvice::elsewhere:
      return "elsewhere";
    case RetryAdvice::never:
      break;
  }
  return "never";
}

} // namespace figchute
