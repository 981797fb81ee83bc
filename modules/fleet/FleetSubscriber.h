#pragma once

#include "core/core.h"
#include "fleet/CrashReportStore.h"
#include "fleet/Messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** Settings of a subscriber. */
struct SubscriberSettings
{
  Incarnation incarnation;
  ZoneId zone;
  /** Addresses of control processes; some may be out of date. */
  std::vector<ProcessId> seeds;
  /** Seed for the choice of a control process, which distributes the entry processes over them. */
  std::uint64_t seed = 1;
};

/** Why a subscriber searches for a control process. */
enum class SearchReason : std::uint8_t
{
  start,
  /** The control process sent nothing for FleetSubscriber::kSilenceTimeout. */
  silence,
  /** The control process reported that it has no contact with the leader. */
  noLeader,
};

/** Returns the name of a reason. Safe from any thread. */
std::string_view toString(SearchReason reason);

/** Changes since the last FleetSubscriber::takeChanges(). */
struct FleetChanges
{
  bool configuration = false;
  bool endpoints = false;
  bool entryProcesses = false;
  bool evacuations = false;
  /** The control process in use or its contact with the leader. */
  bool control = false;
  /** Received crash reports; they may be known already. */
  std::vector<CrashReport> crashReports;
  /** Received rate limits of endpoints; they may be known already. */
  std::vector<RateLimit> rateLimits;
  /** The newest request rates of all entry processes; empty if none were received. */
  std::vector<RequestRate> requestRates;
};

/** Receives the state of the fleet at an entry process, from one control process at a time.
    Thread safety: use one instance from one thread only. */
class FleetSubscriber
{
public:
  /** Interval between two Subscribe messages to the control process in use. */
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /** The subscriber switches to another control process after this time without a message. */
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1200);
  /** Interval between two attempts while searching for a control process. */
  static constexpr Duration kTryNextInterval = std::chrono::milliseconds(300);
  /** Pause after all control processes have been tried. */
  static constexpr Duration kRoundPause = std::chrono::seconds(1);
  /** Minimum interval between two requests for a missed update. */
  static constexpr Duration kResubscribeInterval = std::chrono::milliseconds(100);
  /** Minimum interval between two messages because of limits: an endpoint may name another one in
      each answer. */
  static constexpr Duration kMinLimitInterval = std::chrono::milliseconds(100);
  /** Crashes and refutations of this process are sent repeatedly for this time. */
  static constexpr Duration kCrashReportTime = std::chrono::seconds(60);
  /** Maximum number of control addresses. */
  static constexpr std::size_t kMaxControls = 32;
  /** Maximum size of a configuration that results from a delta, in bytes. */
  static constexpr std::size_t kMaxConfigurationBytes = 16U * 1024 * 1024;

  explicit FleetSubscriber(SubscriberSettings settings);

  /** Handles a message. All messages except FleetUpdate are ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Sends due messages and searches for another control process if necessary. The first call
      starts the subscription. Call it about every 100 ms. */
  void tick(Time now);

  /** Reports a crash that this process observed: immediately, or as soon as a control process is in
      use. */
  void addCrash(Time now, const CrashReport& report);

  /** Reports a refutation of a crash report with the next regular message. */
  void addRefutation(Time now, const CrashReport& report) { ownReports_.merge(now, report); }

  /** Sets the number of requests that this process gets, to be sent with the next message. */
  void setRequestRate(double requestsPerSecond)
  {
    requestsPerSecond_ = static_cast<float>(requestsPerSecond);
  }

  /** Sets the rate limits that this process observed recently, to be sent with the next message.
      @param isUrgent  a limit began, changed or ended, so the message is sent within
                       kMinLimitInterval */
  void setRateLimits(Time now, std::vector<RateLimit> limits, bool isUrgent);

  /** Replaces the configured control addresses. Other known addresses are kept. */
  void setSeeds(std::vector<ProcessId> seeds);

  /** Ends the subscription. Nothing is sent afterwards. */
  void stop();

  /** Returns the messages to send and clears them. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns the changes since the last call and clears them. */
  FleetChanges takeChanges() { return std::exchange(changes_, {}); }

  /** Returns the version of the configuration in force; 0 if there is none. */
  [[nodiscard]] std::uint64_t configurationVersion() const { return configurationVersion_; }

  /** Returns the bytes of the configuration in force; never null. */
  [[nodiscard]] const std::shared_ptr<const std::string>& configuration() const
  {
    return configuration_;
  }

  [[nodiscard]] const std::map<EndpointId, EndpointRecord>& endpoints() const { return endpoints_; }

  /** Returns the revision of endpoints(). */
  [[nodiscard]] std::uint64_t endpointRevision() const { return endpointRevision_; }

  /** Returns the evacuated zones in order of their names. */
  [[nodiscard]] const std::vector<ZoneId>& evacuatedZones() const { return evacuatedZones_; }

  /** Returns the revision of evacuatedZones(); 0 if no zone was ever evacuated. */
  [[nodiscard]] std::uint64_t evacuationRevision() const { return evacuationRevision_; }

  /** Returns the entry processes known to the control process, including this one. */
  [[nodiscard]] const std::vector<EntryProcess>& entries() const { return entries_; }

  /** Returns the number of entry processes including this one; at least 1. */
  [[nodiscard]] std::uint32_t entryProcesses() const { return entryProcesses_; }

  /** Returns the control process in use; nothing during a search. */
  [[nodiscard]] std::optional<ProcessId> control() const;

  /** Returns when this process sent the newest message that a control process in contact with the
      leader has answered; nothing if there is none. A delayed answer does not make it later. */
  [[nodiscard]] std::optional<Time> contactAt() const { return contactAt_; }

  /** Returns why the last search was started. */
  [[nodiscard]] SearchReason searchReason() const { return searchReason_; }

  /** Returns all known control addresses, the members of the log first. */
  [[nodiscard]] const std::vector<ProcessId>& controls() const { return controls_; }

