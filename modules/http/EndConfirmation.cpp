#include "http/EndConfirmation.h"

#include "http/EndWitness.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figchute::http::detail {

EndConfirmation::EndConfirmation(PoolContext& context,
                                 const Destination& destination,
                                 CallOptions options,
                                 Finished finished)
  : context_(context)
  , destination_(destination)
  , options_(std::move(options))
  , finished_(std::move(finished))
  , timer_(context.io)
  , witnessTimer_(context.io)
{
  options_.connectTimeout = kConnectTimeout;
  options_.correlationName.clear();
  options_.maxConnections = std::numeric_limits<std::size_t>::max();
  options_.forceNewConnection = true;
}

void EndConfirmation::start(std::vector<std::weak_ptr<ClientConnection>> others,
                            const EndWitness* witness,
                            Duration endedAt)
{
  // A connection that was opened after the end may lead to a process that was started since then.
  std::erase_if(others, [endedAt](const auto& weak) {
    const auto connection = weak.lock();
    return !connection || connection->establishedAt() > endedAt;
  });
  others_ = std::move(others);
  mayConnect_ = bootTime() - endedAt <= kMaxConnectDelay;
  witness_ = witness ? witness->openConnection() : nullptr;
  if (witness_ && witness_->establishedAt() > endedAt)
    witness_.reset();
  if (witness_)
    observeWitness();
  if (others_.empty())
    connect();
  else
    observe();
}

void EndConfirmation::cancel()
{
  finished_ = nullptr;
  timer_.cancel();
  witnessTimer_.cancel();
  closeConnection();
}

void EndConfirmation::observe()
{
  timer_.expires_after(kObservationTime);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->finished_)
      self->onObserved();
  });
}

void EndConfirmation::onObserved()
{
  if (isAnyOtherOpen() || connection_)
    finish(true);
  else
    connect();
}

void EndConfirmation::observeWitness()
{
  witnessTimer_.expires_after(kObservationTime);
  witnessTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->finished_)
      self->onWitnessObserved();
  });
}

void EndConfirmation::onWitnessObserved()
{
  const auto witness = std::exchange(witness_, nullptr);
  if (witness->isOpenAtPeer())
    finish(true);
  else if (hasFailed_)
    finish(false);
}

bool EndConfirmation::isAnyOtherOpen() const
{
  return std::ranges::any_of(others_, [](const auto& weak) {
    const auto connection = weak.lock();
    return connection && connection->isOpenAtPeer();
  });
}

void EndConfirmation::connect()
{
  if (!mayConnect_) {
    fail();
    return;
  }
  ++connectAttempts_;
  isConnected_ = false;
  connection_ = std::make_shared<Exchange>();
  connection_->listener = this;
  connection_->destination = destination_;
  connection_->options = options_;
  context_.assign(connection_);
}

void EndConfirmation::onConnected()
{
  isConnected_ = true;
  // A process at its limit of connections resets a new one, but goes on accepting others.
  if (connectAttempts_ > 1)
    finish(true);
  else
    observe();
}

void EndConfirmation::onFailure(const CallFailure& /*failure*/)
{
  connection_.reset();
  if (!isConnected_)
    fail();
}

void EndConfirmation::fail()
{
  hasFailed_ = true;
  if (!witness_)
    finish(false);
}

void EndConfirmation::closeConnection()
{
  const auto exchange = std::exchange(connection_, nullptr);
  if (!exchange)
    return;
  exchange->listener = nullptr;
  if (exchange->connection) {
    const auto connection = exchange->connection->shared_from_this();
    connection->close();
  }
}

void EndConfirmation::finish(bool confirmed)
{
  const auto self = shared_from_this();
  timer_.cancel();
  witnessTimer_.cancel();
  closeConnection();
  if (const auto finished = std::exchange(finished_, nullptr))
    finished(confirmed);
}

} // namespace figchute::http::detail
