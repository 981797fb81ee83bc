#include "admin/AdminServer.h"

#include "admin/Responder.h"
#include "admin/Router.h"

#include <atomic>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <exception>
#include <optional>
#include <thread>

namespace figchute::admin {

class AdminServer::Impl
{
public:
  Impl(AdminOptions options, AdminBackend& backend)
    : options_(std::move(options))
    , router_(options_, backend)
    , service_(router_, options_.maxBodyBytes)
  {
  }

  ~Impl() { stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Expected<void> start()
  {
    if (options_.operatorKey.empty() || options_.endpointKey.empty() ||
        options_.operatorKey == options_.endpointKey) {
      return fail(ErrorKind::badRequest, "the operator key and the endpoint key must be different");
    }
    try {
      server_.emplace(loop_);
      server_->minThreads(options_.minThreads);
      server_->maxThreads(options_.maxThreads);
      server_->readTimeout(cxxtools::Milliseconds(double(options_.senderTimeout.count())));
      server_->addService(cxxtools::Regex(".*"), service_);
      server_->listen(options_.ip, options_.port);
    } catch (const std::exception& exception) {
      server_.reset();
      return fail(ErrorKind::internal,
                  "cannot listen on " + options_.ip + ":" + std::to_string(options_.port) + ": " +
                    exception.what());
    }
    thread_ = std::thread([this] { run(); });
    return {};
  }

  void stop()
  {
    isStopping_ = true;
    if (thread_.joinable()) {
      loop_.exit();
      thread_.join();
    }
    server_.reset();
  }

private:
  // An exception that leaves the event loop concerns a single connection, so the loop is run again
  // for the other connections.
  void run()
  {
    while (!isStopping_) {
      try {
        loop_.run();
      } catch (const std::exception&) {
        ++loopExceptionCount_;
      }
    }
  }

  AdminOptions options_;
  Router router_;
  Service service_;
  cxxtools::EventLoop loop_;
  std::optional<cxxtools::http::Server> server_;
  std::thread thread_;
  std::atomic<bool> isStopping_{ false };
  std::atomic<unsigned> loopExceptionCount_{ 0 };
};

AdminServer::AdminServer(AdminOptions options, AdminBackend& backend)
  : impl_(std::make_unique<Impl>(std::move(options), backend))
{
}

AdminServer::~AdminServer() = default;

Expected<void> AdminServer::start()
{
  return impl_->start();
}

void AdminServer::stop()
{
  impl_->stop();
}

} // namespace figchute::admin
