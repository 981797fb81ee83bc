#include "EndpointProcess.h"

#include "ControlProcess.h"

#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace figchute::simulation {
namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(1200);
constexpr Duration kDrainRetryInterval = std::chrono::milliseconds(400);
/** Calls that run or are in transit when the drain is acknowledged end within this time. */
constexpr Duration kWithdrawDelay = std::chrono::milliseconds(3500);
constexpr double kLateCopyProbability = 0.03;
constexpr std::int64_t kTokensPerEvent = 6;

} // namespace

EndpointProcess::EndpointProcess(World& world,
                                 std::string address,
                                 int zone,
                                 ServiceName service,
                                 int slots,
                                 Duration clockOffset)
  : world_(world)
  , address_(std::move(address))
  , zone_("z" + std::to_string(zone))
  , service_(std::move(service))
  , slots_(slots)
  , clockOffset_(clockOffset)
{
  world_.network.setZone(process(), zone);
  world_.endpoints[address_] = this;
}

void EndpointProcess::start(const EndpointId& id)
{
  id_ = id;
  running_ = true;
  draining_ = false;
  drainAcknowledgedAt_.reset();
  const auto wallClockMs = (world_.schedule.now() + clockOffset_).micros / 1000;
  startedAtMs_ = std::max(wallClockMs, startedAtMs_ + 1);
  sequence_ = 0;
  ++runNumber_;
  announcePeriodically();
}

void EndpointProcess::crash()
{
  running_ = false;
  for (auto& [id, call] : std::exchange(calls_, {})) {
    sendEvent(call, { CallEvent::Kind::broken, 0, {} });
  }
}

void EndpointProcess::drain()
{
  draining_ = true;
  announce();
}

void EndpointProcess::announcePeriodically()
{
  announce();
  const bool isDrainPending = draining_ && !drainAcknowledgedAt_;
  world_.schedule.callAfter(isDrainPending ? kDrainRetryInterval : kAnnounceInterval,
                            [this, runNumber = runNumber_] {
                              if (isCurrentRun(runNumber)) {
                                finishDrain();
                              }
                              if (isCurrentRun(runNumber)) {
                                announcePeriodically();
                              }
                            });
}

void EndpointProcess::announce()
{
  fleet::Announcement announcement;
  announcement.id = id_;
  announcement.service = service_;
  announcement.address = address_;
  announcement.zone = zone_;
  announcement.softwareVersion = "1";
  announcement.slots = slots_;
  announcement.state = draining_ ? fleet::EndpointState::draining : fleet::EndpointState::ready;
  announcement.sequence = ++sequence_;
  announcement.startedAtMs = startedAtMs_;
  const auto targetIt =
    std::next(world_.controls.begin(),
              static_cast<std::ptrdiff_t>(world_.random.below(world_.controls.size())));
  const ProcessId controlId = targetIt->first;
  const bool isDrain = draining_;
  const auto deliverAnnouncement =
    [this, controlId, announcement, isDrain, runNumber = runNumber_] {
      const auto controlIt = world_.controls.find(controlId);
      if (controlIt == world_.controls.end()) {
        return;
      }
      const auto onReply = [this, controlId, isDrain, runNumber](const Expected<void>& result) {
        const bool isAcknowledged = result.has_value();
        world_.network.call(controlId, process(), [this, isAcknowledged, isDrain, runNumber] {
          if (isAcknowledged && isDrain && isCurrentRun(runNumber) && !drainAcknowledgedAt_) {
            drainAcknowledgedAt_ = world_.schedule.now();
            world_.tally.recordDrain(world_.schedule.now(), id_, startedAtMs_);
            world_.network.traceCall(process(), process(), fmt::format("{} drains", id_.value));
          }
        });
      };
      controlIt->second->announce(announcement, onReply);
    };
  world_.network.call(process(), controlId, deliverAnnouncement);
  if (world_.random.chance(kLateCopyProbability)) {
    world_.schedule.callAfter(Duration(world_.random.between(1'000'000, 9'000'000)),
                              deliverAnnouncement);
  }
}

