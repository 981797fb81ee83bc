#pragma once

#include "http/ClientConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace figchute::http::detail {

/** Finds out whether a process outlived the end of one of its connections. When a process ends, its
    kernel closes all of its connections and listening sockets, each in the same way as the process
    itself closes one. So the process is alive if another of its connections is still open a little
    later, or if it accepts a new one. Both are tried at once. If nothing listens any more although
    the process should, the other connections are observed for longer: their ends may be lost on the
    way, or the process is about to leave and has not said so yet.
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
  /** How long the other connections are observed if nothing listens any more although the process
      should. An end that is lost twice on the way arrives within this time. */
  static constexpr Duration kLostEndTime = std::chrono::milliseconds(700);
  /** Ends of many bodies within this time lead to one new connection, so that they do not fill the
      endpoint's queue of new connections. */
  static constexpr Duration kSharingDelay = std::chrono::milliseconds(5);
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
      @param others     established connections to the destination
      @param endedAt    when the end of the connection reached this VM
      @param mayRefuse  whether a process that is alive may have closed its listening socket */
  void start(std::vector<std::weak_ptr<ClientConnection>> others, Duration endedAt, bool mayRefuse);

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
  void observeOthers();
  void onOthersObserved();
  void observeConnection();
  void onConnectionObserved();
  void connect();
  /** No new connection confirms the end. */
  void failConnect();
  void closeConnection();
  void finish(bool confirmed);
  [[nodiscard]] bool isAnyOtherOpen() const;
  /** Returns whether the witness is the only other connection. It may close before it has confirmed
      the end, which a new connection then confirms without delay. */
  [[nodiscard]] bool isWitnessOnly() const;
  /** Connects after kSharingDelay. The confirmations of ends until then rely on this attempt. */
  void scheduleConnect();
  /** Returns whether the address has refused a connection although the process must accept it. */
  [[nodiscard]] bool isPortClosed() const;

  PoolContext& context_;
  Destination destination_;
  CallOptions options_;
  /** Empty once the result is known. */
  Finished finished_;
  boost::asio::steady_timer othersTimer_;
  boost::asio::steady_timer connectionTimer_;
  /** Empty once they were observed and all had ended. */
  std::vector<std::weak_ptr<ClientConnection>> others_;
  Duration endedAt_{ 0 };
  bool mayConnect_ = true;
  bool mayRefuse_ = true;
  bool hasConnectFailed_ = false;
  /** The other connections are observed for kLostEndTime. */
  bool isObservedLonger_ = false;
  /** The new connection; null when there is none or it was closed. */
  std::shared_ptr<Exchange> connection_;
  int connectAttempts_ = 0;
  bool isConnected_ = false;
};

} // namespace figchute::http::detail
