#pragma once

#include "core/core.h"
#include "fleet/Messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** Identity of a subscriber and where it begins. */
struct SubscriberSettings
{
  Incarnation incarnation;
  ZoneId zone;
  /** Control addresses; some may be out of date. */
  std::vector<ProcessId> seeds;
  /** Spreads the entry processes over the control processes. */
  std::uint64_t seed = 1;
};

/** What changed since the last FleetSubscriber::takeChanges(). */
struct FleetChanges
{
  bool configuration = false;
  bool endpoints = false;
  bool entryProcesses = false;
  /** The control process or the contact with its leader. */
  bool control = false;
  /** Crashes that other processes saw and that were not reported before. */
  std::vector<CrashCount> crashes;
};

/** Follows the state of the fleet at an entry process through one control process at a time.
    Thread safety: use one instance from one thread only. */
class FleetSubscriber
{
public:
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /** After this silence of its control process it turns to another one. */
  static constexpr Duration kSilence = std::chrono::milliseconds(1200);
  /** While it looks for a control process, it tries a further one after this time. */
  static constexpr Duration kTryNextAfter = std::chrono::milliseconds(300);
  /** Pause after all control processes have been tried. */
  static constexpr Duration kRoundPause = std::chrono::seconds(1);
  /** Shortest time between two requests for a missed update. */
  static constexpr Duration kAskAgainAfter = std::chrono::milliseconds(100);
  /** Own crashes are named this long after the last one under a fingerprint. */
  static constexpr Duration kCrashReported = std::chrono::seconds(60);
  /** Own counts are kept longer than any process remembers them, because they must not fall. */
  static constexpr Duration kOwnCrashMemory = std::chrono::minutes(10);
  /** Counts of others are kept this long after they were named last. */
  static constexpr Duration kCrashMemory = std::chrono::minutes(5);
  /** Most control addresses and most own fingerprints that are remembered. */
  static constexpr std::size_t kMaxControls = 32;
  static constexpr std::size_t kMaxOwnCrashes = 1024;

  explicit FleetSubscriber(SubscriberSettings settings);

  /** Handles a message; only FleetUpdate means something here. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Sends what is due and looks for another control process when needed. The first call starts the
      subscription. Call it about every 100 ms. */
  void tick(Time now);

  /** Tells the control process of a crash that this process saw: at once, or as soon as one is in
      use. */
  void addCrash(Time now, std::uint64_t fingerprint);

  /** Replaces the control addresses of the settings; others that are known stay. */
  void setSeeds(std::vector<ProcessId> seeds);

  /** Ends the subscription; nothing is sent from then on. */
  void stop();

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns what changed since the last call. */
  FleetChanges takeChanges() { return std::exchange(changes_, {}); }

  /** Returns the version in force; 0 for none. */
  [[nodiscard]] std::uint64_t configurationVersion() const { return configurationVersion_; }

  /** Returns the bytes of the configuration in force; never null. */
  [[nodiscard]] const std::shared_ptr<const std::string>& configuration() const
  {
    return configuration_;
  }

  [[nodiscard]] const std::map<EndpointId, EndpointRecord>& endpoints() const { return endpoints_; }

  /** Returns the revision of endpoints(). */
  [[nodiscard]] std::uint64_t endpointRevision() const { return endpointRevision_; }

  /** Returns the entry processes as the control process knows them, with this one. */
  [[nodiscard]] const std::vector<EntryProcess>& entries() const { return entries_; }

  /** Returns the number of entry processes with this one; at least 1. */
  [[nodiscard]] std::uint32_t entryProcesses() const { return entryProcesses_; }

  /** Returns the crashes that other processes saw under a fingerprint. */
  [[nodiscard]] std::uint64_t crashesOfOthers(std::uint64_t fingerprint) const;

  /** Returns the control process in use; nothing while it looks for one. */
  [[nodiscard]] std::optional<ProcessId> control() const;

  /** Returns all known control addresses, the members of the log first. */
  [[nodiscard]] const std::vector<ProcessId>& controls() const { return controls_; }

private:
  struct OwnCrashes
  {
    std::uint64_t crashes = 0;
    Time last;
  };

  struct OtherCrashes
  {
    std::uint64_t crashes = 0;
    Time lastNamed;
  };

  void applyConfiguration(const FleetUpdate& update);
  void applyEndpoints(Time now, const ProcessId& from, const FleetUpdate& update);
  void applyCrashes(Time now, const std::vector<CrashCount>& crashes);
  void learnControls(const std::vector<ProcessId>& members);
  void judgeSender(Time now, const ProcessId& from, bool leaderContact);
  void startSearch(Time now);
  void startRound();
  void tryNext(Time now);
  void adopt(Time now, const ProcessId& control);
  void subscribe(Time now, const ProcessId& to);
  void forgetCrashes(Time now);

  SubscriberSettings settings_;
  Random random_;
  std::vector<ProcessId> controls_;
  /** The first ones of controls_ that are members of the log. */
  std::size_t members_ = 0;
  bool started_ = false;
  bool stopped_ = false;

  /** The control process in use; while searching the last one. */
  std::optional<ProcessId> current_;
  bool searching_ = true;
  /** Not yet tried in this round. */
  std::deque<ProcessId> untried_;
  /** Asked since the search began. */
  std::set<ProcessId> tried_;
  Time lastHeard_;
  Time nextTry_;
  Time nextSubscribe_;
  std::optional<Time> askedAt_;

  std::uint64_t configurationVersion_ = 0;
  std::shared_ptr<const std::string> configuration_ = std::make_shared<const std::string>();
  std::uint64_t endpointRevision_ = 0;
  std::map<EndpointId, EndpointRecord> endpoints_;
  std::uint32_t entryProcesses_ = 1;
  std::vector<EntryProcess> entries_;
  std::map<std::uint64_t, OwnCrashes> ownCrashes_;
  /** An own crash came while no control process was in use. */
  bool crashUntold_ = false;
  std::map<std::uint64_t, OtherCrashes> otherCrashes_;
  FleetChanges changes_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::fleet
