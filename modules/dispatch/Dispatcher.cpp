#include "dispatch/Dispatcher.h"

#include "dispatch/Admission.h"
#include "dispatch/EndpointHealth.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/EngineChoice.h"
#include "dispatch/PlainChoice.h"
#include "dispatch/RepeatBudget.h"
#include "dispatch/SendTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::dispatch {
namespace {

/** The page allows this part of the common repeat budget to the requests of the processes, so that
    the sum stays below it when they do not get equal shares of the traffic. */
constexpr double kRatioPart = 0.75;
constexpr double kSlackPart = 0.5;

/** A request under which this many connections broke is not repeated: if it is one that crashes its
    endpoints, it would reach the common limit of crashes by its own repeats. */
constexpr std::uint64_t kMostBroken = 2;

/** Without any bytes for this long from an endpoint that has work of this process, the endpoint is
    silent. The largest pause between events that is on time is 0.5 s. */
constexpr Duration kSilence = std::chrono::milliseconds(1200);
/** A single request is overdue after this many times its prediction, at least its target. */
constexpr int kOverdueFactor = 4;
constexpr Duration kOverdueMargin = std::chrono::milliseconds(500);

/** An endpoint that has sent nothing at all since a request went there is silent after the target
   of the request, at least this many times the prediction. Half of the target and twice the
   prediction took engines with long prompts for silent: 0.4% of calm requests were repeated. */
constexpr int kSilentFactor = 3;
/** A trial is given up after this many tenths of the target, so that the request can still be on
   time at another endpoint. */
constexpr int kTrialPart = 4;

/** A trial waits this long for a request that may be repeated before it takes one that may not. */
constexpr Duration kTrialPatience = std::chrono::seconds(2);

constexpr Duration kInitialServiceTime = std::chrono::milliseconds(500);
constexpr double kServiceTimeSmoothing = 0.05;
/** Loads vary by the request; the share of the traffic changes within minutes. */
constexpr double kShareSmoothing = 0.02;
constexpr double kLeastShare = 0.01;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(2);

/** What this process knows of a service. */
struct ServiceState
{
  fleet::ServiceSettings settings;
  RepeatBudget repeats;
  /** Mean time from send to end of answered requests. */
  Duration serviceTime = kInitialServiceTime;
  /** Part of the running requests of all processes that are this process's; 0 before the first
      request. */
  double share = 0;
};

} // namespace

class Dispatcher::Impl
{
public:
  explicit Impl(DispatcherSettings settings)
    : settings_(std::move(settings))
    , engineChoice_(settings_.zone)
    , allRepeats_(settings_.repeatWindow)
  {
  }

