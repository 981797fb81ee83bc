#pragma once

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "fleet/RouteTable.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "router/Dialect.h"
#include "router/EventCounter.h"
#include "router/EventRelay.h"
#include "router/LogWriter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figchute::router {

/** What all exchanges of an entry process share. */
struct EntryServices
{
  const Dialect& dialect;
  dispatch::Dispatcher& dispatcher;
  ledger::Wallet& wallet;
  http::ClientPool& pool;
  LogWriter& log;
  Metrics& metrics;
  /** The configuration in force; null before the first one. */
  std::shared_ptr<const fleet::RouteTable> table;
  /** Revision of the endpoint registry in use, for logs. */
  std::uint64_t endpointRevision = 0;
  /** Called after a send failed in a way that may show a crash of an endpoint. */
  std::function<void(Time)> connectionLost;
  /** Set when the process stops: streams that begin later are refused as not run. */
  std::optional<Time> noStreamsAfter = std::nullopt;
  /** Set when the process stops: open requests are cut then. */
  std::optional<Time> endsAt = std::nullopt;
};

/** Returns the budget of a workspace. Safe from any thread. */
BudgetId budgetOf(std::string_view workspace);

/** Returns the budgets of a configuration. Safe from any thread. */
std::vector<ledger::PrepaidBudget> budgetsOf(const fleet::Configuration& configuration);

/** One request from its arrival to the end of its answer: route, key, budget, choice of an
   endpoint, call, relay. It decides which status an end may have: 503 and its like promise that no
   endpoint ran the request. A stream of a resumable route that breaks is continued at another
   endpoint within the same answer. Thread safety: use it on the thread of the event loop only. */
class Exchange final
  : public http::CallListener
  , public std::enable_shared_from_this<Exchange>
{
public:
  /** @param services  outlives the exchange
      @param request   the request, completely read
      @param id        unique in this process
      @param ended     called once, when the exchange needs no more calls; it may drop it */
  Exchange(EntryServices& services,
           std::shared_ptr<http::ServerRequest> request,
           std::uint64_t id,
           std::function<void(std::uint64_t)> ended);

  ~Exchange() override;

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /** Starts the exchange. Call it once. */
  void begin(Time now);

  /** Takes the wallet's decision on a request that waited for a grant. */
  void decided(Time now, const ledger::Decision& decision);

  /** Takes the dispatcher's verdict that the endpoint gives no sign of life. The next sweep() sends
      a request that may run again elsewhere, and continues a stream that can be continued. */
  void stalled() { stalled_ = true; }

  /** Applies the time limits. Call it about every 50 ms. */
  void sweep(Time now);

  void onSent() override;
  void onHead(const http::ResponseHead& head) override;
  void onBody(std::string_view bytes) override;
  void onComplete() override;
  void onFailure(const http::CallFailure& failure) override;

private:
  enum class Stage : std::uint8_t
  {
    created,
    waitingForGrant,
    waitingForHead,
    relaying,
    ended,
  };

  Expected<void> resolve(Time now);
  Expected<void> authenticate(const fleet::Route& route);
  Expected<void> describeWork(Time now, const fleet::Route& route);
  /** Tells whether the stopping process would cut the request before its answer is complete. */
  [[nodiscard]] bool endsTooSoon(Time now) const;
  void reserve(Time now);
  void sendNext(Time now, Duration pause = Duration{ 0 });
  [[nodiscard]] tl::expected<dispatch::Choice, dispatch::Refusal> chooseNext(Time now);
  void take(Time now, const dispatch::Choice& choice, Duration pause);
  void startSend(Time now);
  http::RequestHead forwardedHead(Time now, const dispatch::Choice& choice) const;
  [[nodiscard]] bool mayRepeat() const;
  [[nodiscard]] bool mayRunAgain() const;
  void failedSend(Time now, dispatch::Outcome outcome, bool sent, const std::string& detail);
  void finishSend(Time now, dispatch::Outcome outcome);
  void logFailedSend(Time now, dispatch::Outcome outcome, const std::string& detail);
  void moveElsewhere(Time now);
  void refuse(Time now, const dispatch::Refusal& refusal);
  void answerError(Time now, const Error& error, Duration retryAfter);
  void cut(Time now, std::string_view outcome);
  void callerGone();
  void startRelay(const http::ResponseHead& head);
  void joinAnswer(Time now, const http::ResponseHead& head, bool marked);
  bool relayEvents(std::string_view bytes);
  void relay(std::string_view bytes);
  void noteProgress(std::int64_t events);
  void noteFirstByte(Time now);
  [[nodiscard]] bool answerStarted() const { return status_ != 0; }
  [[nodiscard]] bool canContinue() const;
  void bill(Time now);
  void end(Time now, std::string_view outcome, int status, std::string_view detail);

  EntryServices& services_;
  std::shared_ptr<http::ServerRequest> request_;
  std::uint64_t id_;
  std::function<void(std::uint64_t)> ended_;

  std::shared_ptr<const fleet::RouteTable> table_;
  const fleet::Route* route_ = nullptr;
  const fleet::WorkspaceSettings* workspace_ = nullptr;
  std::string requestId_;
  RequestId ledgerId_;
  dispatch::Work work_;
  int stride_ = 1;
  bool modelService_ = false;
  Time arrival_;
  /** When the caller stops waiting or the route's time-out ends, whichever is first. */
  Time limit_;

  Stage stage_ = Stage::created;
  bool reserved_ = false;
  bool placed_ = false;
  std::shared_ptr<http::Call> call_;
  std::vector<EndpointId> tried_;
  EndpointId endpoint_;
  Time sendStartedAt_;
  bool sent_ = false;
  /** Nothing came from the endpoint of the current send for too long. */
  bool stalled_ = false;
  /** The endpoint is not read because the caller is slow. */
  bool paused_ = false;
  /** No further endpoint is looked for before this time. */
  Time moveAt_;
  /** A send of the request reached an endpoint that did not say that it did not run it. */
  bool mayHaveRun_ = false;
  int sends_ = 0;
  int connectFailures_ = 0;
  /** The last send failed on a kept connection before any byte of an answer, which says little of
      the endpoint. */
  bool keptDied_ = false;
  /** Where the next send goes. */
  dispatch::Choice choice_;
  /** When the next send starts; set while it waits for an earlier endpoint to stop. */
  std::optional<Time> sendAt_;
  /** The answer is relayed by whole events, so that another endpoint can continue it. */
  bool byEvent_ = false;
  EventRelay eventRelay_;
  EventCounter events_;
  std::int64_t deliveredTokens_ = 0;
  std::int64_t deliveredBytes_ = 0;
  Time firstByteAt_;
  /** When the last event of a stream came, and the longest pause between two of them. */
  Time lastEventAt_;
  Duration longestPause_{ 0 };
  /** The dispatcher knows that the current send is answered. */
  bool answering_ = false;
  /** The status of the answer once its head was relayed. */
  int status_ = 0;
};

} // namespace figchute::router
