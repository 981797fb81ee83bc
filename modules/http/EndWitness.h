#pragma once

#include "http/ClientConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string_view>

namespace figchute::http::detail {

/** A connection to an endpoint that carries no request. While it stays open, the endpoint's process
    is alive. All bodies at a destination that end with their connections share one: the endpoint
   may close its listening socket, and all its other connections, before the last of them ends.
   Failures of the connection are reported to nobody. Destroying the last pointer to a witness
   closes it. Thread safety: use only on the thread of the io_context. */
class EndWitness final
  : public CallListener
  , public std::enable_shared_from_this<EndWitness>
{
public:
  /** A body that ends within this time after its head needs no witness. */
  static constexpr Duration kOpenDelay = std::chrono::milliseconds(25);
  /** Time limit of the connection attempt; long enough for one lost packet. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1500);
  /** A connection that the endpoint closes earlier than this is not opened again, because an
      endpoint at its limit of connections closes each new one. */
  static constexpr Duration kMinLifetime = std::chrono::seconds(1);

  /** @param poolContext  opens the connection; it must outlive this object
      @param body         the exchange of the first body */
  EndWitness(PoolContext& poolContext, const Exchange& body);
  ~EndWitness() override;

  EndWitness(const EndWitness&) = delete;
  EndWitness& operator=(const EndWitness&) = delete;

  /** Opens the connection after kOpenDelay, unless there is one or an attempt is pending. Call it
      when a body begins. */
  void scheduleOpen();

  /** Closes the connection, so that another one may be opened within the limit.
      @returns whether there was one */
  bool close();

  /** Returns the connection; null if it is not established or the endpoint may have closed it. */
  [[nodiscard]] std::shared_ptr<ClientConnection> openConnection() const;

  void onConnected() override;
  void onSent() override {}
  /** Nothing was requested, so the connection proves nothing about the endpoint any more. */
  void onHead(const ResponseHead& /*head*/) override { close(); }
  void onBody(std::string_view /*bytes*/) override {}
  void onComplete(const ResponseEnd& /*end*/) override { connection_.reset(); }
  void onFailure(const CallFailure& failure) override;

private:
  void open();

  PoolContext& context_;
  Destination destination_;
  CallOptions options_;
  boost::asio::steady_timer timer_;
  bool isScheduled_ = false;
  /** Null when there is no connection. */
  std::shared_ptr<Exchange> connection_;
  /** When the connection was established; kNever before. */
  Duration establishedAt_ = kNever;
};

} // namespace figchute::http::detail
