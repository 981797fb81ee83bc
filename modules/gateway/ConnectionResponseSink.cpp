#include "gateway/ConnectionResponseSink.h"

#include "gateway/ServerConnection.h"

#include <utility>

namespace figchute::gateway::detail {

ConnectionResponseSink::ConnectionResponseSink(std::shared_ptr<ServerConnection> connection,
                                               std::uint64_t sequence)
  : connection_(std::move(connection))
  , sequence_(sequence)
{
}

ConnectionResponseSink::~ConnectionResponseSink()
{
  if (!ended_) {
    connection_->post([sequence = sequence_](ServerConnection& connection) {
      connection.fail(
        sequence,
        { ErrorKind::internal, "the request handler released the request without a response" },
        {},
        {});
    });
  }
}

void ConnectionResponseSink::begin(int status, Headers headers, bool streaming)
{
  streaming_ = streaming;
  connection_->post(
    [sequence = sequence_, status, headers = std::move(headers), streaming](
      ServerConnection& connection) { connection.begin(sequence, status, headers, streaming); });
}

bool ConnectionResponseSink::write(std::string bytes)
{
  if (!isOpen()) {
    return false;
  }
  if (streaming_ && connection_->pendingBytes() > connection_->limits().maxPendingBytes) {
    connection_->post(
      [sequence = sequence_](ServerConnection& connection) { connection.abortResponse(sequence); });
    return false;
  }
  connection_->addPostedBytes(bytes.size());
  connection_->post([sequence = sequence_, bytes = std::move(bytes)](ServerConnection& connection) {
    connection.write(sequence, bytes);
  });
  return true;
}

void ConnectionResponseSink::finish()
{
  ended_ = true;
  connection_->post(
    [sequence = sequence_](ServerConnection& connection) { connection.finish(sequence); });
}

void ConnectionResponseSink::fail(const Error& error,
                                  std::optional<Duration> retryDelay,
                                  const RequestId& request)
{
  ended_ = true;
  connection_->post(
    [sequence = sequence_, error, retryDelay, request](ServerConnection& connection) {
      connection.fail(sequence, error, retryDelay, request);
    });
}

bool ConnectionResponseSink::isOpen() const
{
  return !ended_ && connection_->isRunning(sequence_);
}

std::size_t ConnectionResponseSink::pendingBytes() const
{
  return connection_->pendingBytes();
}

} // namespace figchute::gateway::detail
