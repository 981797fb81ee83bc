#pragma once

#include <string_view>

namespace figchute::kernel {

/** A part of a process that the kernel starts, stops and finds by name. */
class Service
{
public:
  Service() = default;
  virtual ~Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  /** Returns the name under which other services find this one. Safe from any thread. */
  [[nodiscard]] virtual std::string_view name() const = 0;

  /** Starts the threads and sockets of the service. The kernel calls it once, after the services
      that were added before it have started. */
  virtual void start() = 0;

  /** Stops the service and waits for its threads. The kernel calls it once, before the services
      that were added before it are stopped. */
  virtual void stop() = 0;
};

} // namespace figchute::kernel
