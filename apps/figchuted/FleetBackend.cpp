#include "FleetBackend.h"

#include "Describe.h"

#include <future>
#include <memory>

namespace figchuted {
namespace {

using namespace figchute;
using namespace std::chrono_literals;
using json::Value;

/** The services respond sooner; the timeout only guards against a stopped task. */
constexpr auto kResponseTimeout = 8s;

/** Passes a value from the thread of a service to the thread that waits for it. Both threads share
    ownership, because the service may respond after the wait has timed out. */
template<typename T>
class PendingResult
{
public:
  void setValue(T value) { promise_.set_value(std::move(value)); }

  Expected<T> wait()
  {
    auto future = promise_.get_future();
    if (future.wait_for(kResponseTimeout) != std::future_status::ready) {
      return fail(ErrorKind::timeout, "the service did not respond in time");
    }
    return future.get();
  }

private:
  std::promise<T> promise_;
};

template<typename T>
Expected<T> flattenExpected(Expected<Expected<T>> nested)
{
  if (!nested) {
    return tl::unexpected(nested.error());
  }
  return std::move(*nested);
}

template<typename T>
Expected<T> resultAs(const Expected<ledger::Result>& result)
{
  if (!result) {
    return tl::unexpected(result.error());
  }
  const auto* typedResult = std::get_if<T>(&*result);
  if (typedResult == nullptr) {
    return fail(ErrorKind::internal, "control returned a result of an unexpected type");
  }
  if (!typedResult->verdict.ok()) {
    return fail(*typedResult->verdict.error, typedResult->verdict.detail);
  }
  return *typedResult;
}

} // namespace

Expected<ledger::Result> FleetBackend::propose(ledger::Command command)
{
  auto pendingResult = std::make_shared<PendingResult<Expected<ledger::Result>>>();
  parts_.entry.post(
    entry::OperatorCommand{ std::move(command), [pendingResult](Expected<ledger::Result> result) {
                             pendingResult->setValue(std::move(result));
                           } });
  return flattenExpected(pendingResult->wait());
}

Expected<Value> FleetBackend::report(control::ReportKind kind, std::string argument)
{
  auto pendingResult = std::make_shared<PendingResult<Expected<std::string>>>();
  parts_.entry.post(
    entry::OperatorReport{ kind, std::move(argument), [pendingResult](Expected<std::string> text) {
                            pendingResult->setValue(std::move(text));
                          } });
  return flattenExpected(pendingResult->wait()).and_then([](const std::string& text) {
    return json::parse(text);
  });
}

Expected<entry::EntryDump> FleetBackend::entryDump()
{
  auto pendingResult = std::make_shared<PendingResult<entry::EntryDump>>();
  parts_.entry.post(entry::EntryQuery{
    [pendingResult](const entry::EntryDump& dump) { pendingResult->setValue(dump); } });
  return pendingResult->wait();
}

Expected<Value> FleetBackend::applyDocument(const admin::ApplyRequest& request)
{
  const auto document = document::parseForTeam(TeamId(request.team), request.text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  ledger::ApplyDocument command;
  command.team = TeamId(request.team);
  command.baseVersion = request.base;
  command.change = ChangeId(request.change);
  command.text = request.text;
  for (const auto& budget : document->budgets()) {
    command.purchases.push_back({ budget.id, budget.bought });
  }
  for (const auto& caller : document->callers) {
    command.callerKeys.push_back(fingerprintOf(caller.key));
  }
  return resultAs<ledger::DocumentResult>(propose(std::move(command)))
    .map([&](const ledger::DocumentResult& result) {
      return Value::object({ { "team", request.team },
                             { "version", result.version },
                             { "revision", result.revision } });
    });
}

Expected<Value> FleetBackend::showDocument(const std::string& team)
{
  return report(control::ReportKind::document, team);
}

Expected<Value> FleetBackend::history(const std::string& team)
{
  return report(control::ReportKind::history, team);
}

Expected<Value> FleetBackend::spend()
{
  return report(control::ReportKind::spend, "");
}

Expected<Value> FleetBackend::service()
{
  return entryDump().map([](const entry::EntryDump& dump) { return describeService(dump.router); });
}

Expected<Value> FleetBackend::endpoints()
{
  return entryDump().map(
    [](const entry::EntryDump& dump) { return describeEndpoints(dump.router); });
}

Expected<Value> FleetBackend::versions()
{
  return report(control::ReportKind::versions, "");
}

Expected<Value> FleetBackend::members()
{
  return report(control::ReportKind::members, "");
}

Expected<Value> FleetBackend::changeMember(ledger::Command command, const std::string& process)
{
  return resultAs<ledger::MemberResult>(propose(std::move(command)))
    .map([&](const ledger::MemberResult&) {
      return Value::object({ { "process", process } });
    });
}

Expected<Value> FleetBackend::addMember(const std::string& process)
{
  ledger::AddMember command;
  command.process = ProcessId(process);
  return changeMember(command, process);
}

Expected<Value> FleetBackend::removeMember(const std::string& process)
{
  ledger::RemoveMember command;
  command.process = ProcessId(process);
  return changeMember(command, process);
}

Expected<Value> FleetBackend::retire(const std::string& process)
{
  ledger::Retire command;
  // A retired process never returns under an incarnation up to this one.
  command.newestRetired = {
    ProcessId(process), Incarnation{ static_cast<std::uint64_t>(kernel::currentTime().micros) }
  };
  return resultAs<ledger::RetireResult>(propose(std::move(command)))
    .map([&](const ledger::RetireResult& result) {
      Value missing = Value::array();
      for (const auto& witness : result.missingWitnesses) {
        missing.push(Value::object({ { "witness", witness.process.value } }));
      }
      return Value::object({ { "process", process },
                             { "stranded", result.unreclaimedTokens.count },
                             { "missing", missing } });
    });
}

Expected<Value> FleetBackend::dump()
{
  auto entryState = entryDump();
  if (!entryState) {
    return tl::unexpected(entryState.error());
  }
  Value result = describeEntry(*entryState);
  result.set("process", parts_.settings.id.value);
  result.set("zone", parts_.settings.zone.value);
  result.set("peers", describePeers(parts_.transport.status()));
  if (parts_.control == nullptr) {
    return result;
  }
  auto pendingResult = std::make_shared<PendingResult<control::ControlDump>>();
  parts_.control->post(
    control::ControlQuery{ [pendingResult](Time /*now*/, const control::ControlCore& core) {
      pendingResult->setValue(core.dump());
    } });
  return pendingResult->wait().map([&](const control::ControlDump& dump) {
    result.set("log", control::describeLog(dump));
    return result;
  });
}

Expected<Value> FleetBackend::metrics()
{
  return describeMetrics(parts_.metrics);
}

Expected<Value> FleetBackend::announce(const admin::Announcement& announcement)
{
  routing::Announcement message;
  message.id = EndpointId(announcement.id);
  message.address = settings::toString(settings::Address{ announcement.ip, announcement.port });
  message.zone = ZoneId(announcement.zone);
  message.kind = announcement.kind == admin::EndpointKind::plain ? routing::EndpointKind::plain
                                                                 : routing::EndpointKind::model;
  for (const auto& model : announcement.models) {
    message.models.emplace_back(model);
  }
  message.service = ServiceName(announcement.service);
  message.slots = announcement.slots;
  message.running = announcement.running;
  message.waiting = announcement.waiting;
  message.checksFencing = announcement.checksFencing;
  message.leaving = announcement.leaving;
  parts_.entry.post(entry::EndpointAnnounced{ std::move(message) });
  return Value::object({ { "accepted", true } });
}

} // namespace figchuted
