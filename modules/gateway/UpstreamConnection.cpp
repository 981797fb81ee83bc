#include "gateway/UpstreamConnection.h"

#include <charconv>
#include <cxxtools/ioerror.h>
#include <exception>
#include <fmt/format.h>
#include <string_view>
#include <strings.h>
#include <system_error>
#include <utility>

namespace figchute::gateway::detail {
namespace {

constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool hasNoBody(unsigned status)
{
  return status == kNoContent || status == kNotModified;
}

/** Returns true if the value is a number of bytes. cxxtools takes any other text for 0 or for the
    number that it starts with. */
bool isValidLength(std::string_view value)
{
  while (value.ends_with(' ') || value.ends_with('\t')) {
    value.remove_suffix(1);
  }
  std::size_t length = 0;
  const auto* const end = value.data() + value.size();
  const auto [parsedEnd, error] = std::from_chars(value.data(), end, length);
  return error == std::errc() && parsedEnd == end;
}

/** Returns the name of a field. cxxtools::http::ReplyHeader keeps the colon of some names. */
std::string_view fieldName(std::string_view name)
{
  if (name.ends_with(':')) {
    name.remove_suffix(1);
  }
  return name;
}

bool isContentLength(std::string_view name)
{
  constexpr std::string_view kContentLength = "Content-Length";
  return name.size() == kContentLength.size() &&
         strncasecmp(name.data(), kContentLength.data(), kContentLength.size()) == 0;
}

/** Returns true if all lengths and transfer encodings in the header are understood, so that they
    can prove the end of the body. */
bool hasValidFraming(const cxxtools::http::ReplyHeader& header)
{
  int lengths = 0;
  for (const auto& [name, value] : header) {
    if (isContentLength(fieldName(name)) && (++lengths > 1 || !isValidLength(value))) {
      return false;
    }
  }
  return !header.hasHeader("Transfer-Encoding") || header.chunkedTransferEncoding();
}

} // namespace

UpstreamConnection::UpstreamConnection(TrackingSelector& selector,
                                       std::vector<RequestId>& finished,
                                       const std::string& host,
                                       std::uint16_t port)
  : selector_(selector)
  , finishedCalls_(finished)
  , endpointAddress_(fmt::format("{}:{}", host, port))
{
  client_.setSelector(selector);
  client_.prepareConnect(host, port);
  connect(client_.requestSent, *this, &UpstreamConnection::onRequestSent);
  connect(client_.headerReceived, *this, &UpstreamConnection::onHeader);
  connect(client_.bodyAvailable, *this, &UpstreamConnection::onBody);
  connect(client_.replyFinished, *this, &UpstreamConnection::onFinished);
}

void UpstreamConnection::begin(UpstreamCall call, UpstreamCallback callback)
{
  isReusedConnection_ = reusable_;
  call_ = std::move(call);
  callback_ = std::move(callback);
  bodyBytes_ = 0;
  isChunked_ = false;
  requestSent_ = headerReceived_ = requestIdEchoed_ = finished_ = reusable_ = failed_ =
    idMismatch_ = false;
  setDeadline(call_.connectTimeout);
  try {
    executionStarted_ = false;
    fillRequest();
    executionStarted_ = true;
    selector_.takeLastAdded();
    client_.beginExecute(request_);
    if (auto* added = selector_.takeLastAdded()) {
      socket_ = dynamic_cast<cxxtools::IODevice*>(added);
    }
  } catch (const std::exception& error) {
    // On a new connection the client only starts to connect here, so nothing was sent.
    executionStarted_ = executionStarted_ && isReusedConnection_;
    failCall(ErrorKind::endpointFailed, error.what());
  }
}

void UpstreamConnection::fillRequest()
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

void UpstreamConnection::onRequestSent(cxxtools::http::Client& /*client*/)
{
  if (finished_) {
    return;
  }
  if (requestSent_) {
    failCall(ErrorKind::endpointFailed, "the reused connection was closed before a response");
    return;
  }
  requestSent_ = true;
  call_.body = {};
  setDeadline(call_.firstByteTimeout);
  if (isReusedConnection_) {
    // When a reused connection breaks before a response, cxxtools::http::Client automatically sends
    // the request again on a new connection, even if the endpoint has already read it. The request
    // is therefore replaced by one without side effects, and the second requestSent signal fails
    // the call.
    request_.clear();
    request_.method("OPTIONS");
    request_.url("*");
  }
}

Error UpstreamConnection::checkHeader(const cxxtools::http::ReplyHeader& header) const
{
  const auto* id = header.getHeader(kRequestIdHeader);
  // On a reused connection, a response without an id could be a late response to an earlier
  // request.
  if (id == nullptr ? isReusedConnection_ : call_.request.view() != id) {
    return { ErrorKind::answerMismatch,
             fmt::format("endpoint {} responded to request {} with request id \"{}\"",
                         endpointAddress_,
                         call_.request.view(),
                         id == nullptr ? "" : id) };
  }
  const auto status = header.httpReturnCode();
  if (status < 200 || status > 599) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} sent the invalid status {}", endpointAddress_, status) };
  }
  if (!hasValidFraming(header)) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} sent an invalid Content-Length or Transfer-Encoding",
                         endpointAddress_) };
  }
  const bool hasLength = header.hasHeader("Content-Length");
  const bool isChunked = header.chunkedTransferEncoding();
  if (hasLength && isChunked) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} sent both Content-Length and chunked encoding",
                         endpointAddress_) };
  }
  if (!hasLength && !isChunked && !hasNoBody(status)) {
    return { ErrorKind::endpointFailed,
             fmt::format("endpoint {} sent neither Content-Length nor chunked encoding",
                         endpointAddress_) };
  }
  return {};
}

