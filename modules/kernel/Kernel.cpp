#include "kernel/Kernel.h"

#include "core/Invariant.h"

namespace figchute::kernel {

void Kernel::addService(std::unique_ptr<Service> service)
{
  invariant(findService(service->name()) == nullptr, "service names must be unique");
  services_.push_back(std::move(service));
}

Service* Kernel::findService(std::string_view name) const
{
  for (const auto& service : services_) {
    if (service->name() == name) {
      return service.get();
    }
  }
  return nullptr;
}

void Kernel::startAll()
{
  for (; startedCount_ < services_.size(); ++startedCount_) {
    services_[startedCount_]->start();
  }
}

void Kernel::stopAll()
{
  while (startedCount_ > 0) {
    --startedCount_;
    services_[startedCount_]->stop();
  }
}

} // namespace figchute::kernel
