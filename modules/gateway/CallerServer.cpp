#include "gateway/CallerServer.h"

#include "gateway/ServerCore.h"

#include <utility>

namespace figchute::gateway {

class CallerServer::Impl : public detail::ServerCore
{
public:
  using ServerCore::ServerCore;
};

Expected<std::unique_ptr<CallerServer>> CallerServer::listen(ServerSettings settings,
                                                             RequestHandler& handler)
{
  auto impl = std::make_shared<Impl>(std::move(settings), handler);
  if (auto started = impl->start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(impl)));
}

CallerServer::CallerServer(std::shared_ptr<Impl> impl)
  : impl_(std::move(impl))
{
}

CallerServer::~CallerServer()
{
  impl_->shutDown();
}

std::uint16_t CallerServer::port() const
{
  return impl_->port();
}

void CallerServer::beginStop()
{
  impl_->beginStop();
}

bool CallerServer::waitUntilIdle(Duration limit)
{
  return impl_->waitUntilIdle(limit);
}

ServerCounters CallerServer::counters() const
{
  return impl_->counters();
}

} // namespace figchute::gateway
