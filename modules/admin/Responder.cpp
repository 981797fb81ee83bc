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

std::string headerOf(const Request& request, const char* name)
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

// Returns the id that the client sent if it can be repeated in an answer, else null.
json::Value requestIdOf(const Request& request)
{
  auto id = headerOf(request, "X-Request-Id");
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
  framingFault_ = findFramingFault(request);
  if (framingFault_) {
    // replyError() answers at once; without it cxxtools first waits for a body of that length.
    throw std::runtime_error(framingFault_->detail);
  }
  // Senders without a valid key make the server hold no body.
  keepsBody_ = router_.checkKey(headOf(request)).has_value();
}

AdminRequest Responder::headOf(const Request& request)
{
  return AdminRequest{
    request.method(), request.url(), request.qparams(), headerOf(request, "Authorization"), {}
  };
}

std::optional<Error> Responder::findFramingFault(const Request& request) const
{
  if (request.hasHeader("Transfer-Encoding")) {
    return Error{ ErrorKind::badRequest,
                  "the header Transfer-Encoding is not allowed; send Content-Length" };
  }
  const auto lengths = countHeaders(request, "Content-Length");
  if (lengths > 1 || countHeaders(request, "Authorization") > 1) {
    return Error{ ErrorKind::badRequest, "a header that may occur once occurs several times" };
  }
  if (lengths == 0) {
    return std::nullopt;
  }
  const auto text = headerOf(request, "Content-Length");
  const auto length = parseUnsigned(text);
  if (!length) {
    return Error{ ErrorKind::badRequest,
                  "Content-Length = \"" + text.substr(0, 32) + "\": expected a number of bytes" };
  }
  if (*length > maxBodyBytes_) {
    return Error{ ErrorKind::bodyTooLarge,
                  "the body has " + text + " bytes; at most " + std::to_string(maxBodyBytes_) +
                    " are allowed" };
  }
  return std::nullopt;
}

std::size_t Responder::readBody(std::istream& in)
{
  std::array<char, 8192> buffer{};
  const auto available = std::max<std::streamsize>(in.rdbuf()->in_avail(), 0);
  const auto wanted = std::min<std::streamsize>(available, buffer.size());
  const auto got = in.rdbuf()->sgetn(buffer.data(), wanted);
  if (keepsBody_) {
    body_.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return static_cast<std::size_t>(got);
}

void Responder::reply(std::ostream& out, Request& request, Reply& reply)
{
  auto admin = headOf(request);
  admin.body = std::move(body_);
  const auto answer = router_.route(admin);
  if (!answer) {
    writeError(out, request, reply, answer.error());
    return;
  }
  writeJson(out, reply, *answer);
}

void Responder::replyError(std::ostream& out,
                           Request& request,
                           Reply& reply,
                           const std::exception& exception)
{
  reply.setHeader("Connection", "close");
  writeError(
    out, request, reply, framingFault_.value_or(Error{ ErrorKind::internal, exception.what() }));
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
    const auto seconds = (traits.retryAfter.count() + 999) / 1000;
    reply.setHeader("Retry-After", std::to_string(seconds).c_str());
  }
  auto body = json::Value::object();
  body.set("type", traits.name);
  body.set("message", error.detail);
  body.set("ran", toString(traits.ran));
  body.set("retry", toString(traits.retry));
  body.set("request_id", requestIdOf(request));
  writeJson(out, reply, json::Value::object({ { "error", std::move(body) } }));
}

} // namespace figchute::admin
