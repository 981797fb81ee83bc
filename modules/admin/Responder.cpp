#include "admin/Responder.h"

#include "admin/Parameters.h"
#include "core/ErrorKind.h"
#include "json/json.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <strings.h>

namespace figchute::admin {
namespace {

using cxxtools::http::Reply;
using cxxtools::http::Request;

std::string getHeaderValue(const Request& request, const char* name)
{
  const auto* value = request.getHeader(name);
  return value != nullptr ? std::string(value) : std::string();
}

std::size_t countHeaders(const Request& request, const char* name)
{
  std::size_t count = 0;
  for (const auto& [header, value] : request.header()) {
    count += strcasecmp(header, name) == 0 ? 1 : 0;
  }
  return count;
}

// Returns the request id sent by the client if it may be repeated in a response; otherwise null.
json::Value makeRequestId(const Request& request)
{
  auto id = getHeaderValue(request, "X-Request-Id");
  return isChangeId(id) ? json::Value(std::move(id)) : json::Value();
}

void writeJson(std::ostream& out, Reply& reply, const json::Value& value)
{
  reply.setHeader("Content-Type", "application/json");
  out << json::dump(value) << '\n';
}

} // namespace

Service::Service(const Router& router, std::size_t maxBodyBytes)
  : router_(router)
  , maxBodyBytes_(maxBodyBytes)
{
}

cxxtools::http::Responder* Service::createResponder(const Request& /*request*/)
{
  return new Responder(*this, router_, maxBodyBytes_);
}

void Service::releaseResponder(cxxtools::http::Responder* responder)
{
  delete responder;
}

Responder::Responder(cxxtools::http::Service& service,
                     const Router& router,
                     std::size_t maxBodyBytes)
  : cxxtools::http::Responder(service)
  , router_(router)
  , maxBodyBytes_(maxBodyBytes)
{
}

void Responder::beginRequest(cxxtools::net::TcpSocket& /*socket*/,
                             std::istream& /*in*/,
                             Request& request)
{
  framingError_ = findFramingError(request);
  if (framingError_) {
    // The exception makes cxxtools call replyError() immediately; otherwise it would first wait for
    // a body of the given length.
    throw std::runtime_error(framingError_->detail);
  }
  // The bodies of clients without a valid key are not stored.
  shouldStoreBody_ = router_.checkKey(toAdminRequest(request)).has_value();
}

AdminRequest Responder::toAdminRequest(const Request& request)
{
  return AdminRequest{
    request.method(), request.url(), request.qparams(), getHeaderValue(request, "Authorization"), {}
  };
}

std::optional<Error> Responder::findFramingError(const Request& request) const
{
  if (request.hasHeader("Transfer-Encoding")) {
    return Error{ ErrorKind::badRequest,
                  "the header Transfer-Encoding is not allowed; send Content-Length" };
  }
  const auto lengthHeaderCount = countHeaders(request, "Content-Length");
  if (lengthHeaderCount > 1 || countHeaders(request, "Authorization") > 1) {
    return Error{ ErrorKind::badRequest, "a header that may occur only once is repeated" };
  }
  if (lengthHeaderCount == 0) {
    return std::nullopt;
  }
  const auto lengthText = getHeaderValue(request, "Content-Length");
  const auto length = parseUnsigned(lengthText);
  if (!length) {
    return Error{ ErrorKind::badRequest,
                  "Content-Length = \"" + lengthText.substr(0, 32) +
                    "\": expected a number of bytes" };
  }
  if (*length > maxBodyBytes_) {
    return Error{ ErrorKind::bodyTooLarge,
                  "the body has " + lengthText + " bytes; at most " +
                    std::to_string(maxBodyBytes_) + " are allowed" };
  }
  return std::nullopt;
}

std::size_t Responder::readBody(std::istream& in)
{
  std::array<char, 8192> buffer{};
  const auto availableBytes = std::max<std::streamsize>(in.rdbuf()->in_avail(), 0);
  const auto bytesToRead = std::min<std::streamsize>(availableBytes, buffer.size());
  const auto receivedBytes = in.rdbuf()->sgetn(buffer.data(), bytesToRead);
  if (shouldStoreBody_) {
    body_.append(buffer.data(), static_cast<std::size_t>(receivedBytes));
  }
  return static_cast<std::size_t>(receivedBytes);
}

void Responder::reply(std::ostream& out, Request& request, Reply& reply)
{
  auto adminRequest = toAdminRequest(request);
  adminRequest.body = std::move(body_);
  const auto result = router_.route(adminRequest);
  if (!result) {
    writeError(out, request, reply, result.error());
    return;
  }
  writeJson(out, reply, *result);
}

void Responder::replyError(std::ostream& out,
                           Request& request,
                           Reply& reply,
                           const std::exception& exception)
{
  reply.setHeader("Connection", "close");
  writeError(
    out, request, reply, framingError_.value_or(Error{ ErrorKind::internal, exception.what() }));
}

void Responder::writeError(std::ostream& out,
                           const Request& request,
                           Reply& reply,
                           const Error& error) const
{
  const auto& traits = errorTraits(error.kind);
  reply.httpReturn(static_cast<unsigned>(traits.httpStatus), std::string(traits.name));
  reply.setHeader("X-Figchute-Error", std::string(traits.name).c_str());
  reply.setHeader("X-Figchute-Ran", std::string(toString(traits.ran)).c_str());
  if (traits.retry != RetryAdvice::never) {
    const auto retryAfterSeconds = (traits.retryAfter.count() + 999) / 1000;
    reply.setHeader("Retry-After", std::to_string(retryAfterSeconds).c_str());
  }
  auto body = json::Value::object();
  body.set("type", traits.name);
  body.set("message", error.detail);
  body.set("ran", toString(traits.ran));
  body.set("retry", toString(traits.retry));
  body.set("request_id", makeRequestId(request));
  writeJson(out, reply, json::Value::object({ { "error", std::move(body) } }));
}

} // namespace figchute::admin
