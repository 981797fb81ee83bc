#pragma once

#include "entry/Coordinator.h"
#include "entry/DocumentCache.h"
#include "entry/EntryDisk.h"
#include "entry/EntryService.h"
#include "entry/ReportClient.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace figchute::entry {

/** Connects the decision cores of an entry VM and hands each message to the core it is for.
    Thread safety: receive() and settle() are called from the task's thread; the other methods
   before the task starts or after it has stopped, but for isDrained(). */
class EntryHandler
{
public:
  using Message = EntryService::Message;
  using Poster = std::function<void(Message)>;
  /** The interval of ticks while requests are in progress, and without any. Each tick of an idle
      process costs about 65 us; messages are handled at once in either case. */
  static constexpr Duration kBusyTick = std::chrono::milliseconds(10);
  static constexpr Duration kIdleTick = std::chrono::milliseconds(40);

  EntryHandler(EntrySettings settings, EntryService::Environment environment);

  /** Opens the data folder, if there is one, and replays it.
      @param synced  is told, on the disk's thread, which journal records are durable */
  Expected<void> recover(EntryDisk::SyncedHandler synced);

  /** Sets how events of calls come back to the task. */
  void connect(Poster poster) { poster_ = std::move(poster); }

  void startDisk();
  void stopDisk();

  void receive(Time now, Message message);
  void settle(Time now);
  [[nodiscard]] Duration tickInterval() const
  {
    return coordinator_.inProgress() > 0 || draining_ ? kBusyTick : kIdleTick;
  }

  /** Tells whether a shutdown has returned all grants. Safe from any thread. */
  [[nodiscard]] bool isDrained() const { return drained_; }

private:
  /** An operator's command that waits for its result. */
  struct Waiting
  {
    std::function<void(Expected<ledger::Result>)> done;
    Time deadline;
  };

  void handle(Time now, RequestReceived& message);
  void handle(Time now, CallerDisconnected& message);
  void handle(Time now, UpstreamArrived& message);
  void handle(Time now, transport::Received& message);
  void handle(Time now, EndpointAnnounced& message);
  void handle(Time now, OperatorCommand& message);
  void handle(Time now, OperatorReport& message);
  void handle(Time now, EntryQuery& message);
  void handle(Time now, JournalSynced& message);
  void handle(Time now, BeginShutdown& message);

  void handleLedger(Time now, const transport::Received& message);
  void takeDocuments(Time now, const ledger::DocumentPush& push);
  void publishDocuments();
  void refreshPeers(Time now);
  void pollDocuments(Time now);
  void expireCommands(Time now);
  void writeJournal();
  void sendAll();
  void startCall(gateway::UpstreamCall call, std::uint32_t attempt);
  template<typename Outgoing>
  void sendOn(wire::Channel channel, const std::vector<Outgoing>& messages);
  [[nodiscard]] EntryDump dump(Time now) const;

  EntrySettings settings_;
  EntryService::Environment environment_;
  HolderId self_;
  Poster poster_;
  ledger::Wallet wallet_;
  ledger::Witness witness_;
  ledger::Proposer proposer_;
  routing::Router router_;
  membership::Membership membership_;
  Coordinator coordinator_;
  DocumentCache documents_;
  ReportClient reports_;
  std::unique_ptr<EntryDisk> disk_;
  std::map<std::uint64_t, Waiting> commands_;
  std::vector<ProcessId> controls_;
  std::size_t nextControl_ = 0;
  std::uint64_t journalled_ = 0;
  Time nextRefresh_;
  Time nextPoll_;
  bool draining_ = false;
  std::atomic<bool> drained_{ false };
};

} // namespace figchute::entry
