#pragma once

#include "core/core.h"
#include "http/http.h"
#include "mesh/mesh.h"
#include "router/Dialect.h"
#include "router/LogWriter.h"
#include "router/RouterSettings.h"

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace figchute::router {

/** A stopping process exits this long before the end of its grace period, even with open requests.
 */
constexpr Duration kGraceMargin = std::chrono::milliseconds(500);

/** Resources of the daemon that a role uses. */
struct RoleContext
{
  boost::asio::io_context& io;
  const RouterSettings& settings;
  const Dialect& dialect;
  mesh::Mesh& mesh;
  LogWriter& log;
  Metrics& metrics;
  /** Increases with each start of the process. */
  Incarnation incarnation;
};

/** Interface of the roles of the daemon. Thread safety: called on the thread of the event loop
 * only. */
class Role
{
public:
  virtual ~Role() = default;

  /** Starts the role and listens on its addresses.
      @returns internal with the message of the operating system when an address cannot be bound;
     storage errors when the data folder cannot be read */
  virtual Expected<void> start() = 0;

  /** Handles a message from another process. */
  virtual void receive(const ProcessId& from,
                       Incarnation incarnation,
                       wire::Channel channel,
                       std::string body) = 0;

  /** Replaces the seeds, the known control processes. */
  virtual void setSeeds(const std::vector<ProcessId>& seeds) = 0;

  /** Responds to a request at kExplanationPath of the metrics address. */
  virtual void explain(http::ServerRequest& request) = 0;

  /** Begins a clean stop. */
  virtual void beginStop() = 0;

  /** Returns whether a clean stop is complete. */
  [[nodiscard]] virtual bool isStopped() const = 0;

  /** Aborts the requests that are still open, because the process exits. Nothing else is called
   * afterwards. */
  virtual void abortRequests(Time now) = 0;
};

/** Converts an address of the settings to a Boost.Asio endpoint. Thread safety: safe from any
 * thread. */
boost::asio::ip::tcp::endpoint toEndpoint(const settings::Address& address);

} // namespace figchute::router
