#include "control/ControlService.h"

#include <fmt/format.h>
#include <optional>
#include <random>

namespace figchute::control {
namespace {

/** Returns a random id for a new data folder. */
std::string makeDiskId()
{
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

std::vector<replication::MemberId> memberIds(const std::vector<ProcessId>& processes)
{
  std::vector<replication::MemberId> members;
  members.reserve(processes.size());
  for (const auto& process : processes) {
    members.push_back({ process, "" });
  }
  return members;
}

} // namespace

/** Owns the data folder and the core; runs on the task's thread. */
class ControlService::Handler
{
public:
  using Message = ControlService::Message;
  static Duration tickInterval() { return std::chrono::milliseconds(10); }

  Handler(replication::FileDisk disk, Sender send, FailureHandler onFailure)
    : disk_(std::move(disk))
    , storage_(disk_)
    , send_(std::move(send))
    , onFailure_(std::move(onFailure))
  {
  }

  Expected<void> recover(const ControlSettings& settings)
  {
    auto recoveredState = storage_.recover(makeDiskId());
    if (!recoveredState) {
      return tl::unexpected(recoveredState.error());
    }
    replication::LogConfig config;
    config.self = settings.self;
    config.initialMembers = memberIds(settings.initialMembers);
    config.seed = settings.seed;
    auto core =
      ControlCore::create([this](const replication::Ready& ready) { return storage_.save(ready); },
                          std::move(config),
                          std::move(*recoveredState),
                          kernel::currentTime());
    if (!core) {
      return tl::unexpected(core.error());
    }
    core_.emplace(std::move(*core));
    return {};
  }

  void receive(Time now, Message message)
  {
    if (auto* received = std::get_if<transport::ReceivedMessage>(&message)) {
      core_->receive(now, received->from, received->incarnation, received->channel, received->body);
      return;
    }
    std::get<ControlQuery>(message).inspect(now, *core_);
  }

  void finishBatch(Time now)
  {
    if (stopped_) {
      return;
    }
    if (const auto advanceResult = core_->advance(now); !advanceResult) {
      stopped_ = true;
      onFailure_(advanceResult.error());
      return;
    }
    for (auto& message : core_->takeOutgoing()) {
      send_(std::move(message));
    }
  }

private:
  replication::FileDisk disk_;
  replication::LogStorage<replication::FileDisk> storage_;
  std::optional<ControlCore> core_;
  Sender send_;
  FailureHandler onFailure_;
  bool stopped_ = false;
};

Expected<std::unique_ptr<ControlService>> ControlService::create(const ControlSettings& settings,
                                                                 Sender send,
                                                                 FailureHandler onFailure)
{
  auto disk = replication::FileDisk::open(settings.dataFolder);
  if (!disk) {
    return tl::unexpected(disk.error());
  }
  auto handler = std::make_unique<Handler>(std::move(*disk), std::move(send), std::move(onFailure));
  if (auto recoverResult = handler->recover(settings); !recoverResult) {
    return tl::unexpected(recoverResult.error());
  }
  return std::unique_ptr<ControlService>(new ControlService(std::move(handler)));
}

ControlService::ControlService(std::unique_ptr<Handler> handler)
  : handler_(std::move(handler))
  , task_(std::make_unique<kernel::Task<Handler>>(*handler_))
{
}

ControlService::~ControlService() = default;

void ControlService::start()
{
  task_->start();
}

void ControlService::stop()
{
  task_->stop();
}

void ControlService::post(Message message)
{
  task_->post(std::move(message));
}

} // namespace figchute::control
