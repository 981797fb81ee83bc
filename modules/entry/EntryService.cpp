#include "entry/EntryService.h"

#include "entry/EntryHandler.h"

namespace figchute::entry {

/** Makes EntryHandler usable as the private handler type of the service. */
class EntryService::Handler : public EntryHandler
{
public:
  using EntryHandler::EntryHandler;
};

Expected<std::unique_ptr<EntryService>> EntryService::create(EntrySettings settings,
                                                             Environment environment)
{
  auto handler = std::make_unique<Handler>(std::move(settings), std::move(environment));
  // The disk's callback needs the service, so the service is created before recovery.
  std::unique_ptr<EntryService> service(new EntryService(std::move(handler)));
  auto& serviceReference = *service;
  const auto recoveryResult =
    serviceReference.handler_->recover([&serviceReference](std::uint64_t recordCount) {
      serviceReference.post(JournalSynced{ recordCount });
    });
  if (!recoveryResult) {
    return tl::unexpected(recoveryResult.error());
  }
  serviceReference.handler_->connect(
    [&serviceReference](Message message) { serviceReference.post(std::move(message)); });
  return service;
}

EntryService::EntryService(std::unique_ptr<Handler> handler)
  : handler_(std::move(handler))
  , task_(std::make_unique<kernel::Task<Handler>>(*handler_))
{
}

EntryService::~EntryService() = default;

void EntryService::start()
{
  handler_->startDisk();
  task_->start();
}

void EntryService::stop()
{
  task_->stop();
  handler_->stopDisk();
}

void EntryService::post(Message message)
{
  task_->post(std::move(message));
}

bool EntryService::isDrained() const
{
  return handler_->isDrained();
}

} // namespace figchute::entry
