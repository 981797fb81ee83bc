#pragma once

#include "control/ControlCore.h"
#include "kernel/kernel.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace figchute::control {

/** How a control service is set up. */
struct ControlSettings
{
  ProcessId self;
  std::string dataFolder;
  std::vector<ProcessId> initialMembers;
  std::uint64_t seed = 1;
};

/** A read-only look at the core, run on the service's thread. */
struct ControlQuery
{
  std::function<void(Time now, const ControlCore& core)> look;
};

/** The task of a control VM.
    Thread safety: post() is safe from any thread. */
class ControlService : public kernel::Service
{
public:
  using Message = std::variant<transport::Received, ControlQuery>;
  using Sender = std::function<void(Outgoing)>;
  using FailureHandler = std::function<void(const Error&)>;

  /** The name under which the kernel finds the service. */
  static constexpr std::string_view kName = "control";

  /** Recovers the data folder.
      @param send    sends a message to another process
      @param failed  is told when the data folder cannot be written any more; the process must end
      @returns the service; storage_corrupt or storage_failed when the folder cannot be used */
  static Expected<std::unique_ptr<ControlService>> create(ControlSettings settings,
                                                          Sender send,
                                                          FailureHandler failed);
  ~ControlService() override;

  [[nodiscard]] std::string_view name() const override { return kName; }
  void start() override;
  void stop() override;

  /** Hands the service a message from another process, or a query. */
  void post(Message message);

private:
  class Handler;
  explicit ControlService(std::unique_ptr<Handler> handler);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<kernel::Task<Handler>> task_;
};

} // namespace figchute::control
