#pragma once

#include <string_view>

namespace figchute::kernel {

/** A component of a process that the kernel starts, stops and finds by name. */
class Service
{
public:
  Service() = default;
  virtual ~Service() = default;
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  /** Returns the name by which other services find this one.
      Thread safety: safe from any thread. */
  [[nodiscard]] virtual std::string_view name() const = 0;

  /** Starts the threads and sockets of the service. The kernel calls this once, after it has
      started the services that were added before this one. */
  virtual void start() = 0;

  /** Stops the service and joins its threads. The kernel calls this once, before it stops the
      services that were added before this one. */
  virtual void stop() = 0;
};

} // namespace figchute::kernel
