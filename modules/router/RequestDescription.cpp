#include "router/RequestDescription.h"

#include <algorithm>

namespace figchute::router {

dispatch::RequestInfo describeRequest(Time now,
                                      const fleet::Route& route,
                                      const fleet::WorkspaceSettings* workspace,
                                      const PromptInfo& prompt,
                                      Duration timeout)
{
  dispatch::RequestInfo info;
  info.kind = route.kind;
  info.resumable = route.resumable;
  info.priority = std::clamp(
    workspace != nullptr ? workspace->priority.value_or(route.priority) : route.priority, 0, 9);
  info.workspace = workspace != nullptr ? workspace->name : std::string();
  info.model = prompt.model;
  info.parts = prompt.parts;
  info.promptTokens = prompt.promptTokens;
  info.maxOutputTokens = prompt.maxOutputTokens;
  info.outputHint = prompt.outputHint;
  info.arrival = now;
  info.deadline = now + timeout;
  info.target = route.target;
  info.maxAttempts = route.maxAttempts;
  return info;
}

} // namespace figchute::router
