#include "transport/PeerConnection.h"

#include <nng/protocol/pipeline0/push.h>

namespace figchute::transport {
namespace {

/** The number of messages that may be queued for a slow peer before further ones are dropped. */
constexpr int kSendBufferMessages = 4096;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;

} // namespace

PeerConnection::PeerConnection(PeerAddress peer, Time now)
  : peer_(std::move(peer))
  , lastAcknowledgedAt_(Time{ 0 })
  , lastDialAt_(now)
{
  dial();
}

PeerConnection::~PeerConnection()
{
  nng_close(socket_);
}

bool PeerConnection::send(std::string_view bytes)
{
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) {
    return false;
  }
  if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
      nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    return false;
  }
  return true;
}

void PeerConnection::redial(Time now)
{
  nng_close(socket_);
  lastDialAt_ = now;
  dial();
}

void PeerConnection::dial()
{
  if (nng_push0_open(&socket_) != 0) {
    return;
  }
  nng_socket_set_int(socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  const std::string url = "tcp://" + peer_.address;
  nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

} // namespace figchute::transport