private:
  void applyConfiguration(Time now, const ProcessId& from, const FleetUpdate& update);
  void setConfiguration(std::uint64_t version, std::string bytes);
  void applyEndpoints(Time now, const ProcessId& from, const FleetUpdate& update);
  void applyEvacuations(const FleetUpdate& update);
  void updateControls(const std::vector<ProcessId>& members);
  void updateContact(Time now, const FleetUpdate& update);
  void handleLeaderContact(Time now, const ProcessId& from, bool leaderContact);
  void startSearch(Time now, SearchReason reason);
  void startRound();
  void tryNext(Time now);
  void useControl(Time now, const ProcessId& control);
  void subscribe(Time now, const ProcessId& to, bool missedConfiguration = false);
  /** Sends reports to the control process in use, or as soon as there is one. */
  void sendReports(Time now);
  /** Requests what was missed, at most once in kResubscribeInterval. */
  void resubscribe(Time now, const ProcessId& to, bool missedConfiguration);

  SubscriberSettings settings_;
  Random random_;
  std::vector<ProcessId> controls_;
  /** Number of entries at the start of controls_ that are members of the log. */
  std::size_t memberCount_ = 0;
  bool started_ = false;
  bool stopped_ = false;

  /** The control process in use; the previous one during a search. */
  std::optional<ProcessId> currentControl_;
  bool searching_ = true;
  SearchReason searchReason_ = SearchReason::start;
  /** Control processes not tried yet in this round. */
  std::deque<ProcessId> untriedControls_;
  /** Control processes contacted since the search began. */
  std::set<ProcessId> contactedControls_;
  Time lastMessageAt_;
  Time nextTryAt_;
  Time nextSubscribeAt_;
  std::optional<Time> resubscribedAt_;
  /** When the first message was sent. */
  std::optional<Time> startedAt_;
  std::optional<Time> contactAt_;

  std::uint64_t configurationVersion_ = 0;
  std::shared_ptr<const std::string> configuration_ = std::make_shared<const std::string>();
  /** False after a delta that did not fit, until a whole configuration is received. */
  bool acceptsDeltas_ = true;
  std::uint64_t endpointRevision_ = 0;
  std::map<EndpointId, EndpointRecord> endpoints_;
  std::uint64_t evacuationRevision_ = 0;
  std::vector<ZoneId> evacuatedZones_;
  std::uint32_t entryProcesses_ = 1;
  std::vector<EntryProcess> entries_;
  /** Crashes that this process observed, and reports that it refuted. */
  CrashReportStore ownReports_;
  std::vector<RateLimit> rateLimits_;
  /** A limit began, changed or ended since the last message. */
  bool hasUrgentLimits_ = false;
  /** When the last message with such a limit was sent. */
  Time urgentLimitsSentAt_;
  float requestsPerSecond_ = 0;
  /** A crash or a limit was observed while no control process was in use. */
  bool hasUnsentReport_ = false;
  FleetChanges changes_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::fleet
