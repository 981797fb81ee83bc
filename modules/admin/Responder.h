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

/** Creates a Responder for each request that the cxxtools server receives.
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

/** Handles one request. cxxtools interprets a negative length and a chunked body as an empty body,
    so this class validates the framing. After a framing error the connection is closed, because the
    data that follows may not be a request.
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
  [[nodiscard]] static AdminRequest toAdminRequest(const cxxtools::http::Request& request);
  [[nodiscard]] std::optional<Error> findFramingError(const cxxtools::http::Request& request) const;
  void writeError(std::ostream& out,
                  const cxxtools::http::Request& request,
                  cxxtools::http::Reply& reply,
                  const Error& error) const;

  const Router& router_;
  std::size_t maxBodyBytes_;
  std::optional<Error> framingError_;
  bool shouldStoreBody_ = false;
  std::string body_;
};

} // namespace figchute::admin
