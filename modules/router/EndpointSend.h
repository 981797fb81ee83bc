#pragma once

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "http/http.h"
#include "router/EgressSelector.h"
#include "router/EventRelay.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace figchute::router {

struct EndpointSend;

/** Receives the events of sends, see http::CallListener. It may destroy a send in its events. */
class SendListener
{
public:
  virtual ~SendListener() = default;

  virtual void onConnected(EndpointSend& send) = 0;
  virtual void onSent(EndpointSend& send) = 0;
  virtual void onHead(EndpointSend& send, const http::ResponseHead& head) = 0;
  virtual void onBody(EndpointSend& send, std::string_view bytes) = 0;
  virtual void onComplete(EndpointSend& send, const http::ResponseEnd& end) = 0;
  virtual void onFailure(EndpointSend& send, const http::CallFailure& failure) = 0;
  [[nodiscard]] virtual bool mayRefuseConnections(const EndpointSend& send) const = 0;
};

/** One send of a request to an endpoint. Destroying it cancels its call.
    Thread safety: use it on the thread of the event loop only. */
struct EndpointSend final : http::CallListener
{
  /** @param sendListener  must outlive the send
      @param id            identifies the request towards the dispatcher
      @param choice        the endpoint */
  EndpointSend(SendListener& sendListener, std::uint64_t id, dispatch::ChosenEndpoint choice)
    : listener(sendListener)
    , dispatchId(id)
    , endpoint(std::move(choice))
  {
  }

  ~EndpointSend() override { cancel(); }

  EndpointSend(const EndpointSend&) = delete;
  EndpointSend& operator=(const EndpointSend&) = delete;

  /** Ends the call, if there is one. */
  void cancel()
  {
    if (const auto ended = std::exchange(call, nullptr)) {
      ended->cancel();
    }
  }

  void onConnected() override { listener.onConnected(*this); }
  void onSent() override { listener.onSent(*this); }
  void onHead(const http::ResponseHead& head) override { listener.onHead(*this, head); }
  void onBody(std::string_view bytes) override { listener.onBody(*this, bytes); }
  void onComplete(const http::ResponseEnd& end) override { listener.onComplete(*this, end); }
  void onFailure(const http::CallFailure& failure) override { listener.onFailure(*this, failure); }
  [[nodiscard]] bool mayRefuseConnections() const override
  {
    return listener.mayRefuseConnections(*this);
  }

  SendListener& listener;
  std::uint64_t dispatchId;
  dispatch::ChosenEndpoint endpoint;
  /** The entry process whose tunnel the send uses; nothing if it is direct. */
  std::optional<EgressSelector::Peer> tunnelPeer;
  Time startedAt;
  /** When the deadline expires that the send hands to its endpoint. */
  Time deadline;
  /** Start of the send, then the arrival of the last byte from the endpoint. */
  Time lastByteAt;
  /** Null before the start, and once the call has ended. */
  std::shared_ptr<http::Call> call;
  /** The first byte of the request was written, at sentAt. */
  bool sent = false;
  Time sentAt;
  /** The endpoint has been silent for too long. */
  bool stalled = false;
  /** The first byte of the response has been reported to the dispatcher. */
  bool firstByteReported = false;
  /** What ends the body of the response; nothing before its head. */
  std::optional<http::BodyDelimiter> bodyDelimiter;
  /** Reads the response while it is not known whether it goes on with the stream. */
  std::optional<EventRelay> continuation;
};

} // namespace figchute::router
