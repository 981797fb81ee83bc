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

/** A selector that tells which device was added last. The client gives no access to its socket,
    but adds it to its selector. */
class LinkSelector : public cxxtools::Selector
{
public:
  /** Returns the device added since the last call, or nullptr. */
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

/** One connection to an endpoint with the call that runs on it. Used on one worker thread. */
class UpstreamLink : public cxxtools::Connectable
{
public:
  using Clock = std::chrono::steady_clock;

  /** Creates a connection that is opened by the first call.
      @param finished  gets the id of each call that has ended */
  UpstreamLink(LinkSelector& selector,
               std::vector<RequestId>& finished,
               const std::string& host,
               std::uint16_t port);

  /** Starts a call. Events follow from the selector; a failure to start is an event too.
      Precondition: the link is new, or isReusable() holds. */
  void begin(UpstreamCall call, UpstreamCallback callback);

  /** Ends the call as `endpoint_timeout` when it is overdue. */
  void checkDeadline(Clock::time_point now);

  /** Tells whether the call has ended, so that no further event comes. */
  [[nodiscard]] bool isFinished() const { return finished_; }

  /** Tells whether another call may run on the connection: the whole answer was received, carried
      the right request id, and left no bytes behind. */
  [[nodiscard]] bool isReusable() const { return finished_ && reusable_; }

  [[nodiscard]] bool hasFailed() const { return failed_; }
  [[nodiscard]] bool wasMismatched() const { return mismatched_; }
  [[nodiscard]] const UpstreamCall& call() const { return call_; }

private:
  void fillRequest();
  void onRequestSent(cxxtools::http::Client& client);
  void onHeader(cxxtools::http::Client& client);
  std::size_t onBody(cxxtools::http::Client& client);
  void onFinished(cxxtools::http::Client& client);
  [[nodiscard]] Error checkHeader(const cxxtools::http::ReplyHeader& header) const;
  [[nodiscard]] bool requestOnItsWay() const;
  std::size_t takeAvailable(cxxtools::http::Client& client);
  [[nodiscard]] bool chunksEnded(cxxtools::http::Client& client) const;
  void complete();
  void fail(ErrorKind kind, std::string detail);
  void end();
  void restartDeadline(Duration timeout);

  LinkSelector& selector_;
  std::vector<RequestId>& finishedCalls_;
  std::string peer_;
  UpstreamCall call_;
  UpstreamCallback callback_;
  Clock::time_point deadline_;
  std::uint64_t bodyBytes_ = 0;
  cxxtools::IODevice* socket_ = nullptr;
  bool isChunked_ = false;
  bool used_ = false;
  bool started_ = false;
  bool requestSent_ = false;
  bool headReceived_ = false;
  bool echoed_ = false;
  bool finished_ = true;
  bool reusable_ = false;
  bool failed_ = false;
  bool mismatched_ = false;
  // The client refers to the request while it runs, so the request is declared first.
  cxxtools::http::Request request_;
  cxxtools::http::Client client_;
};

} // namespace figchute::gateway::detail
