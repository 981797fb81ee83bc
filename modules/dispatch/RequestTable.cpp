#include "dispatch/RequestTable.h"

namespace figchute::dispatch {

void recordTokens(Time now, Endpoint& endpoint, Send& send, std::int64_t tokens)
{
  const auto sinceLast = now - send.lastByteAt;
  endpoint.prefillBacklog.tokensReceived(now, sinceLast, tokens);
  // The first tokens arrive with the first byte.
  if (send.progressCount > 1) {
    endpoint.speed.add(send.tokenWindow.add(sinceLast, tokens));
  }
}

RequestState& RequestTable::findOrCreate(const RequestInfo& requestInfo)
{
  const auto [entry, isNew] = requests_.try_emplace(requestInfo.id);
  auto& request = entry->second;
  if (isNew) {
    request.service = requestInfo.service;
    request.kind = requestInfo.kind;
    request.priority = requestInfo.priority;
    request.workspace = requestInfo.workspace;
    request.target = requestInfo.target;
    request.promptTokens = requestInfo.promptTokens;
    request.crashCandidates = crashCandidatesOf(requestInfo);
  }
  return request;
}

RequestState* RequestTable::find(std::uint64_t requestId)
{
  const auto request = requests_.find(requestId);
  return request == requests_.end() ? nullptr : &request->second;
}

void RequestTable::beginSend(RequestState& request, const Send& send)
{
  auto& totals = totals_[request.service];
  ++totals.sends;
  ++totals.sendsByWorkspace[request.workspace];
  ++request.sends;
  request.send = send;
}

Send RequestTable::endSend(RequestState& request)
{
  auto& totals = totals_[request.service];
  --totals.sends;
  const auto workspaceSends = totals.sendsByWorkspace.find(request.workspace);
  if (--workspaceSends->second == 0) {
    totals.sendsByWorkspace.erase(workspaceSends);
  }
  const Send send = *request.send;
  request.send.reset();
  return send;
}

bool RequestTable::isSmallWorkspace(const ServiceName& service, const std::string& workspace) const
{
  const auto totals = totals_.find(service);
  if (totals == totals_.end()) {
    return true;
  }
  const auto& sendsByWorkspace = totals->second.sendsByWorkspace;
  const auto workspaceSends = sendsByWorkspace.find(workspace);
  return workspaceSends == sendsByWorkspace.end() ||
         workspaceSends->second * sendsByWorkspace.size() <= totals->second.sends;
}

} // namespace figchute::dispatch
