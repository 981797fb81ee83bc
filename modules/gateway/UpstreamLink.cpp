#include "gateway/UpstreamLink.h"

#include <cxxtools/ioerror.h>
#include <exception>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace figchute::gateway::detail {
namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool mayHaveNoBody(unsigned status)
{
  return status == kNoContent || status == kNotModified;
}

} // namespace

UpstreamLink::UpstreamLink(LinkSelector& selector,
                           std::vector<RequestId>& finished,
                           const std::string& host,
                           std::uint16_t port)
  : selector_(selector)
  , finishedCalls_(finished)
  , peer_(fmt::format("{}:{}", host, port))
{
  client_.setSelector(selector);
  client_.prepareConnect(host, port);
  connect(client_.requestSent, *this, &UpstreamLink::onRequestSent);
  connect(client_.headerReceived, *this, &UpstreamLink::onHeader);
  connect(client_.bodyAvailable, *this, &UpstreamLink::onBody);
  connect(client_.replyFinished, *this, &UpstreamLink::onFinished);
}

void UpstreamLink::begin(UpstreamCall call, UpstreamCallback callback)
{
  used_ = reusable_;
  call_ = std::move(call);
  callback_ = std::move(callback);
  bodyBytes_ = 0;
  isChunked_ = false;
  requestSent_ = headReceived_ = echoed_ = finished_ = reusable_ = failed_ = mismatched_ = false;
  restartDeadline(call_.connectTimeout);
  try {
    started_ = false;
    fillRequest();
    started_ = true;
    selector_.takeLastAdded();
    client_.beginExecute(request_);
    if (auto* added = selector_.takeLastAdded()) {
      socket_ = dynamic_cast<cxxtools::IODevice*>(added);
    }
  } catch (const std::exception& error) {
    // On a new connection the client only starts to connect, so nothing was sent.
    started_ = started_ && used_;
    fail(ErrorKind::endpointFailed, error.what());
  }
}

void UpstreamLink::fillRequest()
{
  request_.clear();
  request_.method(call_.method);
  request_.url(call_.target);
  for (const auto& header : call_.headers) {
    request_.setHeader(header.name.c_str(), header.value.c_str());
  }
  request_.setHeader(kRequestIdHeader, call_.request.value.c_str());
  request_.body() << call_.body;
}

void UpstreamLink::onRequestSent(cxxtools::http::Client& /*client*/)
{
  if (finished_) {
    return;
  }
  if (requestSent_) {
    fail(ErrorKind::endpointFailed, "the kept connection was closed before an answer");
    return;
  }
  requestSent_ = true;
  call_.body = {};
  restartDeadline(call_.firstByteTimeout);
  if (used_) {
    // When a kept connection breaks before an answer, the client sends its request again by itself
    // on a new connection, even if the endpoint had read it. What it would send again is replaced
    // by a request without effect; the second signal then fails the call.
    request_.clear();
    request_.method("OPTIONS");
    request_.url("*");
  }
}

Error UpstreamLink::checkHeader(const cxxtools::http::ReplyHeader& header) const
{
  const auto* id = header.getHeader(kRequestIdHeader);
  // On a kept connection an answer without id could be a late one to an earlier request.
  if (id == nullptr ? used_ : call_.request.view() != id) {
    return { ErrorKind::answerMismatch,
             fmt::format("endpoint {} answered request {} with id \"{}\"",
                         peer_,
                         call_.request.view(),
                         id == nullptr ? "" : id) };
  }
  const auto status = header.httpReturnCode();
  if (status < 200 || status > 599) {
    return { ErrorKind::endpointFailed, fmt::format("endpoint {} gave status {}", peer_, status) };
  }
  const bool hasLength = header.hasHeader("Content-Length");
  const bool isChunked = header.chunkedTransferEncoding();
  if (hasLength && isChunked) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} gave both a length and chunking", peer_) };
  }
  if (!hasLength && !isChunked && !mayHaveNoBody(status)) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} gave neither a length nor chunking", peer_) };
  }
  return {};
}

void UpstreamLink::onHeader(cxxtools::http::Client& client)
{
  if (finished_) {
    return;
  }
  const auto& header = client.header();
  headReceived_ = true;
  if (auto error = checkHeader(header); !error.detail.empty()) {
    mismatched_ = error.kind == ErrorKind::answerMismatch;
    fail(error.kind, std::move(error.detail));
    return;
  }
  echoed_ = header.hasHeader(kRequestIdHeader);
  isChunked_ = header.chunkedTransferEncoding() && socket_ != nullptr;
  if (isChunked_) {
    // chunksEnded() reads from the stream; with this it does not wait for bytes.
    socket_->setTimeout(0);
  }
  restartDeadline(call_.progressTimeout);
  UpstreamHead head{ static_cast<int>(header.httpReturnCode()), {} };
  for (const auto& [name, value] : header) {
    // The client keeps the colon as part of the name.
    std::string_view field(name);
    if (field.ends_with(':')) {
      field.remove_suffix(1);
    }
    head.headers.push_back({ std::string(field), value });
  }
  callback_(std::move(head));
}

