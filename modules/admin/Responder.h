#pragma once

#include "admin/Router.h"
#include "core/Error.h"

#include <cstddef>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>
#include <exception>
#include <iosfwd>
#include <optional>
#include <string>

namespace figchute::admin {

/** Creates a Responder for each request of the cxxtools server.
    Thread safety: the server calls it from several threads. */
class Service : public cxxtools::http::Service
{
public:
  /** Creates a service; @p router must outlive it. */
  Service(const Router& router, std::size_t maxBodyBytes);

protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override;

private:
  const Router& router_;
  std::size_t maxBodyBytes_;
};

/** Answers one request. cxxtools takes a negative length and a chunked body as an empty body, so
    the framing is checked here; after a framing fault the connection is closed, because what
    follows on it is not known to be a request.
    Thread safety: the server uses it from one thread at a time. */
class Responder : public cxxtools::http::Responder
{
public:
  /** Creates a responder; @p router must outlive it. */
  Responder(cxxtools::http::Service& service, const Router& router, std::size_t maxBodyBytes);

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override;
  std::size_t readBody(std::istream& in) override;
  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override;
  void replyError(std::ostream& out,
                  cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply,
                  const std::exception& exception) override;

private:
  [[nodiscard]] static AdminRequest headOf(const cxxtools::http::Request& request);
  [[nodiscard]] std::optional<Error> findFramingFault(const cxxtools::http::Request& request) const;
  void writeError(std::ostream& out,
                  const cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply,
                  const Error& error) const;

  const Router& router_;
  std::size_t maxBodyBytes_;
  std::optional<Error> framingFault_;
  bool keepsBody_ = false;
  std::string body_;
};

} // namespace figchute::admin
