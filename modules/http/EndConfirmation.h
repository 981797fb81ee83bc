#pragma once

#include "http/ClientConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace figchute::http::detail {

class EndWitness;

/** Finds out whether a process outlived the end of one of its connections. When a process ends, its
    kernel closes all of its connections and listening sockets, each in the same way as the process
    itself closes one. So the process is alive if another of its connections is still open a little
    later, or if it accepts a new one.
    Thread safety: use only on the thread of the io_context. */
class EndConfirmation final
  : public CallListener
  , public std::enable_shared_from_this<EndConfirmation>
{
public:
  using Finished = std::function<void(bool confirmed)>;

  /** A connection that is opened later than this after the end may lead to another process. */
  static constexpr Duration kMaxConnectDelay = std::chrono::milliseconds(100);
  /** How long the other connections are observed. A process that ends closes all within this time.
   */
  static constexpr Duration kObservationTime = std::chrono::milliseconds(50);
  /** Time limit of a new connection; long enough for one lost packet. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1500);

  /** @param context      opens new connections; it must outlive this object
      @param destination  the process, and the way to it
      @param options      the options of the call whose connection ended
      @param finished     called once with the result, unless cancel() is called before */
  EndConfirmation(PoolContext& context,
                  const Destination& destination,
                  CallOptions options,
                  Finished finished);

  /** Starts. Call it once.
      @param others   established connections to the destination, without the witness
      @param witness  the witness of the body that ended, or null
      @param endedAt  when the end of the connection reached this VM */
  void start(std::vector<std::weak_ptr<ClientConnection>> others,
             const EndWitness* witness,
             Duration endedAt);

  /** Ends without a call of the handler. */
  void cancel();

  void onConnected() override;
  void onSent() override {}
  /** Nothing was requested, so the connection must not be used again. */
  void onHead(const ResponseHead& /*head*/) override { closeConnection(); }
  void onBody(std::string_view /*bytes*/) override {}
  void onComplete(const ResponseEnd& /*end*/) override { connection_.reset(); }
  void onFailure(const CallFailure& failure) override;

private:
  void observe();
  void onObserved();
  void observeWitness();
  void onWitnessObserved();
  void connect();
  /** No other connection and no new one confirms the end. */
  void fail();
  void closeConnection();
  void finish(bool confirmed);
  [[nodiscard]] bool isAnyOtherOpen() const;

  PoolContext& context_;
  Destination destination_;
  CallOptions options_;
  /** Empty once the result is known. */
  Finished finished_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer witnessTimer_;
  std::vector<std::weak_ptr<ClientConnection>> others_;
  /** The connection of the witness while it is observed, else null. */
  std::shared_ptr<ClientConnection> witness_;
  bool mayConnect_ = true;
  /** Whether only the witness can still confirm the end. */
  bool hasFailed_ = false;
  /** The new connection; null when there is none or it was closed. */
  std::shared_ptr<Exchange> connection_;
  int connectAttempts_ = 0;
  bool isConnected_ = false;
};

} // namespace figchute::http::detail
