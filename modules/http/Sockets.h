#pragma once

#include "core/core.h"

#include <cstddef>
#include <span>
#include <string>
#include <sys/uio.h>

namespace figchute::http::detail {

/** The outcome of a system call on a socket that does not block. */
struct Transfer
{
  enum class State
  {
    done,
    wouldBlock,
    /** The other side has ended its direction of the connection. */
    ended,
    failed,
  };
  State state = State::wouldBlock;
  std::size_t size = 0;
  /** The errno value of a failure. */
  int error = 0;
};

/** Reads what has arrived, without waiting. */
Transfer receive(int socket, std::span<char> buffer);

/** Writes as much as the system takes, without waiting and without SIGPIPE. */
Transfer send(int socket, std::span<const iovec> parts);

/** Returns whether a socket that should be silent has received bytes, an end or an error. Reads
    nothing. */
bool hasInput(int socket);

/** Returns whether the other side has ended its direction of the connection, even when there are
    unread bytes before the end. */
bool hasEnd(int socket);

/** Sets TCP_NODELAY and TCP_USER_TIMEOUT.
    @param timeout  how long sent bytes may stay unacknowledged, or wait for the other side to read
 */
void setTcpOptions(int socket, Duration timeout);

/** Makes the closing of a socket reset the connection. */
void setResetOnClose(int socket);

/** Returns the text of an errno value. */
std::string errorText(int error);

} // namespace figchute::http::detail
