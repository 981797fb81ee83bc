#include "kernel/Kernel.h"

#include "core/Invariant.h"

namespace figchute::kernel {

void Kernel::addService(std::unique_ptr<Service> service)
{
  invariant(findService(service->name()) == nullptr, "each service has a name of its own");
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
  for (; started_ < services_.size(); ++started_) {
    services_[started_]->start();
  }
}

void Kernel::stopAll()
{
  while (started_ > 0) {
    --started_;
    services_[started_]->stop();
  }
}

} // namespace figchute::kernel
