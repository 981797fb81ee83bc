#include "entry/Coordinator.h"

#include "entry/RecordedAnswer.h"

#include <algorithm>

namespace figchute::entry {

void Coordinator::reserve(Time now, Request& request)
{
  if (!request.isBilled()) {
    decide(now, { request.input.id, ledger::ReserveStatus::admitted, std::nullopt });
    return;
  }
  std::optional<ledger::RequestKey> key;
  if (!request.input.idempotencyKey.empty()) {
    key = ledger::RequestKey{ request.caller.caller, request.input.idempotencyKey };
  }
  request.phase = Phase::reserving;
  decide(now,
         parts_.wallet.reserve(now, request.input.id, key, request.caller.budgets, request.bound));
}

void Coordinator::decide(Time now, const ledger::Decision& decision)
{
  auto* request = find(decision.request);
  if (request == nullptr) {
    return;
  }
  switch (decision.status) {
    case ledger::ReserveStatus::waiting:
      return;
    case ledger::ReserveStatus::refused:
      refuse(now,
             *request,
             decision.error.value_or(Error{ ErrorKind::budgetExhausted, "the budget is used up" }));
      return;
    case ledger::ReserveStatus::admitted:
      break;
  }
  if (request->needsClaim()) {
    claim(now, *request);
  } else {
    enqueue(now, *request);
  }
}

void Coordinator::claim(Time now, Request& request)
{
  request.phase = Phase::claiming;
  request.waitDeadline = now + kClaimWait;
  const ledger::Claim command{ parts_.self,
                               request.caller.caller,
                               request.input.idempotencyKey,
                               request.input.id,
                               request.content };
  request.proposal = parts_.proposer.propose(now, command);
  proposals_[request.proposal] = request.input.id;
}

void Coordinator::takeReply(Time now, const ledger::Proposer::Reply& reply)
{
  const auto found = proposals_.find(reply.proposalId);
  if (found == proposals_.end()) {
    return;
  }
  auto* request = find(found->second);
  proposals_.erase(found);
  if (request == nullptr) {
    return;
  }
  request->proposal = 0;
  if (const auto* claimed = std::get_if<ledger::ClaimResult>(&reply.result)) {
    takeClaim(now, *request, *claimed);
  } else if (std::holds_alternative<ledger::OutcomeResult>(reply.result)) {
    request->outcomePending = false;
    answerWhenRecorded(now, *request);
  }
}

void Coordinator::takeClaim(Time now, Request& request, const ledger::ClaimResult& result)
{
  if (!result.verdict.ok()) {
    refuse(now, request, Error{ *result.verdict.error, result.verdict.detail });
    return;
  }
  if (result.replay) {
    parts_.metrics.count("answers_replayed");
    if (request.isBilled()) {
      parts_.wallet.release(now, request.input.id);
    }
    const auto recorded = RecordedAnswer::decode(result.body);
    request.sink->begin(result.status, { { "Content-Type", recorded.contentType } }, false);
    request.sink->write(recorded.body);
    request.sink->finish();
    erase(request.input.id);
    return;
  }
  request.claimed = true;
  request.plain->fencingToken = result.fencingToken;
  if (request.callerGone) {
    refuse(now, request, Error{ ErrorKind::timeout, "the caller has gone" });
    return;
  }
  enqueue(now, request);
}

void Coordinator::bill(Time now, Request& request, Tokens amount)
{
  request.phase = Phase::recording;
  request.waitDeadline = now + (request.outcomePending ? kOutcomeWait : kChargeWait);
  if (request.isBilled()) {
    const auto charged =
      parts_.wallet.charge(now, request.input.id, std::min(amount, request.bound));
    invariant(charged.has_value(), "a running request has a reservation");
    request.chargePending = true;
  }
  answerWhenRecorded(now, request);
}

void Coordinator::recordOutcome(Time now, Request& request, ledger::OutcomeKind kind)
{
  ledger::Outcome outcome;
  outcome.holder = parts_.self;
  outcome.caller = request.caller.caller;
  outcome.key = request.input.idempotencyKey;
  outcome.request = request.input.id;
  outcome.kind = kind;
  if (kind == ledger::OutcomeKind::done) {
    outcome.status = request.plain->exchange.status();
    outcome.body = RecordedAnswer::encode(request.plain->exchange);
  }
  request.claimed = false;
  request.outcomePending = true;
  request.proposal = parts_.proposer.propose(now, outcome);
  proposals_[request.proposal] = request.input.id;
}

void Coordinator::releaseClaim(Time now, const Request& request)
{
  if (request.phase == Phase::claiming && request.proposal != 0) {
    parts_.proposer.abandon(request.proposal);
  }
  const bool mayBeClaimed = request.claimed || request.phase == Phase::claiming;
  if (!request.needsClaim() || !mayBeClaimed) {
    return;
  }
  ledger::Outcome outcome;
  outcome.holder = parts_.self;
  outcome.caller = request.caller.caller;
  outcome.key = request.input.idempotencyKey;
  outcome.request = request.input.id;
  outcome.kind = request.mayHaveRun ? ledger::OutcomeKind::unknown : ledger::OutcomeKind::notRun;
  parts_.proposer.propose(now, outcome);
}

void Coordinator::noteCharged(Time now, const RequestId& id)
{
  if (auto* request = find(id); request != nullptr) {
    request->chargePending = false;
    answerWhenRecorded(now, *request);
  }
}

void Coordinator::answerWhenRecorded(Time /*now*/, Request& request)
{
  if (request.phase != Phase::recording || request.chargePending || request.outcomePending) {
    return;
  }
  if (request.failure) {
    request.sink->fail(*request.failure, std::nullopt, request.input.id);
  } else if (!request.callerGone) {
    sendAnswer(request);
  }
  erase(request.input.id);
}

void Coordinator::expireWaits(Time now)
{
  if (now < nextExpiry_) {
    return;
  }
  nextExpiry_ = now + kExpiryInterval;
  std::vector<RequestId> expired;
  for (const auto& [id, request] : requests_) {
    const bool waits = request.phase == Phase::claiming || request.phase == Phase::recording;
    if (waits && now >= request.waitDeadline) {
      expired.push_back(id);
    }
  }
  for (const auto& id : expired) {
    auto& request = *find(id);
    if (request.phase == Phase::claiming) {
      refuse(now, request, Error{ ErrorKind::noQuorum, "no majority of control is in reach" });
    } else if (request.outcomePending) {
      request.outcomePending = false;
      request.waitDeadline = now + kChargeWait;
      answerWhenRecorded(now, request);
    } else if (request.chargePending) {
      // The charge stays recorded at this VM; the caller must not take the answer for complete.
      request.sink->fail(
        Error{ ErrorKind::outcomeUnknown, "the charge could not be recorded" }, std::nullopt, id);
      erase(id);
    }
  }
}

} // namespace figchute::entry
