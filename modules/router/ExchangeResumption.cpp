#include "router/Exchange.h"

#include <algorithm>

/** The part of Exchange that keeps the events of a stream at one software version, also when a
   caller takes the stream up again at another entry process. */
namespace figchute::router {
namespace {

/** Short, because another entry process may have begun the stream and know its origin. */
constexpr Duration kRetryAfterTimeout = std::chrono::milliseconds(100);

} // namespace

bool Exchange::isResumableStream() const
{
  return requestInfo_.kind == fleet::RouteKind::stream && requestInfo_.resumable;
}

Expected<void> Exchange::readResumption()
{
  const auto& names = services_.dialect.fields();
  const auto& fields = request_->head().fields;
  const auto count = fields.count(names.resumes);
  if (count > 1 || (count == 1 && fields.get(names.resumes).empty())) {
    return fail(ErrorKind::badRequest, "a resumed stream is named by one request id");
  }
  if (isResumableStream() && (count == 1 || !fields.get(names.lastEventId).empty())) {
    resumedRequestId_ = std::string(fields.get(names.resumes));
  }
  return {};
}

void Exchange::findOrigin(Time now)
{
  stage_ = Stage::waitingForOrigin;
  // A stream whose request was not named can go on only if a single version is in service.
  const auto& streamId = resumedRequestId_->empty() ? requestId_ : *resumedRequestId_;
  services_.origins.find(now,
                         id_,
                         fleet::streamFingerprint(requestInfo_.workspace, streamId),
                         fleet::RouteTable::pickService(*route_, streamId));
}

void Exchange::handleOrigin(Time now, const fleet::StreamOriginClient::Answer& answer)
{
  if (stage_ != Stage::waitingForOrigin) {
    return;
  }
  if (answer.isTimeout) {
    const Error error{ ErrorKind::noQuorum,
                       "control VMs did not answer which software version began the stream" };
    sendErrorResponse(now, error, kRetryAfterTimeout);
    return;
  }
  const auto& origin = answer.origin;
  if (!origin) {
    refuseResumption(now, "it is not known which software version began the stream");
    return;
  }
  const auto& split = route_->split;
  const bool isRouted = std::any_of(split.begin(), split.end(), [&origin](const auto& target) {
    return target.service == origin->service;
  });
  if (!isRouted) {
    refuseResumption(now, "the route no longer leads to the service that began the stream");
    return;
  }
  setService(origin->service);
  requestInfo_.softwareVersion = origin->softwareVersion;
  stage_ = Stage::created;
  reserve(now);
}

void Exchange::recordOrigin(Time now)
{
  if (!isResumableStream() || std::exchange(isOriginRecorded_, true)) {
    return;
  }
  requestInfo_.softwareVersion = send_->endpoint.softwareVersion;
  const auto isNamed = resumedRequestId_ && !resumedRequestId_->empty();
  const auto& streamId = isNamed ? *resumedRequestId_ : requestId_;
  services_.origins.add(now,
                        { fleet::streamFingerprint(requestInfo_.workspace, streamId),
                          requestInfo_.service,
                          send_->endpoint.softwareVersion });
  services_.onOriginAdded();
}

void Exchange::refuseResumption(Time now, std::string detail)
{
  sendErrorResponse(now, Error{ ErrorKind::resumeUnavailable, std::move(detail) }, Duration{ 0 });
}

} // namespace figchute::router
