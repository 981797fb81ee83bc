#pragma once

#include "dispatch/dispatch.h"
#include "http/Head.h"
#include "router/Dialect.h"

#include <optional>
#include <string_view>
#include <vector>

namespace figchute::router {

/** A header field of an endpoint whose value cannot be parsed. */
struct UnreadableField
{
  std::string_view name;
  std::string_view value;
};

/** What an endpoint reports about itself in the header of a response. Fields that cannot be parsed
    count as absent. */
struct EndpointReport
{
  /** The endpoint itself produced the response. */
  bool marked = false;
  bool notExecuted = false;
  /** The endpoint leaves and expects no further requests. */
  bool leaving = false;
  std::optional<dispatch::LoadReport> load;
  /** Requests per second that the endpoint accepts from all processes together. */
  std::optional<double> rateLimit;
  /** The refusals in a second that the brittle endpoint survives. */
  std::optional<double> brittle;
  /** How long the endpoint is still cold. */
  std::optional<Duration> cold;
  /** The endpoint refused the request and expects none from this process for so long. */
  std::optional<Duration> backoff;
  /** Views into the header and the names that were given to parseEndpointReport(). */
  std::vector<UnreadableField> unreadableFields;
};

/** Parses what an endpoint reports about itself. Safe from any thread.
    @param names  must outlive the result
    @param head   must outlive the result */
EndpointReport parseEndpointReport(const FieldNames& names, const http::ResponseHead& head);

} // namespace figchute::router
