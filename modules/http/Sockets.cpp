#include "http/Sockets.h"

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>

namespace figchute::http::detail {

namespace {

TransferResult makeFailure(int error)
{
  if (error == EAGAIN || error == EWOULDBLOCK)
    return {};
  return { TransferResult::State::failed, 0, error };
}

} // namespace

TransferResult receive(int socket, std::span<char> buffer)
{
  while (true) {
    const auto size = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0)
      return { TransferResult::State::done, static_cast<std::size_t>(size), 0 };
    if (size == 0)
      return { TransferResult::State::ended, 0, 0 };
    if (errno != EINTR)
      return makeFailure(errno);
  }
}

TransferResult send(int socket, std::span<const iovec> parts)
{
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(parts.data());
  message.msg_iovlen = parts.size();
  while (true) {
    const auto size = ::sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size >= 0)
      return { TransferResult::State::done, static_cast<std::size_t>(size), 0 };
    if (errno != EINTR)
      return makeFailure(errno);
  }
}

bool hasInput(int socket)
{
  char byte = 0;
  const auto size = ::recv(socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool peerHasClosed(int socket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return true;
  return info.tcpi_state != TCP_ESTABLISHED && info.tcpi_state != TCP_FIN_WAIT1 &&
         info.tcpi_state != TCP_FIN_WAIT2;
}

std::size_t unacknowledgedBytes(int socket)
{
  int bytes = 0;
  const bool isKnown = ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

bool hasUnacknowledgedBytes(int socket)
{
  // TCP_INFO counts only bytes that were sent, not those that wait for room at the receiver.
  if (unacknowledgedBytes(socket) > 0)
    return true;
  tcp_info info{};
  socklen_t size = sizeof info;
  return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_unacked > 0;
}

int takeError(int socket)
{
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

Duration timeSinceLastPacket(int socket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return Duration::zero();
  return std::chrono::milliseconds(info.tcpi_last_ack_recv);
}

Duration timeSinceLastReceived(int socket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return Duration::zero();
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

void setNoDelay(int socket)
{
  const int noDelay = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
}

void setTcpOptions(int socket, Duration timeout)
{
  setNoDelay(socket);
  setUserTimeout(socket, timeout);
}

void setUserTimeout(int socket, Duration timeout)
{
  const auto millis =
    static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
}

void setResetOnClose(int socket, bool isEnabled)
{
  const linger option{ isEnabled ? 1 : 0, 0 };
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::string errorText(int error)
{
  return std::generic_category().message(error);
}

} // namespace figchute::http::detail
