#pragma once

#include "core/core.h"
#include "mesh/mesh.h"
#include "router/Dialect.h"
#include "router/LogWriter.h"
#include "router/RouterSettings.h"

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace figchute::router {

/** The process ends this long before the grace time, whatever is open. */
constexpr Duration kGraceMargin = std::chrono::milliseconds(500);

/** What the daemon gives a role. */
struct RoleContext
{
  boost::asio::io_context& io;
  const RouterSettings& settings;
  const Dialect& dialect;
  mesh::Mesh& mesh;
  LogWriter& log;
  Metrics& metrics;
  /** Larger at each start of the process. */
  Incarnation incarnation;
};

/** One role of the daemon. All calls come on the thread of the event loop. */
class Role
{
public:
  virtual ~Role() = default;

  /** Binds the sockets.
      @returns internal with the system's text when an address cannot be used; storage errors when
      the data folder cannot be read */
  virtual Expected<void> start() = 0;

  /** Takes a message of another process. */
  virtual void receive(const ProcessId& from,
                       Incarnation incarnation,
                       wire::Channel channel,
                       std::string body) = 0;

  /** Replaces the control addresses of the settings. */
  virtual void setSeeds(const std::vector<ProcessId>& seeds) = 0;

  /** Begins a clean stop. */
  virtual void beginStop() = 0;

  /** Returns whether a clean stop is complete. */
  [[nodiscard]] virtual bool stopped() const = 0;
};

/** Converts an address of the settings for Boost.Asio. Safe from any thread. */
boost::asio::ip::tcp::endpoint toEndpoint(const settings::Address& address);

} // namespace figchute::router
