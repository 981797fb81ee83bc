#pragma once

#include "gateway/UpstreamPool.h"

#include <chrono>
#include <cstdint>
#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/iodevice.h>
#include <cxxtools/selector.h>
#include <string>
#include <utility>
#include <vector>

namespace figchute::gateway::detail {

/** A selector that records which device was added last. cxxtools::http::Client gives no access to
    its socket, but adds it to its selector. */
class TrackingSelector : public cxxtools::Selector
{
public:
  /** Returns the device that was added last since the previous call, or nullptr. */
  cxxtools::Selectable* takeLastAdded() { return std::exchange(lastAdded_, nullptr); }

protected:
  void onAdd(cxxtools::Selectable& device) override
  {
    lastAdded_ = &device;
    Selector::onAdd(device);
  }

private:
  cxxtools::Selectable* lastAdded_ = nullptr;
};

/** One connection to an endpoint and the call that runs on it.
    Thread safety: not thread-safe; use it only on its worker's thread. */
class UpstreamConnection : public cxxtools::Connectable
{
public:
  using Clock = std::chrono::steady_clock;

  /** Creates a connection object; the first begin() opens the connection.
      @param selector  dispatches the events of the connection
      @param finished  receives the id of each call that has ended
      @param host      the IP address of the endpoint
      @param port      the port of the endpoint */
  UpstreamConnection(TrackingSelector& selector,
                     std::vector<RequestId>& finished,
                     const std::string& host,
                     std::uint16_t port);

  /** Starts a call. The selector delivers its events; when the call cannot be started,
      UpstreamFailed is delivered within this method.
      Precondition: no call was started before, or isReusable() returns true. */
  void begin(UpstreamCall call, UpstreamCallback callback);

  /** Fails the call with `endpoint_timeout` if its deadline has passed. */
  void checkDeadline(Clock::time_point now);

  /** Returns true if the call has ended; no further event follows. */
  [[nodiscard]] bool isFinished() const { return finished_; }

  /** Returns true if the connection can be used for another call: the complete response was
      received, it carried the request's id, and no unread bytes are left. */
  [[nodiscard]] bool isReusable() const { return finished_ && reusable_; }

  [[nodiscard]] bool hasFailed() const { return failed_; }
  [[nodiscard]] bool hasIdMismatch() const { return idMismatch_; }
  [[nodiscard]] const UpstreamCall& call() const { return call_; }

private:
  void fillRequest();
  void onRequestSent(cxxtools::http::Client& client);
  void onHeader(cxxtools::http::Client& client);
  std::size_t onBody(cxxtools::http::Client& client);
  void onFinished(cxxtools::http::Client& client);
  [[nodiscard]] Error checkHeader(const cxxtools::http::ReplyHeader& header) const;
  [[nodiscard]] bool requestMayHaveBeenSent() const;
  std::size_t deliverAvailableBody(cxxtools::http::Client& client);
  [[nodiscard]] bool lastChunkWasRead(cxxtools::http::Client& client) const;
  void completeCall();
  void failCall(ErrorKind kind, std::string detail);
  void endCall();
  void setDeadline(Duration timeout);

  TrackingSelector& selector_;
  std::vector<RequestId>& finishedCalls_;
  std::string endpointAddress_;
  UpstreamCall call_;
  UpstreamCallback callback_;
  Clock::time_point deadline_;
  std::uint64_t bodyBytes_ = 0;
  cxxtools::IODevice* socket_ = nullptr;
  bool isChunked_ = false;
  bool isReusedConnection_ = false;
  bool executionStarted_ = false;
  bool requestSent_ = false;
  bool headerReceived_ = false;
  bool requestIdEchoed_ = false;
  bool finished_ = true;
  bool reusable_ = false;
  bool failed_ = false;
  bool idMismatch_ = false;
  // Declared before client_: the client refers to the request and must be destroyed first.
  cxxtools::http::Request request_;
  cxxtools::http::Client client_;
};

} // namespace figchute::gateway::detail
