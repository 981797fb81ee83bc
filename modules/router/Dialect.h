#pragma once

#include "core/core.h"
#include "dispatch/Work.h"
#include "fleet/Configuration.h"
#include "fleet/Endpoint.h"
#include "http/Head.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::router {

/** Names of the header fields that the router reads or sets; the defaults are the project's own. */
struct FieldNames
{
  /** Identifies one attempt of a caller; echoed by endpoints. */
  std::string requestId = "X-Request-Id";
  /** Milliseconds that the caller, or the router, waits. */
  std::string deadlineMs = "X-Deadline-Ms";
  /** The workspace of the key, for endpoints. */
  std::string workspace = "X-Workspace";
  /** The endpoint id that a request is meant for. */
  std::string expectEndpoint = "X-Expect-Endpoint";
  /** Urgency of a request for endpoints, 0 to 9. */
  std::string priority = "X-Priority";
  /** Marks an answer as the endpoint's own. */
  std::string endpointAnswer = "X-Endpoint-Answer";
  /** Marks an answer of an endpoint that did not run the request. */
  std::string notExecuted = "X-Not-Run";
  /** Load of the endpoint: running, waiting and slots, separated by commas. */
  std::string load = "X-Endpoint-Load";
  /** The id of the last event that the caller has, for an endpoint that continues a stream. */
  std::string lastEventId = "Last-Event-Id";
  /** Fields that only the router may set; removed from callers' requests. */
  std::vector<std::string> reserved;
};

/** Paths of the calls to the router itself; the defaults are the project's own. A trailing slash
 * means that an id follows. */
struct ApiPaths
{
  std::string configuration = "/v1/configuration";
  std::string endpoints = "/v1/endpoints/";
  std::string readiness = "/v1/ready";
};

/** The prompt facts of a request that is sent to a model service. */
struct PromptInfo
{
  ModelName model;
  std::vector<dispatch::PromptPart> parts;
  std::int64_t promptTokens = 0;
  std::int64_t maxOutputTokens = 0;
  std::int64_t outputHint = 0;
};

/** Translates between a deployment's protocol and the router.
    Thread safety: const methods are safe from any thread. */
class Dialect
{
public:
  virtual ~Dialect() = default;

  [[nodiscard]] virtual const FieldNames& fields() const = 0;
  [[nodiscard]] virtual const ApiPaths& paths() const = 0;

  /** Reads a configuration.
      @returns document_invalid with every fault found */
  [[nodiscard]] virtual Expected<fleet::Configuration> parseConfiguration(
    std::string_view bytes) const = 0;

  /** Reads an announcement.
      @param id  the id in the path
      @returns bad_request when a field is missing or has another type */
  [[nodiscard]] virtual Expected<fleet::Announcement> parseAnnouncement(
    const EndpointId& id,
    std::string_view bytes) const = 0;

  /** Reads the prompt facts of a request; all zero when it carries none.
      @returns bad_request when they cannot be read */
  [[nodiscard]] virtual Expected<PromptInfo> parsePrompt(const http::Fields& fields) const = 0;
};

} // namespace figchute::router
