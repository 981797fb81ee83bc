#pragma once

#include "fleet/fleet.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figchute::fleet {

inline Announcement announcementOf(const std::string& id, std::uint64_t sequence)
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.service = ServiceName("chat");
  announcement.address = "10.0.0." + id + ":80";
  announcement.slots = 4;
  announcement.sequence = sequence;
  announcement.startedAtMs = 100;
  return announcement;
}

inline Duration ms(std::int64_t count)
{
  return std::chrono::milliseconds(count);
}

/** Control and entry processes with a simulated network that loses, duplicates and delays messages.
 */
struct FleetSimulation
{
  struct Control
  {
    explicit Control(const ProcessId& id)
      : publisher(id, state, announcementTracker)
    {
    }

    FleetState state;
    AnnouncementTracker announcementTracker{ state };
    FleetPublisher publisher;
    std::uint64_t applied = 0;
    bool isDown = false;
  };

  using LogEntry = std::function<void(FleetSimulation&, FleetState&, std::uint64_t)>;

  explicit FleetSimulation(std::size_t controlCount, std::size_t entryCount, std::uint64_t seed = 1)
    : random(seed)
  {
    for (std::size_t i = 0; i < controlCount; ++i) {
      ids.emplace_back("c" + std::to_string(i));
      controls.emplace(ids.back(), std::make_unique<Control>(ids.back()));
    }
    for (auto& [id, control] : controls) {
      control->publisher.setControls(now, ids, ids[0]);
      control->publisher.setLeaderContact(now, true);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
      SubscriberSettings settings{ Incarnation{ 1 }, ZoneId("z1"), { ids[0] }, seed + i };
      entries.emplace(ProcessId("e" + std::to_string(i)), FleetSubscriber(settings));
    }
  }

  void putConfiguration(std::uint64_t version)
  {
    log.emplace_back([version](FleetSimulation& simulation, FleetState& state, std::uint64_t) {
      state.configuration.put(
        version, "bytes of " + std::to_string(version) + simulation.configurationFiller);
    });
  }

  template<typename Command>
  void commit(const Command& command)
  {
    const auto time = now;
    log.emplace_back([command, time](FleetSimulation&, FleetState& state, std::uint64_t index) {
      state.endpoints.forget(time);
      state.endpoints.apply(index, time, command);
    });
  }

  void send(const ProcessId& from, const OutgoingMessage& outgoing)
  {
    if (const auto* update = std::get_if<FleetUpdate>(&outgoing.message)) {
      configurationsSent += update->configuration.empty() ? 0 : 1;
      deltasSent += update->baseVersion == 0 ? 0 : 1;
      ++updatesSent;
      updateBytesSent += wire::encode(outgoing.message).size();
    }
    if (random.chance(lossRate)) {
      return;
    }
    const int copies = random.chance(duplicateRate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay = Duration(random.between(500, maxDelay.count()));
      inTransit.emplace(now + delay, std::pair(from, outgoing));
    }
  }

  void deliver(const ProcessId& from, const OutgoingMessage& outgoing)
  {
    // Encodes and decodes the message, so that the test fails if a field is missing on the wire.
    const auto message = wire::decode<Message>(wire::encode(outgoing.message)).value();
    if (const auto control = controls.find(outgoing.to); control != controls.end()) {
      if (!control->second->isDown) {
        control->second->publisher.receive(now, from, message);
      }
    } else if (const auto entry = entries.find(outgoing.to); entry != entries.end()) {
      entry->second.receive(now, from, message);
      const auto changes = entry->second.takeChanges();
      for (const auto& report : changes.crashReports) {
        receivedReports[outgoing.to].merge(now, report);
      }
      for (const auto& limit : changes.rateLimits) {
        receivedLimits[outgoing.to].merge(now, limit);
      }
      if (!changes.requestRates.empty()) {
        receivedRates[outgoing.to] = changes.requestRates;
      }
      if (onChanges) {
        onChanges(outgoing.to, changes);
      }
    }
  }

  void applyLog(Control& control)
  {
    const auto pendingCount = log.size() - control.applied;
    const auto count = laggingControls ? random.below(pendingCount + 1) : pendingCount;
    for (std::uint64_t i = 0; i < count; ++i) {
      const auto& entry = log[control.applied];
      entry(*this, control.state, ++control.applied);
    }
    control.publisher.publishChanges(now);
  }

  void step()
  {
    now = now + ms(20);
    while (!inTransit.empty() && inTransit.begin()->first <= now) {
      const auto [from, outgoing] = inTransit.extract(inTransit.begin()).mapped();
      deliver(from, outgoing);
    }
    for (auto& [id, control] : controls) {
      if (control->isDown) {
        continue;
      }
      applyLog(*control);
      control->publisher.tick(now);
      for (const auto& outgoing : control->publisher.takeOutgoing()) {
        send(id, outgoing);
      }
    }
    for (auto& [id, entry] : entries) {
      entry.tick(now);
      for (const auto& outgoing : entry.takeOutgoing()) {
        send(id, outgoing);
      }
    }
  }

  void run(Duration duration)
  {
    for (const auto end = now + duration; now < end;) {
      step();
    }
  }

  /** Lets an entry process observe the crash of another endpoint. */
  void addCrash(const ProcessId& id, Fingerprint candidate)
  {
    entries.at(id).addCrash(now, CrashReport{ ++lastCrashedEndpoint, { candidate } });
  }

  /** Returns the number of crashed endpoints with a candidate of which a process was told. */
  std::size_t reportedCrashes(const ProcessId& id, Fingerprint candidate)
  {
    return receivedReports[id].endpointsOf(candidate).size();
  }

  Control& control(std::size_t i) { return *controls.at(ids[i]); }
  FleetSubscriber& entry(const std::string& id) { return entries.at(ProcessId(id)); }

  Random random;
  Time now{ 1'000'000'000 };
  std::vector<ProcessId> ids;
  std::map<ProcessId, std::unique_ptr<Control>> controls;
  std::map<ProcessId, FleetSubscriber> entries;
  std::vector<LogEntry> log;
  std::multimap<Time, std::pair<ProcessId, OutgoingMessage>> inTransit;
  double lossRate = 0;
  double duplicateRate = 0;
  Duration maxDelay{ 1000 };
  bool laggingControls = false;
  /** Text at the end of each configuration. */
  std::string configurationFiller;
  int configurationsSent = 0;
  int deltasSent = 0;
  int updatesSent = 0;
  std::size_t updateBytesSent = 0;
  /** Called with the changes that an entry process received. */
  std::function<void(const ProcessId&, const FleetChanges&)> onChanges;
  /** The rate limits and request rates that each entry process received. */
  std::map<ProcessId, RateLimitStore> receivedLimits;
  std::map<ProcessId, std::vector<RequestRate>> receivedRates;
  /** The crash reports that each entry process received. */
  std::map<ProcessId, CrashReportStore> receivedReports;
  std::uint64_t lastCrashedEndpoint = 0;
};

} // namespace figchute::fleet
