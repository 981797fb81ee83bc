#include "http/Turn.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace figchute::http::detail {

Turn::Turn(boost::asio::execution_context& context)
  : service(context)
  , io_(static_cast<boost::asio::io_context&>(context))
{
}

Turn& Turn::of(boost::asio::io_context& io)
{
  return boost::asio::use_service<Turn>(static_cast<boost::asio::execution_context&>(io));
}

void Turn::add(std::shared_ptr<Flushable> flushable)
{
  waiting_.push_back(std::move(flushable));
  if (depth_ == 0)
    post();
}

void Turn::post()
{
  if (std::exchange(posted_, true))
    return;
  boost::asio::post(io_, [this] {
    posted_ = false;
    const Scope scope(*this);
  });
}

void Turn::flushAll()
{
  // Output added by a flush waits for a posted event: a producer that refills on each flush would
  // otherwise keep the loop from its other sockets.
  auto batch = std::exchange(waiting_, {});
  ++depth_;
  for (auto& flushable : batch)
    flushable->flush();
  --depth_;
  if (!waiting_.empty())
    post();
  else if (batch.capacity() <= 256) {
    batch.clear();
    waiting_ = std::move(batch);
  }
}

void Turn::shutdown()
{
  waiting_.clear();
}

Turn::Scope::Scope(Turn& turn)
  : turn_(turn)
{
  ++turn_.depth_;
}

Turn::Scope::~Scope()
{
  if (--turn_.depth_ == 0 && !turn_.waiting_.empty())
    turn_.flushAll();
}

} // namespace figchute::http::detail
