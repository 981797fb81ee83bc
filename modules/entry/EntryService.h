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

/** How an entry service is set up. */
struct EntrySettings
{
  transport::PeerAddress self;
  Incarnation incarnation;
  std::vector<transport::PeerAddress> peers;
  /** Folder for the journal and the documents; unset for a VM without a disk. */
  std::optional<std::string> dataFolder;
  std::uint64_t seed = 1;
};

/** A request of a caller. */
struct RequestReceived
{
  gateway::CallerRequest request;
  std::shared_ptr<gateway::ResponseSink> sink;
};

/** The caller of a request has gone. */
struct CallerDisconnected
{
  RequestId request;
};

/** An event of an attempt at an endpoint. */
struct UpstreamArrived
{
  RequestId request;
  std::uint32_t attempt = 0;
  gateway::UpstreamEvent event;
};

/** An endpoint announced itself. */
struct EndpointAnnounced
{
  routing::Announcement announcement;
};

/** A command that an operator wants in the log. */
struct OperatorCommand
{
  ledger::Command command;
  std::function<void(Expected<ledger::Result>)> done;
};

/** A report that an operator wants from the leader. */
struct OperatorReport
{
  control::ReportKind kind = control::ReportKind::spend;
  std::string argument;
  std::function<void(Expected<std::string>)> done;
};

/** What operators see of an entry VM. */
struct EntryDump
{
  std::uint64_t revision = 0;
  std::size_t requests = 0;
  bool walletReady = false;
  bool controlReachable = false;
  std::vector<ledger::AccountView> accounts;
  std::size_t witnessLines = 0;
  std::vector<membership::MemberView> members;
  routing::RouterDump router;
  std::vector<ledger::QuarantineEntry> quarantine;
};

/** A look at the state, run on the service's thread. */
struct EntryQuery
{
  std::function<void(const EntryDump& dump)> look;
};

/** Journal records up to a number are durable. */
struct JournalSynced
{
  std::uint64_t total = 0;
};

/** Starts the shutdown: no new requests, unused grants go back. */
struct BeginShutdown
{};

/** The task of an entry VM: it owns wallet, witness, router, membership and the requests in
    progress.
    Thread safety: post() is safe from any thread, the other methods from the thread that starts and
    stops it. */
class EntryService : public kernel::Service
{
public:
  using Message = std::variant<RequestReceived,
                               CallerDisconnected,
                               UpstreamArrived,
                               transport::Received,
                               EndpointAnnounced,
                               OperatorCommand,
                               OperatorReport,
                               EntryQuery,
                               JournalSynced,
                               BeginShutdown>;

  /** What the service uses of its process. The functions are safe from its thread. */
  struct Environment
  {
    std::function<void(control::Outgoing)> send;
    std::function<std::vector<transport::PeerStatus>()> peers;
    std::function<void(gateway::UpstreamCall, gateway::UpstreamCallback)> startCall;
    std::function<void(const RequestId&)> cancelCall;
    /** Is told of an error after which the process must end. */
    std::function<void(const Error&)> failed;
    Metrics* metrics = nullptr;
    LogSink log;
  };

  /** The name under which the kernel finds the service. */
  static constexpr std::string_view kName = "entry";

  /** Creates the service and recovers its journal and documents.
      @returns storage_corrupt or storage_failed when the data folder cannot be used */
  static Expected<std::unique_ptr<EntryService>> create(EntrySettings settings,
                                                        Environment environment);
  ~EntryService() override;

  [[nodiscard]] std::string_view name() const override { return kName; }
  void start() override;
  void stop() override;

  /** Hands the service a message. */
  void post(Message message);

  /** Tells whether a shutdown has returned all grants. Safe from any thread. */
  [[nodiscard]] bool isDrained() const;

private:
  class Handler;
  explicit EntryService(std::unique_ptr<Handler> handler);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<kernel::Task<Handler>> task_;
};

} // namespace figchute::entry
