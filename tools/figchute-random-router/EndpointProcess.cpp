#include "EndpointProcess.h"

#include "ControlProcess.h"

#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace figchute::simulation {
namespace {

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(1200);
constexpr Duration kDrainRetry = std::chrono::milliseconds(400);
/** Running calls and calls that were on their way end within this time after the drain. */
constexpr Duration kLeaveAfter = std::chrono::milliseconds(3500);
constexpr double kLateCopy = 0.03;
constexpr std::int64_t kTokensPerEvent = 6;

} // namespace

EndpointProcess::EndpointProcess(World& world,
                                 std::string address,
                                 int zone,
                                 ServiceName service,
                                 int slots,
                                 Duration skew)
  : world_(world)
  , address_(std::move(address))
  , zone_("z" + std::to_string(zone))
  , service_(std::move(service))
  , slots_(slots)
  , skew_(skew)
{
  world_.network.place(process(), zone);
  world_.endpoints[address_] = this;
}

void EndpointProcess::start(const EndpointId& id)
{
  id_ = id;
  running_ = true;
  draining_ = false;
  drainedAt_.reset();
  const auto clock = (world_.schedule.now() + skew_).micros / 1000;
  born_ = std::max(clock, born_ + 1);
  sequence_ = 0;
  ++life_;
  loop();
}

void EndpointProcess::crash()
{
  running_ = false;
  for (auto& [id, call] : std::exchange(calls_, {})) {
    answer(call, { CallEvent::Kind::broken, 0, {} });
  }
}

void EndpointProcess::drain()
{
  draining_ = true;
  announce();
}

void EndpointProcess::loop()
{
  announce();
  const bool urgent = draining_ && !drainedAt_;
  world_.schedule.after(urgent ? kDrainRetry : kAnnounceInterval, [this, life = life_] {
    if (isLife(life)) {
      finishDrain();
    }
    if (isLife(life)) {
      loop();
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
  announcement.startedAtMs = born_;
  const auto target =
    std::next(world_.controls.begin(),
              static_cast<std::ptrdiff_t>(world_.random.below(world_.controls.size())));
  const ProcessId to = target->first;
  const bool drains = draining_;
  const auto deliver = [this, to, announcement, drains, life = life_] {
    const auto control = world_.controls.find(to);
    if (control == world_.controls.end()) {
      return;
    }
    const auto replied = [this, to, drains, life](const Expected<void>& result) {
      const bool acknowledged = result.has_value();
      world_.network.call(to, process(), [this, acknowledged, drains, life] {
        if (acknowledged && drains && isLife(life) && !drainedAt_) {
          drainedAt_ = world_.schedule.now();
          world_.tally.drained(world_.schedule.now(), id_, born_);
          world_.network.note(process(), process(), fmt::format("{} drains", id_.value));
        }
      });
    };
    control->second->announce(announcement, replied);
  };
  world_.network.call(process(), to, deliver);
  if (world_.random.chance(kLateCopy)) {
    world_.schedule.after(Duration(world_.random.between(1'000'000, 9'000'000)), deliver);
  }
}

void EndpointProcess::finishDrain()
{
  if (!drainedAt_) {
    return;
  }
  if (calls_.empty() && world_.schedule.now() - *drainedAt_ >= kLeaveAfter) {
    withdraw();
  }
}

void EndpointProcess::withdraw()
{
  const auto target =
    std::next(world_.controls.begin(),
              static_cast<std::ptrdiff_t>(world_.random.below(world_.controls.size())));
  const ProcessId to = target->first;
  world_.network.call(process(), to, [this, to, life = life_] {
    const auto control = world_.controls.find(to);
    if (control == world_.controls.end()) {
      return;
    }
    control->second->withdraw(id_, [this, to, life](const Expected<void>& result) {
      const bool acknowledged = result.has_value();
      world_.network.call(to, process(), [this, acknowledged, life] {
        if (acknowledged && isLife(life)) {
          running_ = false;
        }
      });
    });
  });
}

dispatch::LoadReport EndpointProcess::load() const
{
  return { static_cast<int>(calls_.size()), 0, slots_ };
}

void EndpointProcess::answer(const EndpointCall& call, CallEvent event)
{
  world_.network.call(process(), call.entry, [event = event, call = call] { call.event(event); });
}

void EndpointProcess::accept(const EndpointCall& call)
{
  using Kind = CallEvent::Kind;
  if (!running_) {
    answer(call, { Kind::broken, 0, {} });
  } else if (call.expected != id_) {
    answer(call, { Kind::wrongEndpoint, 0, {} });
  } else if (static_cast<int>(calls_.size()) >= slots_) {
    answer(call, { Kind::notExecuted, 0, load() });
  } else {
    const auto id = ++lastCall_;
    calls_.emplace(id, call);
    world_.schedule.after(Duration(world_.random.between(5'000, 200'000)),
                          [this, id, life = life_] {
                            if (isLife(life) && calls_.count(id) > 0) {
                              run(id);
                            }
                          });
  }
}

void EndpointProcess::run(std::uint64_t call)
{
  using Kind = CallEvent::Kind;
  const auto& running = calls_.at(call);
  if (running.crashes) {
    crash();
    const auto again = id_;
    world_.schedule.after(std::chrono::milliseconds(1500), [this, again] {
      if (!running_) {
        start(again);
      }
    });
    return;
  }
  if (world_.random.chance(failing_)) {
    answer(running, { Kind::serverError, 0, load() });
    calls_.erase(call);
    return;
  }
  answer(running, { Kind::head, 0, load() });
  produce(call, running.outputTokens);
}

void EndpointProcess::produce(std::uint64_t call, std::int64_t left)
{
  const auto& running = calls_.at(call);
  if (left <= 0) {
    answer(running, { CallEvent::Kind::done, 0, load() });
    calls_.erase(call);
    return;
  }
  const auto tokens = std::min(left, kTokensPerEvent);
  answer(running, { CallEvent::Kind::tokens, tokens, {} });
  world_.schedule.after(std::chrono::milliseconds(30), [this, call, left, tokens, life = life_] {
    if (isLife(life) && calls_.count(call) > 0) {
      produce(call, left - tokens);
    }
  });
}

} // namespace figchute::simulation
