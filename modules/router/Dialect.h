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

/** Names of the header fields that the router reads or sets. */
struct FieldNames
{
  /** Identifies one attempt of a caller; echoed by endpoints. */
  std::string requestId;
  /** Milliseconds that the caller, or the router, waits. */
  std::string deadlineMs;
  /** The workspace of the key, for endpoints. */
  std::string workspace;
  /** The endpoint id that a request is meant for. */
  std::string expectEndpoint;
  /** Urgency of a request for endpoints, 0 to 9. */
  std::string priority;
  /** Marks an answer as the endpoint's own. */
  std::string answerMark;
  /** Marks an answer of an endpoint that did not run the request. */
  std::string notExecuted;
  /** Load of the endpoint: running, waiting and slots, separated by commas. */
  std::string load;
  /** Fields that only the router may set; removed from callers' requests. */
  std::vector<std::string> reserved;
};

/** Paths of the calls to the router itself. A trailing slash means that an id follows. */
struct CallPaths
{
  std::string configuration;
  std::string endpoints;
  std::string readiness;
};

/** The prompt facts of a request that is sent to a model service. */
struct PromptFacts
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
  [[nodiscard]] virtual const CallPaths& paths() const = 0;

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
  [[nodiscard]] virtual Expected<PromptFacts> parsePrompt(const http::Fields& fields) const = 0;
};

} // namespace figchute::router
