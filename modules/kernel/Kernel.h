#pragma once

#include "core/Error.h"
#include "kernel/Service.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::kernel {

/** Owns the services of a process.
    Thread safety: add(), startAll() and stopAll() are called from one thread; find() is safe from
    any thread between startAll() and stopAll(). */
class Kernel
{
public:
  /** Adds a service and takes ownership of it.
      Precondition: no service with the same name was added.
      @returns the service, owned by the kernel */
  template<typename T>
  T& add(std::unique_ptr<T> service)
  {
    T& addedService = *service;
    addService(std::move(service));
    return addedService;
  }

  /** Finds a service by its name and type.
      @returns the service, or nullptr if none with that name and type was added */
  template<typename T>
  T* find(std::string_view name) const
  {
    return dynamic_cast<T*>(findService(name));
  }

  /** Starts all services in the order in which they were added. */
  void startAll();

  /** Stops all started services in reverse order. */
  void stopAll();

private:
  void addService(std::unique_ptr<Service> service);
  [[nodiscard]] Service* findService(std::string_view name) const;

  std::vector<std::unique_ptr<Service>> services_;
  std::size_t startedCount_ = 0;
};

} // namespace figchute::kernel
