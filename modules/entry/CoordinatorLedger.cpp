#include "entry/Coordinator.h"

#include "entry/RecordedResponse.h"

#include <algorithm>

namespace figchute::entry {

void Coordinator::reserve(Time now, Request& request)
{
  if (!request.isBilled()) {
    handleDecision(now, { request.input.id, ledger::ReserveStatus::admitted, std::nullopt });
    return;
  }
  std::optional<ledger::RequestKey> key;
  if (!request.input.idempotencyKey.empty()) {
    key = ledger::RequestKey{ request.caller.caller, request.input.idempotencyKey };
  }
  request.phase = RequestPhase::reserving;
  handleDecision(now,
                 dependencies_.quotaManager.reserve(
                   now, request.input.id, key, request.caller.budgets, request.maxCharge));
}

void Coordinator::handleDecision(Time now, const ledger::Decision& decision)
{
  auto* request = findRequest(decision.request);
  if (request == nullptr) {
    return;
  }
  switch (decision.status) {
    case ledger::ReserveStatus::waiting:
      return;
    case ledger::ReserveStatus::refused:
      refuse(
        now,
        *request,
        decision.error.value_or(Error{ ErrorKind::budgetExhausted, "the budget is exhausted" }));
      return;
    case ledger::ReserveStatus::admitted:
      break;
  }
  if (request->needsClaim()) {
    claim(now, *request);
  } else {
    submitToRouter(now, *request);
  }
}

void Coordinator::claim(Time now, Request& request)
{
  request.phase = RequestPhase::claiming;
  request.waitDeadline = now + kClaimTimeout;
  const ledger::Claim command{ dependencies_.self,
                               request.caller.caller,
                               request.input.idempotencyKey,
                               request.input.id,
                               request.contentFingerprint };
  request.proposalId = dependencies_.proposer.propose(now, command);
  requestsByProposal_[request.proposalId] = request.input.id;
}

void Coordinator::handleProposalReply(Time now, const ledger::Proposer::Reply& reply)
{
  const auto entry = requestsByProposal_.find(reply.proposalId);
  if (entry == requestsByProposal_.end()) {
    return;
  }
  auto* request = findRequest(entry->second);
  requestsByProposal_.erase(entry);
  if (request == nullptr) {
    return;
  }
  request->proposalId = 0;
  if (const auto* claimResult = std::get_if<ledger::ClaimResult>(&reply.result)) {
    handleClaimResult(now, *request, *claimResult);
  } else if (std::holds_alternative<ledger::OutcomeResult>(reply.result)) {
    request->outcomePending = false;
    sendAnswerIfRecorded(now, *request);
  }
}

void Coordinator::handleClaimResult(Time now, Request& request, const ledger::ClaimResult& result)
{
  if (!result.verdict.ok()) {
    refuse(now, request, Error{ *result.verdict.error, result.verdict.detail });
    return;
  }
  if (result.replay) {
    dependencies_.metrics.count("answers_replayed");
    if (request.isBilled()) {
      dependencies_.quotaManager.release(now, request.input.id);
    }
    const auto recordedResponse = RecordedResponse::decode(result.body);
    // The length of a truncated body must not be sent as that of the answer.
    request.sink->begin(result.status,
                        { { "Content-Type", recordedResponse.contentType } },
                        recordedResponse.truncated);
    request.sink->write(recordedResponse.body);
    if (recordedResponse.truncated) {
      request.sink->fail(
        Error{ ErrorKind::outcomeUnknown, "only the first part of the answer was recorded" },
        std::nullopt,
        request.input.id);
    } else {
      request.sink->finish();
    }
    eraseRequest(request.input.id);
    return;
  }
  request.claimed = true;
  request.plain->fencingToken = result.fencingToken;
  if (request.callerDisconnected) {
    refuse(now, request, Error{ ErrorKind::timeout, "the caller has disconnected" });
    return;
  }
  submitToRouter(now, request);
}

void Coordinator::chargeRequest(Time now, Request& request, Tokens amount)
{
  request.phase = RequestPhase::recording;
  request.waitDeadline = now + (request.outcomePending ? kOutcomeTimeout : kChargeTimeout);
  if (request.isBilled()) {
    const auto chargeResult =
      dependencies_.quotaManager.charge(now, request.input.id, std::min(amount, request.maxCharge));
    invariant(chargeResult.has_value(), "a running request has a reservation");
    request.chargePending = true;
  }
  sendAnswerIfRecorded(now, request);
}

void Coordinator::recordOutcome(Time now, Request& request, ledger::OutcomeKind kind)
{
  ledger::Outcome outcome;
  outcome.holder = dependencies_.self;
  outcome.caller = request.caller.caller;
  outcome.key = request.input.idempotencyKey;
  outcome.request = request.input.id;
  outcome.kind = kind;
  if (kind == ledger::OutcomeKind::done) {
    outcome.status = request.plain->exchange.status();
    outcome.body = RecordedResponse::encode(request.plain->exchange);
  }
  request.claimed = false;
  request.outcomePending = true;
  request.proposalId = dependencies_.proposer.propose(now, outcome);
  requestsByProposal_[request.proposalId] = request.input.id;
}

void Coordinator::releaseClaim(Time now, const Request& request)
{
  if (request.phase == RequestPhase::claiming && request.proposalId != 0) {
    dependencies_.proposer.abandon(request.proposalId);
  }
  const bool mayBeClaimed = request.claimed || request.phase == RequestPhase::claiming;
  if (!request.needsClaim() || !mayBeClaimed) {
    return;
  }
  ledger::Outcome outcome;
  outcome.holder = dependencies_.self;
  outcome.caller = request.caller.caller;
  outcome.key = request.input.idempotencyKey;
  outcome.request = request.input.id;
  outcome.kind = request.mayHaveRun ? ledger::OutcomeKind::unknown : ledger::OutcomeKind::notRun;
  dependencies_.proposer.propose(now, outcome);
}

void Coordinator::handleChargeRecorded(Time now, const RequestId& id)
{
  if (auto* request = findRequest(id); request != nullptr) {
    request->chargePending = false;
    sendAnswerIfRecorded(now, *request);
  }
}

void Coordinator::sendAnswerIfRecorded(Time /*now*/, Request& request)
{
  if (request.phase != RequestPhase::recording || request.chargePending || request.outcomePending) {
    return;
  }
  if (request.failure) {
    request.sink->fail(*request.failure, std::nullopt, request.input.id);
  } else if (!request.callerDisconnected) {
    sendResponse(request);
  }
  eraseRequest(request.input.id);
}

void Coordinator::handleExpiredWaits(Time now)
{
  if (now < nextExpiryCheck_) {
    return;
  }
  nextExpiryCheck_ = now + kExpiryInterval;
  std::vector<RequestId> expiredIds;
  for (const auto& [id, request] : requests_) {
    const bool isWaiting =
      request.phase == RequestPhase::claiming || request.phase == RequestPhase::recording;
    if (isWaiting && now >= request.waitDeadline) {
      expiredIds.push_back(id);
    }
  }
  for (const auto& id : expiredIds) {
    auto& request = *findRequest(id);
    if (request.phase == RequestPhase::claiming) {
      refuse(
        now, request, Error{ ErrorKind::noQuorum, "no majority of the control VMs is reachable" });
    } else if (request.outcomePending) {
      request.outcomePending = false;
      request.waitDeadline = now + kChargeTimeout;
      sendAnswerIfRecorded(now, request);
    } else if (request.chargePending) {
      // The charge remains recorded on this VM, so the caller gets an error and not a complete
      // answer.
      request.sink->fail(
        Error{ ErrorKind::outcomeUnknown, "the charge could not be recorded" }, std::nullopt, id);
      eraseRequest(id);
    }
  }
}

} // namespace figchute::entry
