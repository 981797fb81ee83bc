#include "http/ClientPool.h"

#include "http/ClientConnection.h"
#include "http/ConnectProbe.h"
#include "http/EndWitness.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>
#include <vector>

namespace figchute::http {

namespace {

using boost::asio::ip::tcp;
using detail::ClientConnection;
using detail::Destination;
using detail::EndWitness;
using detail::Exchange;

class CallHandle final : public Call
{
public:
  explicit CallHandle(std::shared_ptr<Exchange> exchange)
    : exchange_(std::move(exchange))
  {
  }

  ~CallHandle() override { cancelExchange(); }

  CallHandle(const CallHandle&) = delete;
  CallHandle& operator=(const CallHandle&) = delete;

  void cancel() override { cancelExchange(); }

  void pause() override { exchange_->paused = true; }

  void resume() override
  {
    if (std::exchange(exchange_->paused, false) && exchange_->connection)
      exchange_->connection->resume();
  }

  [[nodiscard]] std::optional<Duration> timeSinceEnd() const override
  {
    return exchange_->connection ? exchange_->connection->timeSinceEnd() : std::nullopt;
  }

private:
  void cancelExchange()
  {
    exchange_->listener = nullptr;
    if (exchange_->connection) {
      const auto connection = exchange_->connection->shared_from_this();
      connection->close();
    }
  }

  std::shared_ptr<Exchange> exchange_;
};

/** Returns the Content-Length to send, or nothing if the request has no body and its method does
    not expect one. */
std::optional<std::uint64_t> contentLength(const RequestHead& head,
                                           const std::shared_ptr<const std::string>& body)
{
  if (body && !body->empty())
    return body->size();
  const bool expectsBody = head.method == "POST" || head.method == "PUT" ||
                           head.method == "PATCH" || head.length || head.chunked;
  return expectsBody ? std::optional<std::uint64_t>(0) : std::nullopt;
}

} // namespace

std::string_view toString(CallFailureKind kind)
{
  switch (kind) {
    case CallFailureKind::connectRefused:
      return "connect_refused";
    case CallFailureKind::connectTimeout:
      return "connect_timeout";
    case CallFailureKind::connectionLimit:
      return "connection_limit";
    case CallFailureKind::reset:
      return "reset";
    case CallFailureKind::closed:
      return "closed";
    case CallFailureKind::unconfirmedEnd:
      return "unconfirmed_end";
    case CallFailureKind::malformed:
      return "malformed";
    case CallFailureKind::proxyFailed:
      return "proxy_failed";
  }
  return "unknown";
}

class ClientPool::Impl final : public detail::PoolContext
{
public:
  explicit Impl(boost::asio::io_context& context)
    : PoolContext(context)
  {
    timer = std::make_shared<detail::DeadlineTimer>(
      context, [this](Duration now) { return checkDeadlines(now); });
  }

  void assign(const std::shared_ptr<Exchange>& exchange) override
  {
    const auto now = detail::bootTime();
    while (!exchange->options.forceNewConnection) {
      const auto entry = destinations_.find(exchange->destination);
      if (entry == destinations_.end() || entry->second.idle.empty())
        break;
      auto& idle = entry->second.idle;
      const auto connection = idle.back()->shared_from_this();
      idle.pop_back();
      // After the process was suspended, the deadline may have passed without the timer having run.
      if (connection->deadline() > now) {
        connection->startExchange(exchange);
        return;
      }
      connection->close();
    }
    open(exchange);
  }

  void onConnectionIdle(ClientConnection& connection) override
  {
    destinations_[connection.destination()].idle.push_back(&connection);
  }

  void onConnectionClosed(ClientConnection& connection) override
  {
    const auto entry = destinations_.find(connection.destination());
    if (entry == destinations_.end())
      return;
    auto& openConnections = entry->second.connections;
    std::erase(entry->second.idle, &connection);
    auto& last = openConnections.back();
    last->index = connection.index;
    std::swap(openConnections[connection.index], last);
    openConnections.pop_back();
    if (openConnections.empty())
      destinations_.erase(entry);
  }

  [[nodiscard]] std::shared_ptr<EndWitness> witnessFor(const Exchange& exchange) override
  {
    auto& entry = destinations_[exchange.destination];
    auto witness = entry.witness.lock();
    if (!witness) {
      witness = std::make_shared<EndWitness>(*this, exchange);
      entry.witness = witness;
    }
    return witness;
  }

  detail::ConfirmationAttempts& confirmationAttempts(const Destination& destination) override
  {
    return destinations_[destination].confirmationAttempts;
  }

  [[nodiscard]] std::vector<std::weak_ptr<ClientConnection>> othersOf(
    const ClientConnection& connection) const override
  {
    std::vector<std::weak_ptr<ClientConnection>> others;
    const auto entry = destinations_.find(connection.destination());
    if (entry == destinations_.end())
      return others;
    for (const auto& other : entry->second.connections)
      if (other.get() != &connection && other->isOpenAtPeer())
        others.push_back(other);
    return others;
  }

  void probe(const tcp::endpoint& address,
             Duration timeout,
             std::function<void(const boost::system::error_code&)> finished)
  {
    const auto probe = std::make_shared<detail::ConnectProbe>(io, std::move(finished));
    std::erase_if(probes_, [](const auto& other) { return other.expired(); });
    probes_.push_back(probe);
    probe->start(address, timeout);
  }

  void closeIdle(const Destination& destination)
  {
    const auto entry = destinations_.find(destination);
    if (entry == destinations_.end())
      return;
    const auto openConnections = entry->second.connections;
    for (const auto& connection : openConnections)
      if (connection->isIdle())
        connection->close();
  }

