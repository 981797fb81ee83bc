#pragma once

#include "core/core.h"
#include "dispatch/RequestInfo.h"
#include "fleet/Configuration.h"
#include "fleet/Endpoint.h"
#include "http/Head.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::router {

/** Names of the HTTP header fields that the router reads or sets; the defaults are those of the
 * figchute protocol. */
struct FieldNames
{
  /** Identifies one attempt of a caller; endpoints return it in their response. */
  std::string requestId = "X-Request-Id";
  /** Milliseconds that the sender, a caller or the router, waits for the response. */
  std::string deadlineMs = "X-Deadline-Ms";
  /** The workspace that the API key belongs to; sent to endpoints. */
  std::string workspace = "X-Workspace";
  /** The id of the endpoint that the router intends to reach. */
  std::string expectEndpoint = "X-Expect-Endpoint";
  /** Priority of a request, 0 to 9; sent to endpoints. */
  std::string priority = "X-Priority";
  /** Present in responses that the endpoint itself produced. */
  std::string endpointAnswer = "X-Endpoint-Answer";
  /** Present in responses of endpoints that did not execute the request. */
  std::string notExecuted = "X-Not-Run";
  /** Load of the endpoint: running requests, waiting requests and slots, separated by commas. */
  std::string load = "X-Endpoint-Load";
  /** The requests per second, a decimal number, that an endpoint accepts from all processes
   * together; present in its responses for as long as the limit holds. */
  std::string rateLimit = "X-Endpoint-Rate-Limit";
  /** Milliseconds for which the endpoint is still cold; read in any response. */
  std::string coldMs = "X-Endpoint-Cold-Ms";
  /** The requests, a decimal number, that an endpoint may have to refuse in a second before it
   * crashes; present in all its responses while it is brittle. */
  std::string brittle = "X-Endpoint-Brittle";
  /** "1" in all responses of an endpoint that leaves and expects no further requests. */
  std::string leaving = "X-Endpoint-Leaving";
  /** The id of the last event that the caller has received; sent to an endpoint that continues a
   * stream. */
  std::string lastEventId = "Last-Event-Id";
  /** The id of the request whose response brought the first event of the stream that the caller
   * takes up again. */
  std::string resumes = "X-Resumes";
  /** Header fields that only the router may set; they are removed from callers' requests. */
  std::vector<std::string> reserved;
};

/** Paths of the router's own HTTP API; the defaults are those of the figchute protocol. An id
   follows a path with a trailing slash. */
struct ApiPaths
{
  std::string configuration = "/v1/configuration";
  std::string endpoints = "/v1/endpoints/";
  std::string readiness = "/v1/ready";
  /** The list has the path without the trailing slash. */
  std::string evacuations = "/v1/evacuations/";
};

/** The prompt properties of a request to a model service. */
struct PromptInfo
{
  ModelName model;
  std::vector<dispatch::PromptPart> parts;
  std::int64_t promptTokens = 0;
  std::int64_t maxOutputTokens = 0;
  std::int64_t outputHint = 0;
};

/** Translates the HTTP protocol of a deployment for the router.
    Thread safety: const methods are safe from any thread. */
class Dialect
{
public:
  virtual ~Dialect() = default;

  [[nodiscard]] virtual const FieldNames& fields() const = 0;
  [[nodiscard]] virtual const ApiPaths& paths() const = 0;

  /** Parses a configuration.
      @returns document_invalid with all errors found */
  [[nodiscard]] virtual Expected<fleet::Configuration> parseConfiguration(
    std::string_view bytes) const = 0;

  /** Parses the announcement of an endpoint.
      @param id  the endpoint id in the request path
      @returns bad_request when a field is missing or has another type */
  [[nodiscard]] virtual Expected<fleet::Announcement> parseAnnouncement(
    const EndpointId& id,
    std::string_view bytes) const = 0;

  /** Parses the prompt properties of a request; those without a header field are empty or zero.
      @returns bad_request when a header field cannot be parsed */
  [[nodiscard]] virtual Expected<PromptInfo> parsePrompt(const http::Fields& fields) const = 0;
};

} // namespace figchute::router
