#include "entry/ReportClient.h"

namespace figchute::entry {

void ReportClient::requestReport(Time now,
                                 control::ReportKind kind,
                                 std::string argument,
                                 Done done)
{
  const auto id = ++lastId_;
  auto& pending = pending_[id];
  pending.request = { id, kind, std::move(argument) };
  pending.done = std::move(done);
  pending.startedAt = now;
  send(now, pending, nextControl());
}

void ReportClient::receive(Time now, const control::ReportReply& reply)
{
  const auto entry = pending_.find(reply.id);
  if (entry == pending_.end()) {
    return;
  }
  if (!reply.answered) {
    if (!reply.leaderHint.empty()) {
      send(now, entry->second, reply.leaderHint);
    }
    return;
  }
  const auto done = std::move(entry->second.done);
  const auto argument = std::move(entry->second.request.argument);
  pending_.erase(entry);
  if (reply.found) {
    done(reply.json);
  } else {
    done(fail(ErrorKind::notFound, "team \"" + argument + "\" has no document"));
  }
}

void ReportClient::tick(Time now)
{
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    auto& pending = entry->second;
    if (now - pending.startedAt >= kRequestTimeout) {
      const auto done = std::move(pending.done);
      entry = pending_.erase(entry);
      done(fail(ErrorKind::noQuorum, "the leader of the control VMs did not answer"));
      continue;
    }
    if (now - pending.sentAt >= kResendInterval) {
      send(now, pending, nextControl());
    }
    ++entry;
  }
}

void ReportClient::send(Time now, Pending& pending, ProcessId to)
{
  pending.sentAt = now;
  if (!to.empty()) {
    outgoing_.push_back({ std::move(to), pending.request });
  }
}

ProcessId ReportClient::nextControl()
{
  if (controls_.empty()) {
    return {};
  }
  return controls_[nextControlIndex_++ % controls_.size()];
}

} // namespace figchute::entry