  [[nodiscard]] std::size_t connections(const Destination& destination) const
  {
    const auto entry = destinations_.find(destination);
    return entry == destinations_.end() ? 0 : entry->second.connections.size();
  }

  [[nodiscard]] std::uint64_t openedConnections() const { return openedConnections_; }

  void shutDown()
  {
    timer->stop();
    for (const auto& weakProbe : probes_) {
      if (const auto probe = weakProbe.lock()) {
        probe->cancel();
      }
    }
    for (const auto& connection : allConnections())
      connection->close();
  }

private:
  using Connections = std::vector<std::shared_ptr<ClientConnection>>;

  struct DestinationConnections
  {
    Connections connections;
    /** Ordered by last use, the most recently used connection last. */
    std::vector<ClientConnection*> idle;
    /** Empty while no body is read that ends with its connection. */
    std::weak_ptr<EndWitness> witness;
    detail::ConfirmationAttempts confirmationAttempts;
  };

  void open(const std::shared_ptr<Exchange>& exchange)
  {
    if (usedConnections(exchange->destination) >= exchange->options.maxConnections &&
        !freeConnectionFor(*exchange)) {
      postFailure(exchange,
                  CallFailureKind::connectionLimit,
                  "connection limit reached and all connections are busy");
      return;
    }
    const auto connection = std::make_shared<ClientConnection>(*this, exchange->destination);
    auto error = connection->connect(exchange);
    if (!error.empty()) {
      postFailure(exchange, CallFailureKind::connectRefused, std::move(error));
      return;
    }
    ++openedConnections_;
    auto& openConnections = destinations_[exchange->destination].connections;
    connection->index = openConnections.size();
    openConnections.push_back(connection);
  }

  /** Returns the number of connections without those that only confirm the end of a body; a witness
      counts. */
  [[nodiscard]] std::size_t usedConnections(const Destination& destination) const
  {
    const auto entry = destinations_.find(destination);
    if (entry == destinations_.end())
      return 0;
    return static_cast<std::size_t>(std::count_if(entry->second.connections.begin(),
                                                  entry->second.connections.end(),
                                                  [](const auto& connection) {
                                                    return connection->isWitness() ||
                                                           !connection->isConfirming();
                                                  }));
  }

  /** Closes a connection that serves no call. A witness takes the place of no other connection.
      @returns whether there was one */
  bool freeConnectionFor(const Exchange& exchange)
  {
    if (exchange.isWitness)
      return false;
    return closeOldestIdle(exchange.destination) || closeWitness(exchange.destination);
  }

  bool closeWitness(const Destination& destination)
  {
    const auto entry = destinations_.find(destination);
    const auto witness = entry == destinations_.end() ? nullptr : entry->second.witness.lock();
    return witness && witness->close();
  }

  bool closeOldestIdle(const Destination& destination)
  {
    const auto entry = destinations_.find(destination);
    if (entry == destinations_.end() || entry->second.idle.empty())
      return false;
    const auto connection = entry->second.idle.front()->shared_from_this();
    connection->close();
    return true;
  }

  void postFailure(const std::shared_ptr<Exchange>& exchange,
                   CallFailureKind kind,
                   std::string detail)
  {
    boost::asio::post(io, [exchange, kind, detail = std::move(detail)] {
      auto* const listener = std::exchange(exchange->listener, nullptr);
      if (!listener)
        return;
      CallFailure failure;
      failure.kind = kind;
      failure.detail = detail;
      listener->onFailure(failure);
    });
  }

  [[nodiscard]] Connections allConnections() const
  {
    Connections result;
    for (const auto& [destination, entry] : destinations_)
      result.insert(result.end(), entry.connections.begin(), entry.connections.end());
    return result;
  }

  Duration checkDeadlines(Duration now)
  {
    const detail::FlushScheduler::Scope scope(flushScheduler);
    auto next = detail::kNever;
    for (const auto& connection : allConnections())
      next = std::min(next, connection->checkDeadline(now));
    return next;
  }

  std::map<Destination, DestinationConnections> destinations_;
  std::vector<std::weak_ptr<detail::ConnectProbe>> probes_;
  std::uint64_t openedConnections_ = 0;
};

ClientPool::ClientPool(boost::asio::io_context& io)
  : impl_(std::make_shared<Impl>(io))
{
}

ClientPool::~ClientPool()
{
  impl_->shutDown();
}

std::shared_ptr<Call> ClientPool::start(const tcp::endpoint& address,
                                        RequestHead head,
                                        std::shared_ptr<const std::string> body,
                                        CallOptions options,
                                        CallListener& listener)
{
  auto exchange = std::make_shared<Exchange>();
  exchange->listener = &listener;
  exchange->destination.address = address;
  if (options.proxy)
    exchange->destination.proxy = options.proxy->address;
  exchange->options = std::move(options);
  const auto length = contentLength(head, body);
  detail::appendHead(exchange->requestHead, head, length, address);
  exchange->method = std::move(head.method);
  exchange->body = std::move(body);
  impl_->assign(exchange);
  return std::make_shared<CallHandle>(std::move(exchange));
}

void ClientPool::probe(const tcp::endpoint& address,
                       Duration timeout,
                       std::function<void(const boost::system::error_code&)> finished)
{
  impl_->probe(address, timeout, std::move(finished));
}

void ClientPool::closeIdle(const tcp::endpoint& address)
{
  impl_->closeIdle({ address });
}

std::size_t ClientPool::connections(const tcp::endpoint& address) const
{
  return impl_->connections({ address });
}

Traffic ClientPool::traffic() const
{
  return impl_->traffic;
}

std::uint64_t ClientPool::openedConnections() const
{
  return impl_->openedConnections();
}

} // namespace figchute::http
