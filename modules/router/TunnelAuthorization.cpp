#include "router/TunnelAuthorization.h"

#include "wire/Signature.h"

#include <fmt/format.h>

namespace figchute::router {
namespace {

std::string signedTextOf(const boost::asio::ip::tcp::endpoint& target)
{
  return fmt::format("CONNECT {}:{}", target.address().to_string(), target.port());
}

} // namespace

std::string tunnelAuthorizationFor(const boost::asio::ip::tcp::endpoint& target,
                                   std::string_view peerKey)
{
  return wire::sign(signedTextOf(target), peerKey);
}

bool isAuthorized(const http::TunnelRequest& request, std::string_view peerKey)
{
  return wire::isSignedBy(signedTextOf(request.target), request.authorization, peerKey);
}

} // namespace figchute::router
