#include "dispatch/SendTimeouts.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** An endpoint with open requests of this process counts as failed after this time without any
    bytes. The largest pause between events that is still on time is 0.5 s. */
constexpr Duration kMaxTimeBetweenBytes = std::chrono::milliseconds(1200);
/** A send is overdue after this multiple of its predicted time to first token, or after the target
    if that is longer, plus the margin. */
constexpr int kOverdueFactor = 4;
constexpr Duration kOverdueMargin = std::chrono::milliseconds(500);

/** Before the first byte, an endpoint that has sent no bytes at all since the request counts as
    failed after the target of the request or this multiple of the prediction, whichever is longer.
    With half of the target and twice the prediction, engines with long prompts counted as failed
    and 0.4% of the requests were repeated under normal load. */
constexpr int kFirstByteTimeoutFactor = 3;
/** A trial times out after this many tenths of the target, so that another endpoint can still
    answer the request on time. */
constexpr int kTrialTimeoutTenths = 4;

} // namespace

bool isOverdue(Time now, const RequestState& request, Time lastEndpointByte)
{
  const auto& send = *request.send;
  if (send.readingPaused) {
    return false;
  }
  const auto timeSinceLastByte = now - std::max(send.lastByteAt, lastEndpointByte);
  if (send.firstByteReceived) {
    return timeSinceLastByte > kMaxTimeBetweenBytes;
  }
  const auto minFirstByteTimeout =
    send.trial ? kTrialTimeoutTenths * request.target / 10 : request.target;
  if (timeSinceLastByte >
      std::max(minFirstByteTimeout, kFirstByteTimeoutFactor * send.predictedTtft)) {
    return true;
  }
  const auto maxSendAge =
    std::max(request.target, kOverdueFactor * send.predictedTtft) + kOverdueMargin;
  return now - send.sentAt > maxSendAge;
}

} // namespace figchute::dispatch
