#pragma once

#include "http/http.h"

#include <string_view>

namespace figchute::router {

/** Returns a view of the body of a request; empty when it has none. The view is valid for the
 * lifetime of the request. Thread safety: use it on the thread of the request only. */
inline std::string_view bodyOf(const http::ServerRequest& request)
{
  const auto& body = request.body();
  return body ? std::string_view(*body) : std::string_view();
}

} // namespace figchute::router
