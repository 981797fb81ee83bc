#pragma once

#include "http/http.h"

#include <string_view>

namespace figchute::router {

/** Returns the body of a request without a copy; empty when it has none. The view is valid as long
    as the request. Thread safety: use it on the thread of the request only. */
inline std::string_view bodyOf(const http::ServerRequest& request)
{
  const auto& body = request.body();
  return body ? std::string_view(*body) : std::string_view();
}

} // namespace figchute::router