  void setServices(std::span<const fleet::ServiceSettings> services)
  {
    std::map<ServiceName, ServiceState> next;
    for (const auto& service : services) {
      const auto known = services_.find(service.name);
      auto state =
        known == services_.end()
          ? ServiceState{ service, RepeatBudget(settings_.repeatWindow), kInitialServiceTime, 0 }
          : known->second;
      state.settings = service;
      next.emplace(service.name, std::move(state));
    }
    services_ = std::move(next);
  }

  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> records)
  {
    for (const auto place : endpoints_.replace(now, records)) {
      health_.gone(now, place);
    }
  }

  void setPeers(std::size_t entryProcesses) { peers_ = std::max<std::size_t>(entryProcesses, 1); }

  tl::expected<Choice, Refusal> choose(Time now,
                                       const Work& work,
                                       std::span<const EndpointId> excluded)
  {
    now_ = now;
    const auto service = services_.find(work.service);
    if (service == services_.end()) {
      return refuse(now, work, ErrorKind::noEndpoint, kLongestRetryAfter, "unknown service");
    }
    const auto quarantine =
      work.fingerprint == 0 ? Duration(0) : health_.crashes().refusedFor(now, work.fingerprint);
    if (quarantine > Duration(0)) {
      return tl::unexpected<Refusal>(
        Refusal{ ErrorKind::quarantined, quarantine, "the request crashed several endpoints" });
    }
    if (auto refusal = admitAttempt(now, work, service->second)) {
      return tl::unexpected<Refusal>(*refusal);
    }
    auto choice = service->second.settings.engine
                    ? chooseEngine(now, work, service->second, excluded)
                    : choosePlain(now, work, service->second, excluded);
    return choice;
  }

  void firstByte(Time now, std::uint64_t workId)
  {
    auto* request = requests_.find(workId);
    if (request == nullptr || !request->send || request->send->answering) {
      return;
    }
    auto& send = *request->send;
    send.answering = true;
    send.heardAt = now;
    if (auto* endpoint = endpoints_.find(send.place)) {
      endpoint->heardAt = now;
      endpoint->firstToken.ended(request->priority, send.reading);
      endpoint->firstToken.observe(now, send.expected, now - send.sentAt);
      endpoint->pace.streamBegan(now);
      health_.answering(send);
    }
  }

  void progress(Time now, std::uint64_t workId, std::int64_t tokens)
  {
    auto* request = requests_.find(workId);
    if (request == nullptr || !request->send) {
      return;
    }
    auto& send = *request->send;
    if (auto* endpoint = endpoints_.find(send.place)) {
      endpoint->heardAt = now;
      if (send.answering) {
        endpoint->pace.tokensCame(now, now - send.heardAt, tokens);
      }
    }
    send.heardAt = now;
  }

  void finished(Time now, std::uint64_t workId, Outcome outcome)
  {
    auto* request = requests_.find(workId);
    if (request == nullptr || !request->send) {
      return;
    }
    now_ = std::max(now_, now);
    const auto send = requests_.end(*request);
    auto* endpoint = endpoints_.find(send.place);
    if (endpoint == nullptr) {
      health_.endedAtGone(now, *request, outcome);
      return;
    }
    endpoint->load.adjustOwnRequests(now, -1);
    endpoint->heldTokens -= request->promptTokens;
    if (!send.answering) {
      endpoint->firstToken.ended(request->priority, send.reading);
    } else {
      endpoint->pace.streamEnded();
    }
    noteEnd(now, *request, send, *endpoint, outcome);
  }

  void forget(Time now, std::uint64_t workId)
  {
    finished(now, workId, Outcome::cancelled);
    requests_.forget(workId);
  }

  void load(Time now, const EndpointId& id, const LoadReport& report)
  {
    auto* endpoint = endpoints_.find(id);
    if (endpoint == nullptr) {
      return;
    }
    endpoint->heardAt = now;
    endpoint->reportedAt = now;
    endpoint->load.report(now,
                          static_cast<std::uint32_t>(std::max(report.running, 0)) +
                            static_cast<std::uint32_t>(std::max(report.waiting, 0)));
    if (report.slots > 0) {
      endpoint->slots = report.slots;
    }
  }

  void tick(Time now)
  {
    now_ = now;
    health_.crashes().expire(now);
    for (auto& [id, request] : requests_.all()) {
      if (request.send && !request.send->overdue && isOverdue(now, request)) {
        request.send->overdue = true;
        stalled_.push_back(id);
        if (auto* endpoint = endpoints_.find(request.send->place)) {
          health_.silent(now, *request.send, *endpoint);
        }
      }
    }
  }

  [[nodiscard]] Time now() const { return now_; }

  CrashTable& crashes() { return health_.crashes(); }
  std::vector<std::string> takeEvents() { return health_.takeEvents(); }
  std::vector<std::uint64_t> takeStalled() { return std::exchange(stalled_, {}); }

