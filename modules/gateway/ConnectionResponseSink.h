#pragma once

#include "gateway/ResponseSink.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace figchute::gateway::detail {

class ServerConnection;

/** The ResponseSink of one request on a ServerConnection. It posts the parts of the response
    to the server's I/O thread.
    Thread safety: every method may be called from any thread. */
class ConnectionResponseSink : public ResponseSink
{
public:
  ConnectionResponseSink(std::shared_ptr<ServerConnection> connection, std::uint64_t sequence);
  ~ConnectionResponseSink() override;

  void begin(int status, Headers headers, bool streaming) override;
  bool write(std::string bytes) override;
  void finish() override;
  void fail(const Error& error,
            std::optional<Duration> retryDelay,
            const RequestId& request) override;
  [[nodiscard]] bool isOpen() const override;
  [[nodiscard]] std::size_t pendingBytes() const override;

private:
  std::shared_ptr<ServerConnection> connection_;
  std::uint64_t sequence_;
  std::atomic<bool> streaming_{ false };
  std::atomic<bool> ended_{ false };
};

} // namespace figchute::gateway::detail
