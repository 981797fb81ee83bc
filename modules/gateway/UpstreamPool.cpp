#include "gateway/UpstreamPool.h"

#include "gateway/UpstreamWorker.h"

#include <utility>

namespace figchute::gateway {

class UpstreamPool::Worker : public detail::UpstreamWorker
{
public:
  using UpstreamWorker::UpstreamWorker;
};

UpstreamPool::UpstreamPool(UpstreamLimits limits)
{
  const auto threads = limits.threads == 0 ? 1U : limits.threads;
  for (unsigned i = 0; i < threads; ++i) {
    workers_.push_back(std::make_unique<Worker>(limits));
  }
}

UpstreamPool::~UpstreamPool() = default;

UpstreamPool::Worker& UpstreamPool::workerFor(const RequestId& request)
{
  return *workers_[std::hash<RequestId>{}(request) % workers_.size()];
}

void UpstreamPool::start(UpstreamCall call, UpstreamCallback callback)
{
  auto& worker = workerFor(call.request);
  worker.start(std::move(call), std::move(callback));
}

void UpstreamPool::cancel(const RequestId& request)
{
  workerFor(request).cancel(request);
}

UpstreamCounters UpstreamPool::counters() const
{
  UpstreamCounters sum;
  for (const auto& worker : workers_) {
    const auto workerCounters = worker->counters();
    sum.calls += workerCounters.calls;
    sum.running += workerCounters.running;
    sum.connectionsReused += workerCounters.connectionsReused;
    sum.failed += workerCounters.failed;
    sum.cancelled += workerCounters.cancelled;
    sum.mismatched += workerCounters.mismatched;
  }
  return sum;
}

} // namespace figchute::gateway
