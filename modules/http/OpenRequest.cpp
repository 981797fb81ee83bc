#include "http/ServerConnection.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace figchute::http::detail {

OpenRequest::OpenRequest(ServerConnection& connection,
                         RequestHead head,
                         unsigned version,
                         std::shared_ptr<const std::string> body,
                         const boost::asio::ip::tcp::endpoint& peer)
  : connection_(&connection)
  , head_(std::move(head))
  , body_(std::move(body))
  , address_(peer)
  , version_(version)
{
}

OpenRequest::~OpenRequest()
{
  if (connection_)
    std::exchange(connection_, nullptr)->abortRequest();
}

const std::string& OpenRequest::peer() const
{
  if (peer_.empty())
    peer_ = addressText(address_);
  return peer_;
}

void OpenRequest::respond(ResponseHead head, std::string_view body)
{
  if (!connection_ || started_)
    return;
  const bool empty = hasNoBody(head.status, head_.method);
  const bool headOnly = head_.method == "HEAD" && !hasNoBody(head.status, {});
  if (!empty || (headOnly && !head.length)) {
    head.length = body.size();
    head.chunked = false;
  }
  begin(head);
  if (!empty)
    connection_->out_.append(body);
  remaining_ = 0;
  finish();
}

void OpenRequest::start(ResponseHead head)
{
  if (!connection_ || started_)
    return;
  begin(head);
  // The last byte of a response that needs no write() waits for finish().
  connection_->holdLast_ =
    kind_ == BodyKind::none || (kind_ == BodyKind::withLength && remaining_ == 0);
  connection_->scheduleFlush();
}

void OpenRequest::begin(const ResponseHead& head)
{
  started_ = true;
  BodyFraming framing;
  const bool empty = hasNoBody(head.status, head_.method);
  if (empty) {
    kind_ = BodyKind::none;
    if (head.status != 204 && head.status / 100 != 1) {
      framing.length = head.length;
      framing.chunked = !head.length && head.chunked && version_ >= 11;
    }
  } else if (head.length) {
    kind_ = BodyKind::withLength;
    framing.length = head.length;
    remaining_ = *head.length;
  } else if (version_ >= 11) {
    kind_ = BodyKind::chunked;
    framing.chunked = true;
  } else {
    kind_ = BodyKind::untilClose;
    closeAfter_ = true;
  }
  if (connection_->shared_->draining)
    closeAfter_ = true;
  if (closeAfter_)
    framing.connection = "close";
  else if (version_ < 11)
    framing.connection = "keep-alive";
  appendHead(connection_->out_, head, framing);
}

void OpenRequest::write(std::string_view bytes)
{
  if (!connection_ || !started_ || bytes.empty())
    return;
  auto& out = connection_->out_;
  switch (kind_) {
    case BodyKind::none:
      return;
    case BodyKind::withLength:
      // Bytes beyond the announced length would be taken for the next response.
      bytes = bytes.substr(0, std::min<std::uint64_t>(bytes.size(), remaining_));
      if (bytes.empty())
        return;
      remaining_ -= bytes.size();
      out.append(bytes);
      connection_->holdLast_ = remaining_ == 0;
      break;
    case BodyKind::chunked:
      fmt::format_to(std::back_inserter(out), "{:x}\r\n", bytes.size());
      out.append(bytes);
      out.append("\r\n");
      break;
    case BodyKind::untilClose:
      out.append(bytes);
      break;
  }
  connection_->scheduleFlush();
}

void OpenRequest::finish()
{
  if (!connection_ || !started_)
    return;
  if (kind_ == BodyKind::withLength && remaining_ > 0) {
    abort();
    return;
  }
  if (kind_ == BodyKind::chunked)
    connection_->out_.append("0\r\n\r\n");
  const auto callbacks = takeCallbacks();
  std::exchange(connection_, nullptr)->requestEnded(closeAfter_);
}

void OpenRequest::abort()
{
  if (!connection_)
    return;
  const auto callbacks = takeCallbacks();
  std::exchange(connection_, nullptr)->abortRequest();
}

std::size_t OpenRequest::pendingBytes() const
{
  return connection_ ? connection_->pending() : 0;
}

void OpenRequest::onWritable(std::function<void()> callback)
{
  if (connection_)
    callbacks_.writable = std::move(callback);
}

void OpenRequest::onDisconnect(std::function<void()> callback)
{
  if (connection_)
    callbacks_.gone = std::move(callback);
}

void OpenRequest::closeAfterResponse()
{
  closeAfter_ = true;
}

void OpenRequest::notifyWritable()
{
  if (!callbacks_.writable)
    return;
  auto* const connection = connection_;
  auto callback = std::exchange(callbacks_.writable, nullptr);
  callback();
  // This object is gone or has ended when the connection no longer points to it.
  if (connection->open_ == this && !callbacks_.writable)
    callbacks_.writable = std::move(callback);
}

void OpenRequest::notifyGone()
{
  connection_ = nullptr;
  const auto callbacks = takeCallbacks();
  if (callbacks.gone)
    callbacks.gone();
}

OpenRequest::Callbacks OpenRequest::takeCallbacks()
{
  return std::exchange(callbacks_, {});
}

} // namespace figchute::http::detail