private:
  static tl::unexpected<Refusal> refuse(Time now,
                                        const Work& work,
                                        ErrorKind kind,
                                        Duration after,
                                        std::string detail)
  {
    const auto bounded = std::clamp(after, kShortestRetryAfter, kLongestRetryAfter);
    const auto third = std::max((work.deadline - now) / 3, Duration(0));
    return tl::unexpected<Refusal>(Refusal{ kind, std::min(bounded, third), std::move(detail) });
  }

  /** Counts the attempt; returns a refusal when it is one too many. */
  std::optional<Refusal> admitAttempt(Time now, const Work& work, ServiceState& service)
  {
    const bool isNew = requests_.find(work.id) == nullptr;
    auto& request = requests_.of(work);
    if (isNew) {
      service.repeats.countRequest(now);
      allRepeats_.countRequest(now);
    }
    if (request.send) {
      finished(now, work.id, Outcome::cancelled);
    }
    if (request.sends == 0) {
      return std::nullopt;
    }
    const auto broken = health_.crashes().broken(work.fingerprint);
    if (request.sends >= work.maxAttempts || broken >= kMostBroken) {
      return Refusal{ ErrorKind::endpointFailed, kShortestRetryAfter, "no attempt left" };
    }
    const double ratio = kRatioPart * settings_.repeatRatio;
    const double slack = kSlackPart * settings_.repeatSlack / static_cast<double>(peers_);
    if (!service.repeats.allows(now, ratio, slack) || !allRepeats_.allows(now, ratio, slack)) {
      return Refusal{ ErrorKind::overloaded, kLongestRetryAfter, "the repeat budget is used up" };
    }
    return std::nullopt;
  }

  /** Updates and returns the part of the running requests of all processes that are this
      process's. */
  double shareOf(ServiceState& service, const Work& work)
  {
    double own = 0;
    double all = 0;
    for (const auto place : endpoints_.ofService(work.service)) {
      const auto& endpoint = *endpoints_.find(place);
      own += endpoint.load.ownRequests();
      all += endpoint.load.current();
    }
    if (service.share <= 0) {
      service.share = 1.0 / static_cast<double>(peers_);
    }
    if (all > 0) {
      service.share += kShareSmoothing * (own / all - service.share);
    }
    return std::max(service.share, kLeastShare);
  }

  [[nodiscard]] std::size_t connectionShare(const ServiceState& service) const
  {
    const auto all = static_cast<std::size_t>(std::max(service.settings.maxConnections, 1));
    return std::max<std::size_t>(all / peers_, 1);
  }

  /** Returns the endpoints that may take the request, closed breakers only. */
  std::vector<Candidate> candidatesFor(const Work& work,
                                       const ServiceState& service,
                                       std::span<const EndpointId> excluded)
  {
    std::vector<Candidate> candidates;
    for (const auto place : endpoints_.ofService(work.service)) {
      auto& endpoint = *endpoints_.find(place);
      if (!endpoint.breaker.isOpen() && mayTake(endpoint, work, service, excluded)) {
        candidates.push_back(candidateOf(endpoint));
      }
    }
    return candidates;
  }

  [[nodiscard]] Admission admissionOf(const Work& work) const
  {
    return { work.priority, requests_.isSmall(work.service, work.workspace) };
  }

  [[nodiscard]] bool mayTake(const Endpoint& endpoint,
                             const Work& work,
                             const ServiceState& service,
                             std::span<const EndpointId> excluded) const
  {
    return endpoint.record.state == fleet::EndpointState::ready &&
           endpoint.load.ownRequests() <
             admissionOf(work).connectionLimit(connectionShare(service)) &&
           std::find(excluded.begin(), excluded.end(), endpoint.record.id) == excluded.end();
  }

  [[nodiscard]] Candidate candidateOf(Endpoint& endpoint) const
  {
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.load = endpoint.load.current();
    candidate.ownZone = endpoint.record.zone == settings_.zone;
    return candidate;
  }

  /** Returns an endpoint that is out and waits for a trial that this request may be. */
  std::optional<Candidate> trialFor(Time now,
                                    const Work& work,
                                    const ServiceState& service,
                                    std::span<const EndpointId> excluded)
  {
    const bool repeatable = work.kind == fleet::RouteKind::repeatable || work.resumable;
    const bool safe = repeatable && work.maxAttempts > static_cast<int>(excluded.size()) + 1;
    for (const auto place : endpoints_.ofService(work.service)) {
      auto& endpoint = *endpoints_.find(place);
      if (!endpoint.breaker.isTrialDue(now) || !mayTake(endpoint, work, service, excluded)) {
        continue;
      }
      const bool harmless = safe || endpoint.breaker.isAfterLostConnection();
      if (harmless || now >= endpoint.breaker.trialAt() + kTrialPatience) {
        return candidateOf(endpoint);
      }
    }
    return std::nullopt;
  }

  tl::expected<Choice, Refusal> chooseEngine(Time now,
                                             const Work& work,
                                             ServiceState& service,
                                             std::span<const EndpointId> excluded)
  {
    const auto keys = prefixKeys(work);
    const EngineContext context{
      now, service.settings.engine->kvCapacity, service.serviceTime, shareOf(service, work)
    };
    if (auto trial = trialFor(now, work, service, excluded)) {
      EngineChoice::predict(context, work, keys, *trial);
      return send(now, work, service, keys, *trial);
    }
    auto candidates = candidatesFor(work, service, excluded);
    if (candidates.empty()) {
      return noCandidate(now, work);
    }
    const auto admission = admissionOf(work);
    auto after = kLongestRetryAfter;
    bool full = true;
    for (auto& candidate : candidates) {
      const auto slots = candidate.endpoint->slots;
      const auto limit = admission.engineLimit(slots);
      if (candidate.load < limit) {
        full = false;
      }
      after =
        std::min(after, Admission::roomAfter(candidate.load, limit, slots, service.serviceTime));
      EngineChoice::predict(context, work, keys, candidate);
    }
    if (full) {
      return refuse(now, work, ErrorKind::overloaded, after, "all engines are full");
    }
    const auto chosen = engineChoice_.pick(context, work, keys, candidates);
    return send(now, work, service, keys, candidates[chosen]);
  }

  tl::expected<Choice, Refusal> choosePlain(Time now,
                                            const Work& work,
                                            ServiceState& service,
                                            std::span<const EndpointId> excluded)
  {
    const std::vector<Fingerprint> keys;
    if (const auto trial = trialFor(now, work, service, excluded)) {
      return send(now, work, service, keys, *trial);
    }
    auto candidates = candidatesFor(work, service, excluded);
    if (candidates.empty()) {
      return noCandidate(now, work);
    }
    ageLoads(now, service.serviceTime, candidates);
    return send(now, work, service, keys, candidates[pickPlain(now, candidates)]);
  }

  tl::unexpected<Refusal> noCandidate(Time now, const Work& work)
  {
    bool busy = false;
    auto after = kLongestRetryAfter;
    for (const auto place : endpoints_.ofService(work.service)) {
      const auto& endpoint = *endpoints_.find(place);
      if (endpoint.breaker.isOpen()) {
        after = std::min(after, endpoint.breaker.trialAt() - now);
      } else if (endpoint.load.ownRequests() > 0) {
        busy = true;
      }
    }
    if (busy) {
      const auto service = services_.find(work.service);
      return refuse(now,
                    work,
                    ErrorKind::overloaded,
                    service->second.serviceTime / 4,
                    "all connections are in use");
    }
    return refuse(now, work, ErrorKind::noEndpoint, after, "no endpoint is left");
  }

  Choice send(Time now,
              const Work& work,
              ServiceState& service,
              std::span<const Fingerprint> keys,
              const Candidate& candidate)
  {
    auto& endpoint = *candidate.endpoint;
    auto& request = requests_.of(work);
    if (request.sends > 0) {
      service.repeats.countRepeat(now);
      allRepeats_.countRepeat(now);
    }
    Send entry;
    entry.place = endpoint.place;
    entry.sentAt = now;
    entry.heardAt = now;
    entry.trial = endpoint.breaker.isOpen();
    entry.reading = candidate.reading;
    entry.expected = candidate.expected;
    entry.predicted = candidate.predicted;
    requests_.begin(request, entry);
    if (entry.trial) {
      endpoint.breaker.beginTrial();
    }
    endpoint.load.adjustOwnRequests(now, 1);
    endpoint.heldTokens += work.promptTokens;
    endpoint.firstToken.sent(work.priority, entry.reading);
    endpoint.cache.use(now, keys, candidate.newTokens);
    return Choice{ endpoint.record.id, endpoint.record.address, connectionShare(service) };
  }

  /** Returns whether a send has had no sign of life from its endpoint for too long. */
  [[nodiscard]] bool isOverdue(Time now, const RequestState& request)
  {
    const auto& send = *request.send;
    const auto* endpoint = endpoints_.find(send.place);
    if (endpoint == nullptr) {
      return false;
    }
    const auto silent = now - std::max(send.heardAt, endpoint->heardAt);
    if (send.answering) {
      return silent > kSilence;
    }
    const auto share = send.trial ? kTrialPart * request.target / 10 : request.target;
    if (silent > std::max(share, kSilentFactor * send.predicted)) {
      return true;
    }
    const auto patience =
      std::max(request.target, kOverdueFactor * send.predicted) + kOverdueMargin;
    return now - send.sentAt > patience;
  }

  void noteEnd(Time now,
               const RequestState& request,
               const Send& send,
               Endpoint& endpoint,
               Outcome outcome)
  {
    const auto found = services_.find(request.service);
    if (found == services_.end()) {
      return;
    }
    auto& service = found->second;
    const bool full = outcome == Outcome::notExecuted && isFull(endpoint, service);
    if (full) {
      endpoint.fullUntil = now + service.serviceTime / std::max(endpoint.slots, 1);
    }
    if (outcome == Outcome::answered) {
      endpoint.heardAt = now;
      const auto micros = static_cast<double>((now - send.sentAt - service.serviceTime).count());
      service.serviceTime += Duration(static_cast<std::int64_t>(kServiceTimeSmoothing * micros));
    }
    health_.ended(now, request, send, endpoint, outcome, full);
  }

  /** Returns whether a refusal by the endpoint is explained by its load. */
  [[nodiscard]] static bool isFull(const Endpoint& endpoint, const ServiceState& service)
  {
    constexpr double kNearlyFull = 0.8;
    constexpr double kPlacesPerSlot = 4;
    const double places = endpoint.slots * (service.settings.engine ? kPlacesPerSlot : 1);
    return endpoint.load.current() + 1 >= kNearlyFull * places;
  }

  DispatcherSettings settings_;
  EngineChoice engineChoice_;
  Time now_;
  std::size_t peers_ = 1;
  std::map<ServiceName, ServiceState> services_;
  EndpointTable endpoints_;
  SendTable requests_;
  RepeatBudget allRepeats_;
  EndpointHealth health_{ endpoints_ };
  std::vector<std::uint64_t> stalled_;
};