void UpstreamConnection::onHeader(cxxtools::http::Client& client)
{
  if (finished_) {
    return;
  }
  const auto& header = client.header();
  headerReceived_ = true;
  if (auto error = checkHeader(header); !error.detail.empty()) {
    idMismatch_ = error.kind == ErrorKind::answerMismatch;
    failCall(error.kind, std::move(error.detail));
    return;
  }
  requestIdEchoed_ = header.hasHeader(kRequestIdHeader);
  isChunked_ = header.chunkedTransferEncoding() && socket_ != nullptr;
  if (isChunked_) {
    // lastChunkWasRead() reads from the socket; a time-out of 0 prevents it from blocking.
    socket_->setTimeout(0);
  }
  setDeadline(call_.progressTimeout);
  UpstreamHead head{ static_cast<int>(header.httpReturnCode()), {} };
  for (const auto& [name, value] : header) {
    head.headers.push_back({ std::string(fieldName(name)), value });
  }
  callback_(std::move(head));
}

std::size_t UpstreamConnection::onBody(cxxtools::http::Client& client)
{
  std::size_t count = deliverAvailableBody(client);
  if (!isChunked_ || finished_) {
    return count;
  }
  // The client does not detect the last chunk when it arrives in the same read as the chunk before
  // it.
  while (!lastChunkWasRead(client)) {
    const auto deliveredCount = deliverAvailableBody(client);
    if (deliveredCount == 0) {
      return count;
    }
    count += deliveredCount;
  }
  // The chunk reader has read the whole message, so the connection can be reused even if the client
  // does not signal the end of the reply.
  reusable_ = requestIdEchoed_ && client.header().keepAlive();
  completeCall();
  return count;
}

std::size_t UpstreamConnection::deliverAvailableBody(cxxtools::http::Client& client)
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
    setDeadline(call_.progressTimeout);
    callback_(UpstreamBody{ std::move(bytes) });
  }
  return count;
}

/** Returns true if the last chunk was read. It may read more bytes from the socket, but does not
    block. */
bool UpstreamConnection::lastChunkWasRead(cxxtools::http::Client& client) const
{
  try {
    // The end of the connection also gives eof here, but the response is then incomplete.
    return client.in().rdbuf()->sgetc() == std::char_traits<char>::eof() && !socket_->eof();
  } catch (const cxxtools::IOTimeout&) {
    return false;
  } catch (const std::exception&) {
    // The client gets the same error when it continues, and reports it through replyFinished.
    return false;
  }
}

/** Ends the call and delivers UpstreamDone. */
void UpstreamConnection::completeCall()
{
  endCall();
  std::exchange(callback_, {})(UpstreamDone{});
}

void UpstreamConnection::onFinished(cxxtools::http::Client& client)
{
  try {
    client.endExecute();
  } catch (const std::exception& error) {
    reusable_ = false;
    if (!finished_) {
      failCall(ErrorKind::endpointFailed,
               fmt::format("endpoint {}: {}", endpointAddress_, error.what()));
    }
    return;
  }
  if (failed_) {
    return;
  }
  const auto& header = client.header();
  const bool hasLength = header.hasHeader("Content-Length") && !hasNoBody(header.httpReturnCode());
  if (!headerReceived_ || (hasLength && header.contentLength() != bodyBytes_)) {
    failCall(ErrorKind::endpointFailed,
             fmt::format("endpoint {} ended its response early", endpointAddress_));
    return;
  }
  reusable_ = requestIdEchoed_ && header.keepAlive() && client.in().rdbuf()->in_avail() <= 0;
  if (!finished_) {
    completeCall();
  }
}

bool UpstreamConnection::requestMayHaveBeenSent() const
{
  return requestSent_ || (executionStarted_ && (socket_ == nullptr || socket_->writing()));
}

void UpstreamConnection::failCall(ErrorKind kind, std::string detail)
{
  UpstreamFailed event{ { kind, std::move(detail) }, false, false };
  event.mayHaveBeenSent = requestMayHaveBeenSent();
  event.reusedConnection =
    isReusedConnection_ && !headerReceived_ && kind == ErrorKind::endpointFailed;
  endCall();
  failed_ = true;
  std::exchange(callback_, {})(std::move(event));
}

void UpstreamConnection::endCall()
{
  finished_ = true;
  finishedCalls_.push_back(call_.request);
}

void UpstreamConnection::checkDeadline(Clock::time_point now)
{
  if (finished_ || now < deadline_) {
    return;
  }
  const auto* reason = headerReceived_ ? "stopped sending its response"
                       : requestSent_  ? "sent no response in time"
                                       : "did not accept the connection and request in time";
  failCall(ErrorKind::endpointTimeout, fmt::format("endpoint {} {}", endpointAddress_, reason));
}

void UpstreamConnection::setDeadline(Duration timeout)
{
  deadline_ = Clock::now() + timeout;
}

} // namespace figchute::gateway::detail
