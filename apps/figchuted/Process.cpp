#include "Process.h"

#include "Log.h"

#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace figchuted {
namespace {

using namespace figchute;
using namespace std::chrono_literals;

/** Maximum wait for the return of grants during shutdown. */
constexpr auto kDrainTimeout = 3s;
constexpr auto kDrainPollInterval = 20ms;
constexpr int kFailureExitStatus = 3;

/** Exits the process after an error that leaves its durable state unknown. */
void exitOnFailure(const Error& error)
{
  writeLog(
    { LogSeverity::error,
      "process_failed",
      { { "error", std::string(errorTraits(error.kind).name) }, { "detail", error.detail } } });
  ::_exit(kFailureExitStatus);
}

/** Returns an incarnation higher than those of earlier starts: the wall clock, or the last
    incarnation in the data folder plus one if the clock has been set back. */
Incarnation nextIncarnation(const std::optional<std::string>& dataFolder)
{
  auto incarnation = static_cast<std::uint64_t>(kernel::currentTime().micros);
  if (!dataFolder) {
    return { incarnation };
  }
  const auto path = *dataFolder + "/incarnation";
  std::uint64_t lastIncarnation = 0;
  if (std::ifstream file(path); file >> lastIncarnation && lastIncarnation >= incarnation) {
    incarnation = lastIncarnation + 1;
  }
  std::ofstream(path) << incarnation << '\n';
  return { incarnation };
}

std::uint64_t makeSeed(const ProcessId& process, Incarnation incarnation)
{
  return fingerprintOf(process.value, incarnation.number);
}

} // namespace

Process::Process(settings::Settings settings)
  : settings_(std::move(settings))
{
}

Process::~Process() = default;

Expected<std::unique_ptr<Process>> Process::create(settings::Settings settings)
{
  if (settings.dataDir) {
    std::error_code error;
    std::filesystem::create_directories(*settings.dataDir, error);
    if (error) {
      return fail(ErrorKind::storageFailed,
                  "cannot create " + *settings.dataDir + ": " + error.message());
    }
  }
  std::unique_ptr<Process> process(new Process(std::move(settings)));
  process->incarnation_ = nextIncarnation(process->settings_.dataDir);
  transport::TransportConfig config;
  config.self = process->selfAddress();
  config.incarnation = process->incarnation_;
  config.key = process->settings_.keys.peer;
  config.peers = process->peerAddresses();
  auto& owner = *process;
  process->transport_ = std::make_unique<transport::Transport>(
    std::move(config), process->metrics_, [&owner](transport::ReceivedMessage message) {
      owner.deliver(std::move(message));
    });
  process->upstreamPool_ = std::make_unique<gateway::UpstreamPool>();
  if (process->settings_.roles.control) {
    if (auto created = process->createControl(); !created) {
      return tl::unexpected(created.error());
    }
  }
  if (auto created = process->createEntry(); !created) {
    return tl::unexpected(created.error());
  }
  process->backend_ = std::make_unique<FleetBackend>(BackendParts{ process->settings_,
                                                                   process->metrics_,
                                                                   *process->entry_,
                                                                   process->control_,
                                                                   *process->transport_ });
  process->admin_ =
    std::make_unique<admin::AdminServer>(process->adminOptions(), *process->backend_);
  return process;
}

Expected<void> Process::createControl()
{
  control::ControlSettings config;
  config.self = settings_.id;
  config.dataFolder = *settings_.dataDir + "/control";
  config.seed = makeSeed(settings_.id, incarnation_);
  config.initialMembers.push_back(settings_.id);
  for (const auto& peer : settings_.peers) {
    if (peer.roles.control) {
      config.initialMembers.push_back(peer.id);
    }
  }
  auto service = control::ControlService::create(
    config, [this](control::OutgoingMessage message) { send(std::move(message)); }, exitOnFailure);
  if (!service) {
    return tl::unexpected(service.error());
  }
  control_ = &kernel_.add(std::move(*service));
  return {};
}

Expected<void> Process::createEntry()
{
  entry::EntrySettings config;
  config.self = selfAddress();
  config.incarnation = incarnation_;
  config.peers = peerAddresses();
  config.seed = makeSeed(settings_.id, incarnation_);
  if (settings_.dataDir && settings_.roles.entry) {
    config.dataFolder = *settings_.dataDir + "/entry";
  }
  entry::EntryService::Environment environment;
  environment.send = [this](control::OutgoingMessage message) { send(std::move(message)); };
  environment.peers = [this] { return transport_->status(); };
  environment.startCall = [this](gateway::UpstreamCall call, gateway::UpstreamCallback callback) {
    upstreamPool_->start(std::move(call), std::move(callback));
  };
  environment.cancelCall = [this](const RequestId& id) { upstreamPool_->cancel(id); };
  environment.failed = exitOnFailure;
  environment.metrics = &metrics_;
  environment.log = writeLog;
  auto service = entry::EntryService::create(std::move(config), std::move(environment));
  if (!service) {
    return tl::unexpected(service.error());
  }
  entry_ = &kernel_.add(std::move(*service));
  return {};
}