Dispatcher::Dispatcher(DispatcherSettings settings)
  : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setServices(Time /*now*/, std::span<const fleet::ServiceSettings> services)
{
  impl_->setServices(services);
}

void Dispatcher::setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints)
{
  impl_->setEndpoints(now, endpoints);
}

void Dispatcher::setPeers(std::size_t entryProcesses)
{
  impl_->setPeers(entryProcesses);
}

tl::expected<Choice, Refusal> Dispatcher::choose(Time now,
                                                 const Work& work,
                                                 std::span<const EndpointId> excluded)
{
  return impl_->choose(now, work, excluded);
}

void Dispatcher::firstByte(Time now, std::uint64_t workId)
{
  impl_->firstByte(now, workId);
}

void Dispatcher::progress(Time now, std::uint64_t workId, std::int64_t tokens)
{
  impl_->progress(now, workId, tokens);
}

void Dispatcher::finished(Time now, std::uint64_t workId, Outcome outcome)
{
  impl_->finished(now, workId, outcome);
}

void Dispatcher::forget(std::uint64_t workId)
{
  impl_->forget(impl_->now(), workId);
}

void Dispatcher::load(Time now, const EndpointId& endpoint, const LoadReport& report)
{
  impl_->load(now, endpoint, report);
}

void Dispatcher::addCrashes(Time now, std::uint64_t fingerprint, std::uint64_t crashes)
{
  impl_->crashes().add(now, fingerprint, crashes);
}

std::vector<std::uint64_t> Dispatcher::takeCrashes()
{
  return impl_->crashes().takeCrashes();
}

void Dispatcher::tick(Time now)
{
  impl_->tick(now);
}

std::vector<std::string> Dispatcher::takeEvents()
{
  return impl_->takeEvents();
}

std::vector<std::uint64_t> Dispatcher::takeStalled()
{
  return impl_->takeStalled();
}

} // namespace figchute::dispatch
