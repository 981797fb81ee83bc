#pragma once

#include "core/core.h"

#include <cstddef>
#include <span>
#include <string>
#include <sys/uio.h>

namespace figchute::http::detail {

/** The result of a non-blocking read or write on a socket. */
struct TransferResult
{
  enum class State
  {
    done,
    wouldBlock,
    /** The peer has shut down its sending side. */
    ended,
    failed,
  };
  State state = State::wouldBlock;
  /** Number of bytes read or written. */
  std::size_t size = 0;
  /** The errno value when the state is failed, else 0. */
  int error = 0;
};

/** Reads available bytes without blocking. */
TransferResult receive(int socket, std::span<char> buffer);

/** Writes as many bytes as the socket accepts, without blocking and without raising SIGPIPE. */
TransferResult send(int socket, std::span<const iovec> parts);

/** Returns whether bytes, an end of stream or an error can be read from a socket. Consumes no
    bytes. */
bool hasInput(int socket);

/** Returns whether bytes that were sent have not reached the peer yet; false if the operating
   system does not tell. Safe from any thread. */
bool hasUnacknowledgedBytes(int socket);

/** Returns how many bytes were written to a socket and not acknowledged by the peer; 0 if the
    operating system does not tell. An end of stream counts as one byte. Safe from any thread. */
std::size_t unacknowledgedBytes(int socket);

/** Returns the errno value of an error that the socket has not reported yet, and clears it; 0 if
   there is none. */
int takeError(int socket);

/** Returns how long ago the last packet reached this VM, be it bytes or the end of the stream; zero
   if the operating system does not tell. Safe from any thread. */
Duration timeSinceLastPacket(int socket);

/** Returns how long ago the last bytes reached this VM; zero if the operating system does not tell.
    Safe from any thread. */
Duration timeSinceLastReceived(int socket);

/** Returns whether the peer has closed the connection or shut down its sending side, even if bytes
    sent before that are still unread. */
bool peerHasClosed(int socket);

/** Sets TCP_NODELAY. */
void setNoDelay(int socket);

/** Sets TCP_NODELAY and TCP_USER_TIMEOUT.
    @param timeout  the maximum time that sent bytes may remain unacknowledged, or unsent because
    the peer does not read */
void setTcpOptions(int socket, Duration timeout);

/** Sets TCP_USER_TIMEOUT, also of an established connection. Errors are ignored.
    Safe from any thread.
    @param timeout  as for setTcpOptions(); zero for the time limit of the operating system */
void setUserTimeout(int socket, Duration timeout);

/** Sets whether close(), also that by the system at the end of the process, resets the connection
    instead of shutting it down in order. */
void setResetOnClose(int socket, bool isEnabled);

/** Returns the error message for an errno value. */
std::string errorText(int error);

} // namespace figchute::http::detail
