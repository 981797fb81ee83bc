#pragma once

#include "http/TunnelServer.h"

#include <string>
#include <string_view>

namespace figchute::router {

/** Returns the authorization with which an entry process asks another one for a tunnel.
    @param target   the address of the endpoint
    @param peerKey  the key of the messages between processes
    Thread safety: safe from any thread. */
std::string tunnelAuthorizationFor(const boost::asio::ip::tcp::endpoint& target,
                                   std::string_view peerKey);

/** Returns whether a request for a tunnel comes from a process that has the peer key.
    Thread safety: safe from any thread. */
bool isAuthorized(const http::TunnelRequest& request, std::string_view peerKey);

} // namespace figchute::router