Expected<void> Process::start()
{
  kernel_.startAll();
  if (auto started = transport_->start(); !started) {
    return started;
  }
  if (auto started = admin_->start(); !started) {
    return started;
  }
  if (settings_.roles.entry) {
    if (auto started = startCallerServer(); !started) {
      return started;
    }
  }
  writeLog({ LogSeverity::info,
             "process_started",
             { { "roles", settings::toString(settings_.roles) },
               { "incarnation", std::to_string(incarnation_.number) } } });
  return {};
}

Expected<void> Process::startCallerServer()
{
  gateway::ServerSettings config;
  config.address = settings_.listen.callers->ip;
  config.port = settings_.listen.callers->port;
  config.requestIdPrefix = settings_.id.value + "-" + std::to_string(incarnation_.number);
  config.limits.maxHeadBytes = settings_.limits.maxHeadBytes;
  config.limits.maxBodyBytes = settings_.limits.maxBodyBytes;
  config.limits.senderTimeout = settings_.limits.senderTimeout;
  config.limits.maxStreams = settings_.limits.maxStreams;
  auto server = gateway::CallerServer::listen(std::move(config), *this);
  if (!server) {
    return tl::unexpected(server.error());
  }
  callerServer_ = std::move(*server);
  return {};
}

void Process::stop()
{
  writeLog({ LogSeverity::info, "process_stopping", {} });
  if (callerServer_) {
    callerServer_->beginStop();
    const bool isIdle = callerServer_->waitUntilIdle(settings_.limits.shutdownTimeout);
    entry_->post(entry::BeginShutdown{});
    const auto deadline = std::chrono::steady_clock::now() + kDrainTimeout;
    while (!entry_->isDrained() && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    writeLog({ LogSeverity::info,
               "process_drained",
               { { "streams_finished", isIdle ? "yes" : "no" },
                 { "grants_returned", entry_->isDrained() ? "yes" : "no" } } });
  }
  admin_->stop();
  callerServer_.reset();
  upstreamPool_.reset();
  transport_->stop();
  kernel_.stopAll();
  writeLog({ LogSeverity::info, "process_stopped", {} });
}

void Process::send(control::OutgoingMessage message)
{
  if (message.to == settings_.id) {
    deliver({ message.to, incarnation_, message.channel, std::move(message.body) });
    return;
  }
  transport_->send(message.to, message.channel, message.body);
}

void Process::deliver(transport::ReceivedMessage message)
{
  const bool isForControl = message.channel == wire::Channel::replication ||
                            message.channel == wire::Channel::ledger ||
                            message.channel == wire::Channel::report;
  const bool isForEntry = message.channel != wire::Channel::replication;
  if (control_ != nullptr && isForControl) {
    control_->post(message);
  }
  if (entry_ != nullptr && isForEntry) {
    entry_->post(std::move(message));
  }
}

void Process::handle(gateway::CallerRequest request, std::shared_ptr<gateway::ResponseSink> sink)
{
  entry_->post(entry::RequestReceived{ std::move(request), std::move(sink) });
}

void Process::disconnected(const RequestId& request)
{
  entry_->post(entry::CallerDisconnected{ request });
}

transport::PeerAddress Process::selfAddress() const
{
  return { settings_.id,
           settings::toString(settings_.listen.peers),
           settings_.zone,
           settings_.roles.entry,
           settings_.roles.control };
}

std::vector<transport::PeerAddress> Process::peerAddresses() const
{
  std::vector<transport::PeerAddress> result;
  for (const auto& peer : settings_.peers) {
    result.push_back({ peer.id,
                       settings::toString(peer.address),
                       peer.zone,
                       peer.roles.entry,
                       peer.roles.control });
  }
  return result;
}

admin::AdminOptions Process::adminOptions() const
{
  admin::AdminOptions options;
  options.ip = settings_.listen.admin.ip;
  options.port = settings_.listen.admin.port;
  options.operatorKey = settings_.keys.operators;
  options.endpointKey = settings_.keys.endpoint;
  options.senderTimeout = settings_.limits.senderTimeout;
  return options;
}

} // namespace figchuted