void EndpointProcess::finishDrain()
{
  if (!drainAcknowledgedAt_) {
    return;
  }
  if (calls_.empty() && world_.schedule.now() - *drainAcknowledgedAt_ >= kWithdrawDelay) {
    withdraw();
  }
}

void EndpointProcess::withdraw()
{
  const auto targetIt =
    std::next(world_.controls.begin(),
              static_cast<std::ptrdiff_t>(world_.random.below(world_.controls.size())));
  const ProcessId controlId = targetIt->first;
  world_.network.call(process(), controlId, [this, controlId, runNumber = runNumber_] {
    const auto controlIt = world_.controls.find(controlId);
    if (controlIt == world_.controls.end()) {
      return;
    }
    controlIt->second->withdraw(id_, [this, controlId, runNumber](const Expected<void>& result) {
      const bool isAcknowledged = result.has_value();
      world_.network.call(controlId, process(), [this, isAcknowledged, runNumber] {
        if (isAcknowledged && isCurrentRun(runNumber)) {
          running_ = false;
        }
      });
    });
  });
}

dispatch::LoadReport EndpointProcess::loadReport() const
{
  return { static_cast<int>(calls_.size()), 0, slots_ };
}

void EndpointProcess::sendEvent(const EndpointCall& call, CallEvent event)
{
  world_.network.call(process(), call.entry, [event = event, call = call] { call.onEvent(event); });
}

void EndpointProcess::receiveCall(const EndpointCall& call)
{
  using Kind = CallEvent::Kind;
  if (!running_) {
    sendEvent(call, { Kind::broken, 0, {} });
  } else if (call.expectedId != id_) {
    sendEvent(call, { Kind::wrongEndpoint, 0, {} });
  } else if (static_cast<int>(calls_.size()) >= slots_) {
    sendEvent(call, { Kind::notExecuted, 0, loadReport() });
  } else {
    const auto callId = ++lastCallId_;
    calls_.emplace(callId, call);
    world_.schedule.callAfter(Duration(world_.random.between(5'000, 200'000)),
                              [this, callId, runNumber = runNumber_] {
                                if (isCurrentRun(runNumber) && calls_.count(callId) > 0) {
                                  runCall(callId);
                                }
                              });
  }
}

void EndpointProcess::runCall(std::uint64_t callId)
{
  using Kind = CallEvent::Kind;
  const auto& call = calls_.at(callId);
  if (call.crashesEndpoint) {
    crash();
    const auto sameId = id_;
    world_.schedule.callAfter(std::chrono::milliseconds(1500), [this, sameId] {
      if (!running_) {
        start(sameId);
      }
    });
    return;
  }
  if (world_.random.chance(failureRatio_)) {
    sendEvent(call, { Kind::serverError, 0, loadReport() });
    calls_.erase(callId);
    return;
  }
  sendEvent(call, { Kind::head, 0, loadReport() });
  produceTokens(callId, call.outputTokens);
}

void EndpointProcess::produceTokens(std::uint64_t callId, std::int64_t tokensLeft)
{
  const auto& call = calls_.at(callId);
  if (tokensLeft <= 0) {
    sendEvent(call, { CallEvent::Kind::done, 0, loadReport() });
    calls_.erase(callId);
    return;
  }
  const auto tokens = std::min(tokensLeft, kTokensPerEvent);
  sendEvent(call, { CallEvent::Kind::tokens, tokens, {} });
  world_.schedule.callAfter(std::chrono::milliseconds(30),
                            [this, callId, tokensLeft, tokens, runNumber = runNumber_] {
                              if (isCurrentRun(runNumber) && calls_.count(callId) > 0) {
                                produceTokens(callId, tokensLeft - tokens);
                              }
                            });
}

} // namespace figchute::simulation
