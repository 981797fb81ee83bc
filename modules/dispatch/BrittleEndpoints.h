#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "dispatch/EndpointTable.h"
#include "fleet/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace figchute::dispatch {

/** A service whose endpoints began to report that they are brittle, or ceased to. */
struct BrittleChange
{
  ServiceName service;
  /** The refusals in a second that an endpoint survives; nothing if the endpoints ceased. */
  std::optional<double> maxRefusals;
};

/** Bounds the requests that brittle endpoints have to refuse. A brittle endpoint crashes when it
   has to refuse more than a number of requests in one second.

    All endpoints of a service count as brittle from the first answer that says so, because a
   process may not have sent to the others. Processes know nothing of each other's sends. Therefore
   the queue of an endpoint is not used, only some processes use its last slots, and a process that
   was refused sends nothing for the time in which all processes together may be refused once.
    Thread safety: use one instance from one thread only. */
class BrittleEndpoints
{
public:
  /** The longest back-off after a refusal. */
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);

  /** Sets this process and all entry processes including it. */
  void setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes);

  /** Records what an answer of the endpoint itself said.
      @param sentAt       when the request was sent
      @param maxRefusals  the refusals in a second that the endpoint survives; nothing if the answer
                          did not say that it is brittle */
  void recordAnswer(const Endpoint& endpoint, Time sentAt, std::optional<double> maxRefusals);

  /** Records that an endpoint refused a request. */
  void recordRefusal(Time now, const Endpoint& endpoint);

  /** Returns whether an endpoint counts as brittle. */
  [[nodiscard]] bool isBrittle(const Endpoint& endpoint) const;

  /** Returns whether this process may send a request to the endpoint. */
  [[nodiscard]] bool maySend(Time now, const Endpoint& endpoint) const;

  /** Forgets the endpoints that are not in the table. */
  void retain(EndpointTable& endpoints);

  /** Returns the services whose endpoints began or ceased to be brittle since the last call. */
  std::vector<BrittleChange> takeChanges() { return std::exchange(changes_, {}); }

  /** Returns the number of refusals by brittle endpoints since the last call. */
  std::uint64_t takeRefusals() { return std::exchange(refusals_, 0); }

private:
  /** What the newest answer of an endpoint said. */
  struct Report
  {
    ServiceName service;
    Time sentAt;
    std::optional<double> maxRefusals;
    Time backoffEnd;
  };

  [[nodiscard]] std::optional<double> maxRefusalsOf(const Endpoint& endpoint) const;
  void updateService(const ServiceName& service);
  /** Returns the number of refusals per second that all processes together plan with. */
  [[nodiscard]] static double plannedRefusals(double maxRefusals);
  /** Returns the part of this process of the planned refusals per second. */
  [[nodiscard]] double plannedShare(double maxRefusals) const;
  /** Returns whether this process may use the last slots of an endpoint. */
  [[nodiscard]] bool mayFill(const Endpoint& endpoint, double maxRefusals) const;

  Fingerprint self_ = 0;
  std::vector<Fingerprint> processes_;
  std::map<std::uint64_t, Report> reports_;
  /** The lowest number of refusals by service; only services with brittle endpoints. */
  std::map<ServiceName, double> services_;
  std::vector<BrittleChange> changes_;
  std::uint64_t refusals_ = 0;
};

} // namespace figchute::dispatch
