#pragma once

#include "dispatch/CrashTable.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/SendTable.h"
#include "dispatch/Work.h"

#include <string>
#include <vector>

namespace figchute::dispatch {

/** Judges endpoints by the outcomes of sends: opens and closes their breakers, at most for half of
   a service, and tells crashes from lost answers. Thread safety: use one instance from one thread
   only. */
class EndpointHealth
{
public:
  /** @param endpoints  must outlive this object */
  explicit EndpointHealth(EndpointTable& endpoints)
    : endpoints_(endpoints)
  {
  }

  /** A send ended.
      @param full  the load explains a refusal by the endpoint */
  void ended(Time now,
             const RequestState& request,
             const Send& send,
             Endpoint& endpoint,
             Outcome outcome,
             bool full);

  /** The first byte of an answer came. */
  void answering(const Send& send) { crashes_.endpointAnswered(send.place, send.sentAt); }

  /** A send has had no bytes for too long. */
  void silent(Time now, const Send& send, Endpoint& endpoint);

  /** An endpoint left the registry or was started anew. */
  void gone(Time now, std::size_t place) { crashes_.endpointDown(now, place); }

  /** A send ended whose endpoint was gone before. */
  void endedAtGone(Time now, const RequestState& request, Outcome outcome);

  /** Requests that crash endpoints. */
  [[nodiscard]] CrashTable& crashes() { return crashes_; }

  /** Returns log lines since the last call. */
  std::vector<std::string> takeEvents();

private:
  void succeed(Time now, const Send& send, Endpoint& endpoint);
  void fail(Time now, const Send& send, Endpoint& endpoint, Fault fault, std::string_view reason);

  EndpointTable& endpoints_;
  CrashTable crashes_;
  std::vector<std::string> events_;
};

} // namespace figchute::dispatch
