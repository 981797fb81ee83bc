#pragma once

#include "admin/admin.h"
#include "control/control.h"
#include "core/core.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "kernel/kernel.h"
#include "settings/settings.h"
#include "transport/transport.h"

#include "FleetBackend.h"

#include <memory>

namespace figchuted {

/** Owns and connects the parts of one daemon.
    Thread safety: create, start and stop it from one thread. */
class Process : private figchute::gateway::RequestHandler
{
public:
  /** Creates the parts and recovers the data folder.
      @returns storage_corrupt or storage_failed if the data folder cannot be used */
  static figchute::Expected<std::unique_ptr<Process>> create(figchute::settings::Settings settings);
  ~Process() override;

  /** Opens all sockets and starts all tasks.
      @returns the first error, after which the process must exit */
  figchute::Expected<void> start();

  /** Waits for running requests up to the limit in the settings, returns grants and stops. */
  void stop();

private:
  explicit Process(figchute::settings::Settings settings);

  figchute::Expected<void> createControl();
  figchute::Expected<void> createEntry();
  figchute::Expected<void> startCallerServer();
  void send(figchute::control::OutgoingMessage message);
  void deliver(figchute::transport::ReceivedMessage message);
  void handle(figchute::gateway::CallerRequest request,
              std::shared_ptr<figchute::gateway::ResponseSink> sink) override;
  void disconnected(const figchute::RequestId& request) override;
  [[nodiscard]] figchute::transport::PeerAddress selfAddress() const;
  [[nodiscard]] std::vector<figchute::transport::PeerAddress> peerAddresses() const;
  [[nodiscard]] figchute::admin::AdminOptions adminOptions() const;

  figchute::settings::Settings settings_;
  figchute::Incarnation incarnation_;
  figchute::Metrics metrics_;
  figchute::kernel::Kernel kernel_;
  std::unique_ptr<figchute::transport::Transport> transport_;
  std::unique_ptr<figchute::gateway::UpstreamPool> upstreamPool_;
  std::unique_ptr<figchute::gateway::CallerServer> callerServer_;
  std::unique_ptr<FleetBackend> backend_;
  std::unique_ptr<figchute::admin::AdminServer> admin_;
  figchute::control::ControlService* control_ = nullptr;
  figchute::entry::EntryService* entry_ = nullptr;
};

} // namespace figchuted
