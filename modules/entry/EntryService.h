#pragma once

#include "control/control.h"
#include "core/core.h"
#include "entry/Coordinator.h"
#include "entry/EntryDisk.h"
#include "kernel/kernel.h"
#include "ledger/ledger.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figchute::entry {

/** Settings of an entry service. */
struct EntrySettings
{
  transport::PeerAddress self;
  Incarnation incarnation;
  std::vector<transport::PeerAddress> peers;
  /** Folder of the journal and the documents; unset for a VM without a disk. */
  std::optional<std::string> dataFolder;
  std::uint64_t seed = 1;
};

/** A request was received from a caller. */
struct RequestReceived
{
  gateway::CallerRequest request;
  std::shared_ptr<gateway::ResponseSink> sink;
};

/** The caller of a request has disconnected. */
struct CallerDisconnected
{
  RequestId request;
};

/** An event of an attempt at an endpoint. */
struct UpstreamEventReceived
{
  RequestId request;
  std::uint32_t attempt = 0;
  gateway::UpstreamEvent event;
};

/** An announcement was received from an endpoint. */
struct EndpointAnnounced
{
  routing::Announcement announcement;
};

/** An operator's command, to be committed to the log. */
struct OperatorCommand
{
  ledger::Command command;
  std::function<void(Expected<ledger::Result>)> done;
};

/** An operator's request for a report from the leader. */
struct OperatorReport
{
  control::ReportKind kind = control::ReportKind::spend;
  std::string argument;
  std::function<void(Expected<std::string>)> done;
};

/** The state of an entry VM, as shown to operators. */
struct EntryDump
{
  std::uint64_t revision = 0;
  std::size_t requests = 0;
  bool quotaManagerReady = false;
  bool isControlReachable = false;
  std::vector<ledger::AccountView> accounts;
  std::size_t witnessLines = 0;
  std::vector<membership::MemberView> members;
  routing::RouterDump router;
  std::vector<ledger::QuarantineEntry> quarantine;
};

/** Requests the state; the callback is called on the service's thread. */
struct EntryQuery
{
  std::function<void(const EntryDump& dump)> callback;
};

/** The first recordCount journal records are durable. */
struct JournalSynced
{
  std::uint64_t recordCount = 0;
};

/** Starts the shutdown: new requests are refused and unused grants are returned. */
struct BeginShutdown
{};

/** The service of an entry VM. Its task owns the quota manager, witness, router, membership and the
    requests in progress.
    Thread safety: post() and isDrained() are safe from any thread; the other methods must be called
    from the thread that starts and stops the service. */
class EntryService : public kernel::Service
{
public:
  using Message = std::variant<RequestReceived,
                               CallerDisconnected,
                               UpstreamEventReceived,
                               transport::ReceivedMessage,
                               EndpointAnnounced,
                               OperatorCommand,
                               OperatorReport,
                               EntryQuery,
                               JournalSynced,
                               BeginShutdown>;

  /** Functions and objects of the process that the service uses. The functions must be callable
      from the service's thread. */
  struct Environment
  {
    std::function<void(control::OutgoingMessage)> send;
    std::function<std::vector<transport::PeerStatus>()> peers;
    std::function<void(gateway::UpstreamCall, gateway::UpstreamCallback)> startCall;
    std::function<void(const RequestId&)> cancelCall;
    /** Called on an error after which the process must exit. */
    std::function<void(const Error&)> failed;
    Metrics* metrics = nullptr;
    LogSink log;
  };

  /** The name under which the service is registered in the kernel. */
  static constexpr std::string_view kName = "entry";

  /** Creates the service and recovers its journal and documents.
      @returns storage_corrupt or storage_failed if the data folder cannot be used */
  static Expected<std::unique_ptr<EntryService>> create(EntrySettings settings,
                                                        Environment environment);
  ~EntryService() override;

  [[nodiscard]] std::string_view name() const override { return kName; }
  void start() override;
  void stop() override;

  /** Queues a message for the service. */
  void post(Message message);

  /** Returns whether a shutdown was started and all grants are returned. Safe from any thread. */
  [[nodiscard]] bool isDrained() const;

private:
  class Handler;
  explicit EntryService(std::unique_ptr<Handler> handler);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<kernel::Task<Handler>> task_;
};

} // namespace figchute::entry
