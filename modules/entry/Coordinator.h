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

/** How the coordinator reaches endpoints. */
struct UpstreamPort
{
  /** Starts one attempt; its events come back with the same attempt number. */
  std::function<void(gateway::UpstreamCall call, std::uint32_t attempt)> start;
  /** Ends the running attempt of a request. */
  std::function<void(const RequestId& request)> cancel;
};

/** The parts of an entry VM that the coordinator connects. They outlive it. */
struct CoordinatorParts
{
  HolderId self;
  ledger::Wallet& wallet;
  ledger::Proposer& proposer;
  routing::Router& router;
  UpstreamPort upstream;
  Metrics& metrics;
  LogSink log;
};

/** Takes each request of a caller from its arrival to its last byte.

    Order for a model request: check, reserve tokens, queue, run, charge, send the last events once
    the charge is recorded. For a non-repeatable plain call: check, reserve its cost, claim the key
   in the log, queue, run once, record charge and outcome, answer.

    Thread safety: use one instance from one thread only. */
class Coordinator
{
public:
  /** A claim waits this long for the log before the call is refused as not run. */
  static constexpr Duration kClaimWait = std::chrono::milliseconds(2500);
  /** An answer waits this long for its outcome in the log; after that a retry of its key gets
      `outcome_unknown` at worst. */
  static constexpr Duration kOutcomeWait = std::chrono::seconds(1);
  /** An answer waits this long for the record of its charge. */
  static constexpr Duration kChargeWait = std::chrono::seconds(10);

  /** Waits are looked through this often, not after every batch of tokens: at 1,200 streams each
     look reads 1,200 requests. */
  static constexpr Duration kExpiryInterval = std::chrono::milliseconds(10);

  explicit Coordinator(CoordinatorParts parts);

  /** Replaces the documents that new requests are checked against. */
  void setDirectory(std::shared_ptr<const Directory> directory);

  /** Replaces the fingerprints that are refused. */
  void setQuarantine(const std::vector<ledger::QuarantineEntry>& entries);

  /** Takes a new request and answers it through the sink, now or later. */
  void arrive(Time now,
              gateway::CallerRequest request,
              std::shared_ptr<gateway::ResponseSink> sink);

  /** Ends a request whose caller has gone. */
  void disconnected(Time now, const RequestId& id);

  /** Handles an event of an attempt; events of earlier attempts are ignored. */
  void takeUpstream(Time now,
                    const RequestId& id,
                    std::uint32_t attempt,
                    gateway::UpstreamEvent event);

  /** Handles the answer to a proposal, if it belongs to a request. */
  void takeReply(Time now, const ledger::Proposer::Reply& reply);

  /** Handles decisions of the wallet and the router and waits that have ended. Call it after every
      batch of events and at least every 10 ms. */
  void settle(Time now);

  /** Returns the number of requests in progress. */
  [[nodiscard]] std::size_t inProgress() const { return requests_.size(); }

private:
  using Requests = std::map<RequestId, Request>;

  // Arrival (Coordinator.cpp).
  Expected<Request> check(Time now, gateway::CallerRequest& input) const;
  Expected<void> checkChat(Request& request) const;
  Expected<void> checkPlain(Time now, Request& request, std::string_view target) const;
  [[nodiscard]] bool isQuarantined(Time now, Fingerprint content) const;

  // Reservation, claim, charge and outcome (CoordinatorLedger.cpp).
  void reserve(Time now, Request& request);
  void decide(Time now, const ledger::Decision& decision);
  void claim(Time now, Request& request);
  void takeClaim(Time now, Request& request, const ledger::ClaimResult& result);
  void bill(Time now, Request& request, Tokens amount);
  void recordOutcome(Time now, Request& request, ledger::OutcomeKind kind);
  void releaseClaim(Time now, const Request& request);
  void noteCharged(Time now, const RequestId& id);
  void expireWaits(Time now);
  void answerWhenRecorded(Time now, Request& request);

  // Running (CoordinatorRun.cpp).
  void enqueue(Time now, Request& request);
  void handleAction(Time now, const routing::Action& action);
  void dispatch(Time now, Request& request, const routing::Dispatch& dispatch);
  void startAttempt(Request& request, bool continueFromEnd);
  [[nodiscard]] gateway::UpstreamCall chatCall(const Request& request, bool continueFromEnd) const;
  [[nodiscard]] gateway::UpstreamCall plainCall(const Request& request) const;
  void cancelAttempt(Request& request);
  void handle(Time now, Request& request, const gateway::UpstreamHead& head);
  void handle(Time now, Request& request, const gateway::UpstreamBody& body);
  void handle(Time now, Request& request, const gateway::UpstreamDone& done);
  void handle(Time now, Request& request, const gateway::UpstreamFailed& failed);
  void takeChatBytes(Time now, Request& request, std::string_view bytes);
  void takeChatStep(Time now, Request& request, ChatStep step);
  void refuseByEngine(Time now, Request& request, int status);
  void failAttempt(Time now, Request& request, const Error& error, routing::AttemptFailure failure);
  void noteCrash(Time now, Request& request);
  void completeChat(Time now, Request& request);
  void completePlain(Time now, Request& request);

  // End (Coordinator.cpp).
  void logEnd(const Request& request, std::string_view event, std::string_view kind) const;
  void sendAnswer(Request& request);
  void refuse(Time now, Request& request, const Error& error, std::optional<Duration> delay = {});
  void erase(const RequestId& id);
  Request* find(const RequestId& id);

  CoordinatorParts parts_;
  std::shared_ptr<const Directory> directory_;
  std::map<Fingerprint, Time> quarantine_;
  CrashTable crashes_;
  Requests requests_;
  std::map<std::uint64_t, RequestId> proposals_;
  Time nextExpiry_;
};

} // namespace figchute::entry
