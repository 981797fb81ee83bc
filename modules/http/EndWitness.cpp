#include "http/EndWitness.h"

#include <utility>

namespace figchute::http::detail {

EndWitness::EndWitness(PoolContext& poolContext, const Exchange& body)
  : context_(poolContext)
  , destination_(body.destination)
  , options_(body.options)
  , timer_(poolContext.io)
{
  options_.connectTimeout = kConnectTimeout;
  options_.correlationName.clear();
  options_.forceNewConnection = true;
}

EndWitness::~EndWitness()
{
  close();
}

void EndWitness::scheduleOpen()
{
  if (connection_ || std::exchange(isScheduled_, true))
    return;
  timer_.expires_after(kOpenDelay);
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (error || !self)
      return;
    self->isScheduled_ = false;
    self->open();
  });
}

void EndWitness::open()
{
  establishedAt_ = kNever;
  connection_ = std::make_shared<Exchange>();
  connection_->listener = this;
  connection_->destination = destination_;
  connection_->options = options_;
  connection_->isWitness = true;
  context_.assign(connection_);
}

bool EndWitness::close()
{
  const auto exchange = std::exchange(connection_, nullptr);
  if (!exchange)
    return false;
  exchange->listener = nullptr;
  if (exchange->connection) {
    const auto connection = exchange->connection->shared_from_this();
    connection->close();
  }
  return true;
}

std::shared_ptr<ClientConnection> EndWitness::openConnection() const
{
  if (!connection_ || !connection_->connection || !connection_->connection->isOpenAtPeer())
    return nullptr;
  return connection_->connection->shared_from_this();
}

void EndWitness::onConnected()
{
  establishedAt_ = bootTime();
}

void EndWitness::onFailure(const CallFailure& /*failure*/)
{
  connection_.reset();
  // After a refusal, another attempt could only reach a process that took the place of this one.
  if (establishedAt_ != kNever && bootTime() - establishedAt_ >= kMinLifetime)
    open();
}

} // namespace figchute::http::detail
