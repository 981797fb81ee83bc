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

/** All parts of one daemon, wired together.
    Thread safety: create, start and stop it from one thread. */
class Process : private figchute::gateway::RequestHandler
{
public:
  /** Builds the parts and recovers the data folder.
      @returns storage_corrupt or storage_failed when the data folder cannot be used */
  static figchute::Expected<std::unique_ptr<Process>> create(figchute::settings::Settings settings);
  ~Process() override;

  /** Opens all sockets and starts all tasks.
      @returns the first error; the process must then end */
  figchute::Expected<void> start();

  /** Finishes running requests up to the limit of the settings, returns grants and stops. */
  void stop();

private:
  explicit Process(figchute::settings::Settings settings);

  figchute::Expected<void> createControl();
  figchute::Expected<void> createEntry();
  figchute::Expected<void> startCallers();
  void send(figchute::control::Outgoing message);
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
  std::unique_ptr<figchute::gateway::UpstreamPool> upstream_;
  std::unique_ptr<figchute::gateway::CallerServer> callers_;
  std::unique_ptr<FleetBackend> backend_;
  std::unique_ptr<figchute::admin::AdminServer> admin_;
  figchute::control::ControlService* control_ = nullptr;
  figchute::entry::EntryService* entry_ = nullptr;
};

} // namespace figchuted
