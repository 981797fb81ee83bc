#include "FifoRandomRouter.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace figchute::measure {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;

} // namespace

Expected<routing::Dispatch> FifoRandomRouter::dispatchToRandomEndpoint(Job& job)
{
  std::vector<std::uint32_t> availableEndpoints;
  for (const auto endpointIndex : registry_.endpointsServing(job.requestInfo.model)) {
    if (!registry_.at(endpointIndex).announcement.leaving) {
      availableEndpoints.push_back(endpointIndex);
    }
  }
  if (availableEndpoints.empty() || job.attemptCount >= kMaxAttempts) {
    return fail(ErrorKind::noEndpoint, "no endpoint is available or all attempts have been used");
  }
  const auto& endpoint =
    registry_.at(availableEndpoints[random_.below(availableEndpoints.size())]).announcement;
  routing::Dispatch dispatch;
  dispatch.id = job.requestInfo.id;
  dispatch.endpoint = endpoint.id;
  dispatch.rank = job.requestInfo.rank;
  dispatch.attempt = ++job.attemptCount;
  dispatch.resumeAfter = job.generatedTokens;
  return dispatch;
}

tl::expected<routing::Accepted, routing::Refusal> FifoRandomRouter::submit(
  Time /*now*/,
  routing::RequestInfo requestInfo)
{
  const RequestId id = requestInfo.id;
  auto& job = jobs_[id];
  job.requestInfo = std::move(requestInfo);
  auto dispatch = dispatchToRandomEndpoint(job);
  if (!dispatch) {
    jobs_.erase(id);
    routing::Refusal refusal;
    refusal.kind = dispatch.error().kind;
    return tl::unexpected<routing::Refusal>(refusal);
  }
  actions_.emplace_back(*dispatch);
  return routing::Accepted{};
}

void FifoRandomRouter::progress(Time /*now*/, const RequestId& id, Tokens tokens)
{
  auto& job = jobs_.at(id);
  job.generatedTokens = std::max(job.generatedTokens, tokens);
}

Expected<routing::Dispatch> FifoRandomRouter::retry(Time /*now*/,
                                                    const RequestId& id,
                                                    routing::AttemptFailure /*failure*/)
{
  auto dispatch = dispatchToRandomEndpoint(jobs_.at(id));
  if (!dispatch) {
    jobs_.erase(id);
  }
  return dispatch;
}

void FifoRandomRouter::announce(Time now, routing::Announcement announcement)
{
  registry_.announce(now, std::move(announcement));
}

void FifoRandomRouter::receive(Time now, const ProcessId& from, const routing::Message& message)
{
  if (const auto* delta = std::get_if<routing::RegistryDelta>(&message)) {
    registry_.receive(now, from, *delta);
  } else if (const auto* request = std::get_if<routing::RegistryRequest>(&message)) {
    registry_.receive(now, from, *request);
  }
}

} // namespace figchute::measure
