#include "http/FlushScheduler.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace figchute::http::detail {

FlushScheduler::FlushScheduler(boost::asio::execution_context& context)
  : service(context)
  , io_(static_cast<boost::asio::io_context&>(context))
{
}

FlushScheduler& FlushScheduler::of(boost::asio::io_context& io)
{
  return boost::asio::use_service<FlushScheduler>(static_cast<boost::asio::execution_context&>(io));
}

void FlushScheduler::add(std::shared_ptr<Flushable> flushable)
{
  pending_.push_back(std::move(flushable));
  if (scopeDepth_ == 0)
    postFlush();
}

void FlushScheduler::postFlush()
{
  if (std::exchange(posted_, true))
    return;
  boost::asio::post(io_, [this] {
    posted_ = false;
    const Scope scope(*this);
  });
}

void FlushScheduler::flushAll()
{
  // Output added during a flush is written in a posted event. Otherwise a producer that adds output
  // on each flush would starve the other sockets of the event loop.
  auto batch = std::exchange(pending_, {});
  ++scopeDepth_;
  for (auto& flushable : batch)
    flushable->flush();
  --scopeDepth_;
  if (!pending_.empty())
    postFlush();
  else if (batch.capacity() <= 256) {
    // Reuses the allocation unless it has grown large.
    batch.clear();
    pending_ = std::move(batch);
  }
}

void FlushScheduler::shutdown()
{
  pending_.clear();
}

FlushScheduler::Scope::Scope(FlushScheduler& flushScheduler)
  : flushScheduler_(flushScheduler)
{
  ++flushScheduler_.scopeDepth_;
}

FlushScheduler::Scope::~Scope()
{
  if (--flushScheduler_.scopeDepth_ == 0 && !flushScheduler_.pending_.empty())
    flushScheduler_.flushAll();
}

} // namespace figchute::http::detail
