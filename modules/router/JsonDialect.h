#pragma once

#include "router/Dialect.h"

#include <string>

namespace figchute::router {

/** Names of JSON fields and of the values of enumerations; the defaults are those of the figchute
 * protocol. */
struct JsonNames
{
  std::string split = "split";
  std::string weight = "weight";
  std::string service = "service";
  std::string name = "name";
  std::string host = "host";
  std::string pathPrefix = "pathPrefix";
  std::string kind = "kind";
  std::string timeoutMs = "timeoutMs";
  std::string targetMs = "targetMs";
  std::string gapTargetMs = "gapTargetMs";
  std::string priority = "priority";
  std::string maxAttempts = "maxAttempts";
  std::string open = "open";
  std::string sticky = "sticky";
  std::string resumable = "resumable";
  std::string healthPath = "healthPath";
  std::string maxConnections = "maxConnections";
  std::string warmupPerS = "warmupPerS";
  std::string engine = "engine";
  std::string slots = "slots";
  std::string kvCapacity = "kvCapacity";
  std::string kvTokenBytes = "kvTokenBytes";
  std::string stride = "stride";
  std::string keys = "keys";
  std::string prepaid = "prepaid";
  std::string limits = "limits";
  std::string headBytes = "headBytes";
  std::string bodyBytes = "bodyBytes";
  std::string headTimeoutMs = "headTimeoutMs";
  std::string idleTimeoutMs = "idleTimeoutMs";
  std::string version = "version";
  std::string routes = "routes";
  std::string services = "services";
  std::string workspaces = "workspaces";
  std::string address = "address";
  std::string zone = "zone";
  std::string warmupMs = "warmupMs";
  std::string sequence = "sequence";
  std::string startedAtMs = "born";
  std::string state = "state";
  std::string repeatableValue = "repeatable";
  std::string streamValue = "stream";
  std::string onceValue = "once";
  std::string readyValue = "ready";
  std::string drainingValue = "draining";
};

/** Names of the header fields with the prompt properties of a request; the defaults are those of
 * the figchute protocol. */
struct PromptNames
{
  std::string model = "X-Model";
  /** Number of prompt tokens and maximum number of output tokens, separated by a comma. */
  std::string tokenCounts = "X-Tokens";
  /** The parts of the prompt in order, as ID:TOKENS separated by commas. */
  std::string parts = "X-Prompt-Parts";
  /** Estimated number of output tokens. */
  std::string outputHint = "X-Output-Hint";
};

/** A dialect with JSON bodies and configurable names of fields, paths and values. The default names
   form the figchute protocol. Thread safety: const methods are safe from any thread. */
class JsonDialect final : public Dialect
{
public:
  JsonDialect(FieldNames fields, ApiPaths paths, PromptNames prompt, JsonNames names);

  [[nodiscard]] const FieldNames& fields() const override { return fields_; }
  [[nodiscard]] const ApiPaths& paths() const override { return paths_; }
  [[nodiscard]] Expected<fleet::Configuration> parseConfiguration(
    std::string_view bytes) const override;
  [[nodiscard]] Expected<fleet::Announcement> parseAnnouncement(
    const EndpointId& id,
    std::string_view bytes) const override;
  [[nodiscard]] Expected<PromptInfo> parsePrompt(const http::Fields& fields) const override;

private:
  FieldNames fields_;
  ApiPaths paths_;
  PromptNames prompt_;
  JsonNames names_;
};

/** Returns the dialect of the figchute protocol. Thread safety: safe from any thread. */
std::unique_ptr<Dialect> defaultDialect();

} // namespace figchute::router
