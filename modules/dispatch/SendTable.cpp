#include "dispatch/SendTable.h"

namespace figchute::dispatch {

RequestState& SendTable::findOrCreate(const Work& work)
{
  const auto [entry, isNew] = requests_.try_emplace(work.id);
  auto& request = entry->second;
  if (isNew) {
    request.service = work.service;
    request.kind = work.kind;
    request.priority = work.priority;
    request.workspace = work.workspace;
    request.target = work.target;
    request.promptTokens = work.promptTokens;
    request.fingerprint = work.fingerprint;
  }
  return request;
}

RequestState* SendTable::find(std::uint64_t workId)
{
  const auto found = requests_.find(workId);
  return found == requests_.end() ? nullptr : &found->second;
}

void SendTable::beginSend(RequestState& request, const Send& send)
{
  auto& totals = totals_[request.service];
  ++totals.sends;
  ++totals.byWorkspace[request.workspace];
  ++request.sends;
  request.send = send;
}

Send SendTable::endSend(RequestState& request)
{
  auto& totals = totals_[request.service];
  --totals.sends;
  const auto workspace = totals.byWorkspace.find(request.workspace);
  if (--workspace->second == 0) {
    totals.byWorkspace.erase(workspace);
  }
  const Send send = *request.send;
  request.send.reset();
  return send;
}

bool SendTable::isSmallWorkspace(const ServiceName& service, const std::string& workspace) const
{
  const auto totals = totals_.find(service);
  if (totals == totals_.end()) {
    return true;
  }
  const auto& byWorkspace = totals->second.byWorkspace;
  const auto own = byWorkspace.find(workspace);
  return own == byWorkspace.end() || own->second * byWorkspace.size() <= totals->second.sends;
}

} // namespace figchute::dispatch
