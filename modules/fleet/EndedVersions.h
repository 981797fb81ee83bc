#pragma once

#include "core/core.h"
#include "wire/Codec.h"

#include <map>
#include <string>

namespace figchute::fleet {

/** The software versions whose endpoints left a service not long ago. Part of the replicated state.
    Thread safety: use one instance from one thread only. */
class EndedVersions
{
public:
  /** Much longer than a stream lasts, because an entry process that is detached from control may
     use an endpoint for some time after it left the registry. */
  static constexpr Duration kRetention = std::chrono::minutes(10);

  using Versions = std::map<std::string, Time>;

  /** Records that an endpoint of a version left a service. */
  void add(Time time, const ServiceName& service, const std::string& version)
  {
    services_[service][version] = time;
  }

  /** Returns the versions of a service by the time at which the last endpoint left. */
  [[nodiscard]] const Versions& of(const ServiceName& service) const
  {
    static const Versions kNone;
    const auto versions = services_.find(service);
    return versions == services_.end() ? kNone : versions->second;
  }

  /** Removes versions that ended more than kRetention ago. */
  void forget(Time time)
  {
    for (auto& [service, versions] : services_) {
      std::erase_if(versions,
                    [time](const auto& item) { return item.second + kRetention <= time; });
    }
  }

  MSGPACK_DEFINE(services_)

private:
  std::map<ServiceName, Versions> services_;
};

} // namespace figchute::fleet
