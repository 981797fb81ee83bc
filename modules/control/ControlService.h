#pragma once

#include "control/ControlCore.h"
#include "kernel/kernel.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace figchute::control {

/** The settings of a control service. */
struct ControlSettings
{
  ProcessId self;
  std::string dataFolder;
  std::vector<ProcessId> initialMembers;
  /** Seeds the random election time-outs. */
  std::uint64_t seed = 1;
};

/** A function that reads the core on the service's thread. */
struct ControlQuery
{
  std::function<void(Time now, const ControlCore& core)> inspect;
};

/** Runs a ControlCore with its data folder on a thread of its own.
    Thread safety: post() is safe from any thread. */
class ControlService : public kernel::Service
{
public:
  using Message = std::variant<transport::ReceivedMessage, ControlQuery>;
  using Sender = std::function<void(OutgoingMessage)>;
  using FailureHandler = std::function<void(const Error&)>;

  /** The name of the service in the kernel. */
  static constexpr std::string_view kName = "control";

  /** Creates the service from its data folder.
      @param send       sends a message to another process
      @param onFailure  called when a write to the data folder fails; the process must then end
      @returns the service; storage_corrupt or storage_failed when the folder cannot be used */
  static Expected<std::unique_ptr<ControlService>> create(const ControlSettings& settings,
                                                          Sender send,
                                                          FailureHandler onFailure);
  ~ControlService() override;

  [[nodiscard]] std::string_view name() const override { return kName; }
  void start() override;
  void stop() override;

  /** Queues a message from another process, or a query. */
  void post(Message message);

private:
  class Handler;
  explicit ControlService(std::unique_ptr<Handler> handler);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<kernel::Task<Handler>> task_;
};

} // namespace figchute::control