std::size_t UpstreamLink::onBody(cxxtools::http::Client& client)
{
  std::size_t count = takeAvailable(client);
  if (!isChunked_ || finished_) {
    return count;
  }
  // The client does not notice the last chunk when it comes in one read with the chunk before it.
  while (!chunksEnded(client)) {
    const auto more = takeAvailable(client);
    if (more == 0) {
      return count;
    }
    count += more;
  }
  // The chunk reader has read the whole message, so the connection can take the next request even
  // when the client does not report the end.
  reusable_ = echoed_ && client.header().keepAlive();
  complete();
  return count;
}

std::size_t UpstreamLink::takeAvailable(cxxtools::http::Client& client)
{
  const auto available = client.in().rdbuf()->in_avail();
  if (available <= 0) {
    return 0;
  }
  std::string bytes(static_cast<std::size_t>(available), '\0');
  bytes.resize(static_cast<std::size_t>(client.in().rdbuf()->sgetn(bytes.data(), available)));
  const auto count = bytes.size();
  if (!finished_) {
    bodyBytes_ += count;
    restartDeadline(call_.progressTimeout);
    callback_(UpstreamBody{ std::move(bytes) });
  }
  return count;
}

/** Tells whether the last chunk was read. It may read further bytes from the socket, but does not
    wait for them. */
bool UpstreamLink::chunksEnded(cxxtools::http::Client& client) const
{
  try {
    // The end of the connection looks like the last chunk, but is no complete answer.
    return client.in().rdbuf()->sgetc() == std::char_traits<char>::eof() && !socket_->eof();
  } catch (const cxxtools::IOTimeout&) {
    return false;
  } catch (const std::exception&) {
    // The client meets the same fault when it goes on, and reports it by replyFinished.
    return false;
  }
}

/** Delivers the end of the answer. */
void UpstreamLink::complete()
{
  end();
  std::exchange(callback_, {})(UpstreamDone{});
}

void UpstreamLink::onFinished(cxxtools::http::Client& client)
{
  try {
    client.endExecute();
  } catch (const std::exception& error) {
    reusable_ = false;
    if (!finished_) {
      fail(ErrorKind::endpointFailed, fmt::format("endpoint {}: {}", peer_, error.what()));
    }
    return;
  }
  if (failed_) {
    return;
  }
  const auto& header = client.header();
  const bool hasLength =
    header.hasHeader("Content-Length") && !mayHaveNoBody(header.httpReturnCode());
  if (!headReceived_ || (hasLength && header.contentLength() != bodyBytes_)) {
    fail(ErrorKind::endpointFailed, fmt::format("endpoint {} ended its answer early", peer_));
    return;
  }
  reusable_ = echoed_ && header.keepAlive() && client.in().rdbuf()->in_avail() <= 0;
  if (!finished_) {
    complete();
  }
}

bool UpstreamLink::requestOnItsWay() const
{
  return requestSent_ || (started_ && (socket_ == nullptr || socket_->writing()));
}

void UpstreamLink::fail(ErrorKind kind, std::string detail)
{
  UpstreamFailed event{ { kind, std::move(detail) }, false, false };
  event.mayHaveBeenSent = requestOnItsWay();
  event.reusedConnection = used_ && !headReceived_ && kind == ErrorKind::endpointFailed;
  end();
  failed_ = true;
  std::exchange(callback_, {})(std::move(event));
}

void UpstreamLink::end()
{
  finished_ = true;
  finishedCalls_.push_back(call_.request);
}

void UpstreamLink::checkDeadline(Clock::time_point now)
{
  if (finished_ || now < deadline_) {
    return;
  }
  const auto* phase = headReceived_  ? "stopped sending its answer"
                      : requestSent_ ? "sent no answer in time"
                                     : "accepted no connection in time";
  fail(ErrorKind::endpointTimeout, fmt::format("endpoint {} {}", peer_, phase));
}

void UpstreamLink::restartDeadline(Duration timeout)
{
  deadline_ = Clock::now() + timeout;
}

} // namespace figchute::gateway::detail
