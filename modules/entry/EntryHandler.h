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

/** Dispatches messages to the components of an entry VM and sends the messages that they produce.
    Thread safety: receive() and finishBatch() must be called from the task's thread. The other
   methods except isDrained() must be called before the task starts or after it has stopped. */
class EntryHandler
{
public:
  using Message = EntryService::Message;
  using PostFunction = std::function<void(Message)>;
  /** Tick intervals with and without requests in progress. A tick of an idle process takes about
      65 us. Messages are processed immediately in both cases. */
  static constexpr Duration kBusyTickInterval = std::chrono::milliseconds(10);
  static constexpr Duration kIdleTickInterval = std::chrono::milliseconds(40);

  EntryHandler(EntrySettings settings, EntryService::Environment environment);

  /** Opens the data folder, if one is configured, and recovers the quota manager and the documents
      from it.
      @param onSynced  called on the disk's thread when journal records have become durable */
  Expected<void> recover(EntryDisk::SyncedHandler onSynced);

  /** Sets the function that posts events of upstream calls to the task. */
  void connect(PostFunction post) { post_ = std::move(post); }

  void startDisk();
  void stopDisk();

  void receive(Time now, Message message);
  void finishBatch(Time now);
  [[nodiscard]] Duration tickInterval() const
  {
    return coordinator_.inProgress() > 0 || draining_ ? kBusyTickInterval : kIdleTickInterval;
  }

  /** Returns whether a shutdown was started and all grants are returned. Safe from any thread. */
  [[nodiscard]] bool isDrained() const { return drained_; }

private:
  /** A command of an operator that is waiting for its result. */
  struct PendingCommand
  {
    std::function<void(Expected<ledger::Result>)> onResult;
    Time deadline;
  };

  void handle(Time now, RequestReceived& message);
  void handle(Time now, CallerDisconnected& message);
  void handle(Time now, UpstreamEventReceived& message);
  void handle(Time now, transport::ReceivedMessage& message);
  void handle(Time now, EndpointAnnounced& message);
  void handle(Time now, OperatorCommand& message);
  void handle(Time now, OperatorReport& message);
  void handle(Time now, EntryQuery& message);
  void handle(Time now, JournalSynced& message);
  void handle(Time now, BeginShutdown& message);

  void handleLedger(Time now, const transport::ReceivedMessage& message);
  void applyDocuments(Time now, const ledger::DocumentPush& push);
  void updateDirectory();
  void refreshPeers(Time now);
  void pollDocuments(Time now);
  void expireCommands(Time now);
  void writeJournal();
  void sendAll();
  void startCall(gateway::UpstreamCall call, std::uint32_t attempt);
  template<typename OutgoingMessage>
  void sendMessages(wire::Channel channel, const std::vector<OutgoingMessage>& messages);
  [[nodiscard]] EntryDump dump(Time now) const;

  EntrySettings settings_;
  EntryService::Environment environment_;
  HolderId self_;
  PostFunction post_;
  ledger::QuotaManager quotaManager_;
  ledger::Witness witness_;
  ledger::Proposer proposer_;
  routing::Router router_;
  membership::Membership membership_;
  Coordinator coordinator_;
  DocumentCache documents_;
  ReportClient reports_;
  std::unique_ptr<EntryDisk> disk_;
  std::map<std::uint64_t, PendingCommand> commands_;
  std::vector<ProcessId> controlVms_;
  std::size_t nextControlIndex_ = 0;
  std::uint64_t journalRecordCount_ = 0;
  Time nextPeerRefresh_;
  Time nextDocumentPoll_;
  bool draining_ = false;
  std::atomic<bool> drained_{ false };
};

} // namespace figchute::entry
