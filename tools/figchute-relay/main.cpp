#include "gateway/CallerServer.h"
#include "gateway/UpstreamPool.h"

#include <charconv>
#include <csignal>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <popt.h>
#include <string>
#include <utility>

namespace figchute::relay {
namespace {

using gateway::CallerRequest;
using gateway::ResponseSink;
using gateway::UpstreamBody;
using gateway::UpstreamDone;
using gateway::UpstreamEvent;
using gateway::UpstreamFailed;
using gateway::UpstreamHead;

struct Endpoint
{
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

/** Forwards the events of one upstream call to its caller. */
struct EventForwarder
{
  std::shared_ptr<ResponseSink> sink;
  RequestId request;

  void operator()(UpstreamHead head) const
  {
    sink->begin(head.status, std::move(head.headers), true);
  }
  void operator()(UpstreamBody body) const { sink->write(std::move(body.bytes)); }
  void operator()(UpstreamDone /*done*/) const { sink->finish(); }
  void operator()(const UpstreamFailed& failed) const { sink->fail(failed.error, {}, request); }
};

/** Forwards every request to one endpoint. */
class Relay : public gateway::RequestHandler
{
public:
  Relay(gateway::UpstreamPool& pool, Endpoint endpoint)
    : pool_(pool)
    , endpoint_(std::move(endpoint))
  {
  }

  void handle(CallerRequest request, std::shared_ptr<ResponseSink> sink) override
  {
    const EventForwarder forwardEvent{ std::move(sink), request.id };
    gateway::UpstreamCall call;
    call.request = request.id;
    call.host = endpoint_.host;
    call.port = endpoint_.port;
    call.method = request.method;
    call.target = request.target;
    call.headers = { { "Content-Type", request.contentType } };
    call.body = std::move(request.body);
    pool_.start(std::move(call), [forwardEvent](UpstreamEvent event) {
      std::visit(forwardEvent, std::move(event));
    });
  }

  void disconnected(const RequestId& request) override { pool_.cancel(request); }

private:
  gateway::UpstreamPool& pool_;
  Endpoint endpoint_;
};

struct Options
{
  int port = 0;
  int endpointPort = 0;
  int threads = 2;
  int stopAfterSeconds = 600;
};

bool parseOptions(int argc, const char** argv, Options& options)
{
  const poptOption table[] = {
    { "port", 0, POPT_ARG_INT, &options.port, 0, "loopback port, 0 selects a free port", "PORT" },
    { "endpoint", 0, POPT_ARG_INT, &options.endpointPort, 0, "loopback port to call", "PORT" },
    { "threads", 0, POPT_ARG_INT, &options.threads, 0, "event loop threads", "N" },
    { "stop-after",
      0,
      POPT_ARG_INT,
      &options.stopAfterSeconds,
      0,
      "exit after this time",
      "SECONDS" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context = poptGetContext("figchute-relay", argc, argv, table, 0);
  const int optionStatus = poptGetNextOpt(context);
  if (optionStatus != -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(optionStatus) << '\n';
  }
  poptFreeContext(context);
  return optionStatus == -1 && options.endpointPort > 0 && options.threads > 0 &&
         options.stopAfterSeconds > 0;
}

int run(const Options& options)
{
  // The signals are blocked before the threads start, so that only sigtimedwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  gateway::UpstreamLimits limits;
  limits.threads = static_cast<unsigned>(options.threads);
  gateway::UpstreamPool pool(limits);
  Relay relay(pool, { "127.0.0.1", static_cast<std::uint16_t>(options.endpointPort) });
  gateway::ServerSettings settings;
  settings.port = static_cast<std::uint16_t>(options.port);
  auto server = gateway::CallerServer::listen(settings, relay);
  if (!server) {
    std::cerr << "figchute-relay: " << server.error().detail << '\n';
    return 1;
  }
  std::cout << "listening 127.0.0.1:" << (*server)->port() << std::endl;
  const timespec runTime{ options.stopAfterSeconds, 0 };
  sigtimedwait(&signals, nullptr, &runTime);
  (*server)->beginStop();
  (*server)->waitUntilIdle(std::chrono::seconds(2));
  return 0;
}

} // namespace
} // namespace figchute::relay

/** Measures the gateway module alone: an HTTP server for callers that forwards every request to one
    endpoint, without admission, routing or charges. */
int main(int argc, const char** argv)
{
  figchute::relay::Options options;
  if (!figchute::relay::parseOptions(argc, argv, options)) {
    std::cerr << "usage: figchute-relay --endpoint PORT [--port PORT] [--threads N]\n";
    return 1;
  }
  return figchute::relay::run(options);
}
