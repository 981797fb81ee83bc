#include "http/EndConfirmation.h"

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
  , othersTimer_(context.io)
  , connectionTimer_(context.io)
{
  options_.connectTimeout = kConnectTimeout;
  options_.correlationName.clear();
  options_.maxConnections = std::numeric_limits<std::size_t>::max();
  options_.forceNewConnection = true;
}

void EndConfirmation::start(std::vector<std::weak_ptr<ClientConnection>> others,
                            Duration endedAt,
                            bool mayRefuse)
{
  // A connection that was opened after the end may lead to a process that was started since then.
  std::erase_if(others, [endedAt](const auto& weak) {
    const auto connection = weak.lock();
    return !connection || connection->establishedAt() > endedAt;
  });
  others_ = std::move(others);
  mayConnect_ = bootTime() - endedAt <= kMaxConnectDelay;
  endedAt_ = endedAt;
  mayRefuse_ = mayRefuse;
  if (others_.empty()) {
    connect();
    return;
  }
  observeOthers();
  if (isWitnessOnly())
    connect();
  else if (context_.confirmationAttempts(destination_).lastStartedAt < endedAt_)
    scheduleConnect();
}

void EndConfirmation::cancel()
{
  finished_ = nullptr;
  othersTimer_.cancel();
  connectionTimer_.cancel();
  closeConnection();
}

void EndConfirmation::observeOthers()
{
  const auto observationTime = isObservedLonger_ ? kLostEndTime : kObservationTime;
  othersTimer_.expires_after(observationTime);
  othersTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->finished_)
      self->onOthersObserved();
  });
}

void EndConfirmation::onOthersObserved()
{
  const bool isRefused = isPortClosed();
  const bool isConfirmed = isAnyOtherOpen();
  if (isRefused && isConfirmed && !std::exchange(isObservedLonger_, true)) {
    observeOthers();
    return;
  }
  if (isConfirmed || isRefused || hasConnectFailed_) {
    finish(isConfirmed);
    return;
  }
  others_.clear();
  if (connectAttempts_ == 0)
    connect();
}

void EndConfirmation::observeConnection()
{
  connectionTimer_.expires_after(kObservationTime);
  connectionTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->finished_)
      self->onConnectionObserved();
  });
}

void EndConfirmation::onConnectionObserved()
{
  if (connection_)
    finish(true);
  else
    connect();
}

bool EndConfirmation::isAnyOtherOpen() const
{
  return std::ranges::any_of(others_, [](const auto& weak) {
    const auto connection = weak.lock();
    return connection && connection->isOpenAtPeer();
  });
}

bool EndConfirmation::isWitnessOnly() const
{
  return std::ranges::all_of(others_, [](const auto& weak) {
    const auto connection = weak.lock();
    return connection && connection->isWitness();
  });
}

void EndConfirmation::scheduleConnect()
{
  context_.confirmationAttempts(destination_).lastStartedAt = bootTime() + kSharingDelay;
  connectionTimer_.expires_after(kSharingDelay);
  connectionTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->finished_ && self->connectAttempts_ == 0)
      self->connect();
  });
}

bool EndConfirmation::isPortClosed() const
{
  return !mayRefuse_ && context_.confirmationAttempts(destination_).lastRefusedAt >= endedAt_;
}

void EndConfirmation::connect()
{
  if (!mayConnect_) {
    failConnect();
    return;
  }
  ++connectAttempts_;
  context_.confirmationAttempts(destination_).lastStartedAt = bootTime();
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
    observeConnection();
}

void EndConfirmation::onFailure(const CallFailure& failure)
{
  connection_.reset();
  if (isConnected_)
    return;
  if (failure.portClosed)
    context_.confirmationAttempts(destination_).lastRefusedAt = bootTime();
  failConnect();
}

void EndConfirmation::failConnect()
{
  hasConnectFailed_ = true;
  if (others_.empty())
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
  othersTimer_.cancel();
  connectionTimer_.cancel();
  closeConnection();
  if (const auto finished = std::exchange(finished_, nullptr))
    finished(confirmed);
}

} // namespace figchute::http::detail
