#pragma once

#include "core/core.h"
#include "entry/CrashTable.h"
#include "entry/Directory.h"
#include "entry/Request.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"
#include "routing/routing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figchute::entry {

/** Functions for sending attempts to endpoints. */
struct UpstreamFunctions
{
  /** Starts an attempt. Its events are reported with the same attempt number. */
  std::function<void(gateway::UpstreamCall call, std::uint32_t attempt)> start;
  /** Cancels the running attempt of a request. */
  std::function<void(const RequestId& request)> cancel;
};

/** The components of an entry VM that the coordinator uses. They must outlive it. */
struct CoordinatorDependencies
{
  HolderId self;
  ledger::QuotaManager& quotaManager;
  ledger::Proposer& proposer;
  routing::Router& router;
  UpstreamFunctions upstream;
  Metrics& metrics;
  LogSink log;
};

/** Coordinates the processing of callers' requests from arrival to the last byte of the answer.

    A model request is validated, its tokens are reserved, it is queued, run and charged, and the
    final events are sent when the charge is recorded. A non-repeatable plain call is validated, its
    cost is reserved, its idempotency key is claimed in the log, it is queued and run once, and it
    is answered when the charge and the outcome are recorded.
    Thread safety: use one instance from one thread only. */
class Coordinator
{
public:
  /** If a claim is not committed within this time, the call is refused as not executed. */
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(2500);
  /** Maximum delay of an answer until its outcome is committed to the log. If it is sent without, a
      retry with the same key may get `outcome_unknown`. */
  static constexpr Duration kOutcomeTimeout = std::chrono::seconds(1);
  /** If a charge is not recorded within this time, the request ends with an error instead of an
      answer. */
  static constexpr Duration kChargeTimeout = std::chrono::seconds(10);

  /** Minimum interval between checks for expired waits. Each check iterates over all requests,
      which is too costly after every batch of tokens with 1,200 streams. */
  static constexpr Duration kExpiryInterval = std::chrono::milliseconds(10);

  explicit Coordinator(CoordinatorDependencies dependencies);

  /** Sets the directory that new requests are validated against. */
  void setDirectory(std::shared_ptr<const Directory> directory);

  /** Sets the fingerprints of quarantined requests, which are refused. */
  void setQuarantine(const std::vector<ledger::QuarantineEntry>& entries);

  /** Accepts a new request, which is answered through the sink during this call or later. */
  void handleRequest(Time now,
                     gateway::CallerRequest request,
                     std::shared_ptr<gateway::ResponseSink> sink);

  /** Handles the disconnection of a caller. A non-repeatable call that is running continues. */
  void handleDisconnect(Time now, const RequestId& id);

  /** Handles an event of an attempt. Events of earlier attempts are ignored. */
  void handleUpstreamEvent(Time now,
                           const RequestId& id,
                           std::uint32_t attempt,
                           gateway::UpstreamEvent event);

  /** Handles the result of a proposal. Proposals that belong to no request are ignored. */
  void handleProposalReply(Time now, const ledger::Proposer::Reply& reply);

  /** Processes decisions of the quota manager, actions of the router and expired waits. Must be
      called after every batch of events and at least every 10 ms. */
  void processPending(Time now);

  /** Returns the number of requests in progress. */
  [[nodiscard]] std::size_t inProgress() const { return requests_.size(); }

private:
  using Requests = std::map<RequestId, Request>;

  // Arrival (Coordinator.cpp).
  Expected<Request> validate(Time now, gateway::CallerRequest& input) const;
  Expected<void> validateChat(Request& request) const;
  Expected<void> validatePlainCall(Time now, Request& request, std::string_view target) const;
  [[nodiscard]] bool isQuarantined(Time now, Fingerprint contentFingerprint) const;

  // Reservation, claim, charge and outcome (CoordinatorLedger.cpp).
  void reserve(Time now, Request& request);
  void handleDecision(Time now, const ledger::Decision& decision);
  void claim(Time now, Request& request);
  void handleClaimResult(Time now, Request& request, const ledger::ClaimResult& result);
  void chargeRequest(Time now, Request& request, Tokens amount);
  void recordOutcome(Time now, Request& request, ledger::OutcomeKind kind);
  void releaseClaim(Time now, const Request& request);
  void handleChargeRecorded(Time now, const RequestId& id);
  void handleExpiredWaits(Time now);
  void sendAnswerIfRecorded(Time now, Request& request);

  // Running (CoordinatorRun.cpp).
  void submitToRouter(Time now, Request& request);
  void handleAction(Time now, const routing::Action& action);
  void dispatch(Time now, Request& request, const routing::Dispatch& dispatch);
  void startAttempt(Request& request, bool continueFromEnd);
  [[nodiscard]] gateway::UpstreamCall makeChatCall(const Request& request,
                                                   bool continueFromEnd) const;
  [[nodiscard]] gateway::UpstreamCall makePlainCall(const Request& request) const;
  void cancelAttempt(Request& request);
  void handle(Time now, Request& request, const gateway::UpstreamHead& head);
  void handle(Time now, Request& request, const gateway::UpstreamBody& body);
  void handle(Time now, Request& request, const gateway::UpstreamDone& done);
  void handle(Time now, Request& request, const gateway::UpstreamFailed& failed);
  void handleChatBytes(Time now, Request& request, std::string_view bytes);
  void handleChatProgress(Time now, Request& request, ChatProgress progress);
  void handleEngineError(Time now, Request& request, int status);
  void handleFailedAttempt(Time now,
                           Request& request,
                           const Error& error,
                           routing::AttemptFailure failure);
  void reportCrash(Time now, Request& request);
  void completeChat(Time now, Request& request);
  void completePlain(Time now, Request& request);

  // End (Coordinator.cpp).
  void logCompletion(const Request& request, std::string_view event, std::string_view kind) const;
  void sendResponse(Request& request);
  void refuse(Time now, Request& request, const Error& error, std::optional<Duration> delay = {});
  void eraseRequest(const RequestId& id);
  Request* findRequest(const RequestId& id);

  CoordinatorDependencies dependencies_;
  std::shared_ptr<const Directory> directory_;
  std::map<Fingerprint, Time> quarantine_;
  CrashTable crashTable_;
  Requests requests_;
  std::map<std::uint64_t, RequestId> requestsByProposal_;
  Time nextExpiryCheck_;
};

} // namespace figchute::entry
