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
                         const boost::asio::ip::tcp::endpoint& peer,
                         std::shared_ptr<TransferObserver> observer)
  : connection_(&connection)
  , head_(std::move(head))
  , body_(std::move(body))
  , address_(peer)
  , observer_(std::move(observer))
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
  const bool noBody = hasNoBody(head.status, head_.method);
  const bool headOmitsBody = head_.method == "HEAD" && !hasNoBody(head.status, {});
  if (!noBody || (headOmitsBody && !head.length)) {
    head.length = body.size();
    head.chunked = false;
  }
  appendResponseHead(head);
  if (!noBody) {
    connection_->output_.append(body);
    observeAnswered(body.size());
  }
  remaining_ = 0;
  finish();
}

void OpenRequest::start(ResponseHead head)
{
  if (!connection_ || started_)
    return;
  appendResponseHead(head);
  // If no write() is needed, the last byte of the head is held back until finish().
  connection_->holdLastByte_ =
    bodyKind_ == BodyKind::none || (bodyKind_ == BodyKind::withLength && remaining_ == 0);
  connection_->scheduleFlush();
}

void OpenRequest::appendResponseHead(const ResponseHead& head)
{
  started_ = true;
  BodyFraming framing;
  const bool noBody = hasNoBody(head.status, head_.method);
  if (noBody) {
    bodyKind_ = BodyKind::none;
    if (head.status != 204 && head.status / 100 != 1) {
      framing.length = head.length;
      framing.chunked = !head.length && head.chunked && version_ >= 11;
    }
  } else if (head.length) {
    bodyKind_ = BodyKind::withLength;
    framing.length = head.length;
    remaining_ = *head.length;
  } else if (version_ >= 11) {
    bodyKind_ = BodyKind::chunked;
    framing.chunked = true;
  } else {
    bodyKind_ = BodyKind::untilClose;
    closeAfterResponse_ = true;
    connection_->beginBodyUntilClose();
  }
  if (connection_->context_->draining)
    closeAfterResponse_ = true;
  if (closeAfterResponse_)
    framing.connection = "close";
  else if (version_ < 11)
    framing.connection = "keep-alive";
  const auto previousSize = connection_->output_.size();
  appendHead(connection_->output_, head, framing);
  observeAnswered(connection_->output_.size() - previousSize);
}

void OpenRequest::observeAnswered(std::size_t bytes) const
{
  if (observer_)
    observer_->answered(bytes);
}

void OpenRequest::write(std::string_view bytes)
{
  if (!connection_ || !started_ || bytes.empty())
    return;
  auto& output = connection_->output_;
  const auto previousSize = output.size();
  switch (bodyKind_) {
    case BodyKind::none:
      return;
    case BodyKind::withLength:
      // The caller would parse bytes beyond the Content-Length as its next response.
      bytes = bytes.substr(0, std::min<std::uint64_t>(bytes.size(), remaining_));
      if (bytes.empty())
        return;
      remaining_ -= bytes.size();
      output.append(bytes);
      connection_->holdLastByte_ = remaining_ == 0;
      break;
    case BodyKind::chunked:
      fmt::format_to(std::back_inserter(output), "{:x}\r\n", bytes.size());
      output.append(bytes);
      output.append("\r\n");
      break;
    case BodyKind::untilClose:
      output.append(bytes);
      break;
  }
  observeAnswered(output.size() - previousSize);
  connection_->scheduleFlush();
}

void OpenRequest::finish()
{
  if (!connection_ || !started_)
    return;
  if (bodyKind_ == BodyKind::withLength && remaining_ > 0) {
    abort();
    return;
  }
  if (bodyKind_ == BodyKind::chunked)
    connection_->output_.append("0\r\n\r\n");
  auto callbacks = clearCallbacks();
  std::exchange(connection_, nullptr)
    ->onRequestEnded(closeAfterResponse_, std::move(callbacks.unsent));
}

void OpenRequest::abort()
{
  if (!connection_)
    return;
  const auto callbacks = clearCallbacks();
  std::exchange(connection_, nullptr)->abortRequest();
}

std::size_t OpenRequest::pendingBytes() const
{
  return connection_ ? connection_->pendingBytes() : 0;
}

void OpenRequest::onWritable(std::function<void()> callback)
{
  if (connection_)
    callbacks_.writable = std::move(callback);
}

void OpenRequest::onDisconnect(std::function<void()> callback)
{
  if (connection_)
    callbacks_.disconnected = std::move(callback);
}

void OpenRequest::onUnsent(std::function<void(const UnsentResponse&)> callback)
{
  if (connection_)
    callbacks_.unsent = std::move(callback);
}

void OpenRequest::closeAfterResponse()
{
  closeAfterResponse_ = true;
}

void OpenRequest::notifyWritable()
{
  if (!callbacks_.writable)
    return;
  auto* const connection = connection_;
  auto callback = std::exchange(callbacks_.writable, nullptr);
  callback();
  // The callback may have ended or destroyed this request; the connection then no longer points to
  // it.
  if (connection->openRequest_ == this && !callbacks_.writable)
    callbacks_.writable = std::move(callback);
}

void OpenRequest::notifyDisconnected()
{
  connection_ = nullptr;
  const auto callbacks = clearCallbacks();
  if (callbacks.disconnected)
    callbacks.disconnected();
}

OpenRequest::Callbacks OpenRequest::clearCallbacks()
{
  return std::exchange(callbacks_, {});
}

} // namespace figchute::http::detail
