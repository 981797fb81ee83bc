#include "router/BootClock.h"
#include "router/Exchange.h"

#include <fmt/format.h>

namespace figchute::router {
namespace {

std::string amount(const std::optional<Tokens>& tokens)
{
  return tokens ? std::to_string(tokens->count) : "-";
}

/** Formats what was known of a budget when it refused a request. */
std::string budgetTokens(const std::optional<ledger::BudgetRefusal>& refusal)
{
  if (!refusal) {
    return "-";
  }
  const auto& tokens = refusal->tokens;
  return fmt::format("{}/{}/{}/{}",
                     tokens.available.count,
                     tokens.reserve.count,
                     amount(tokens.free),
                     amount(tokens.others));
}

std::string bodyEnd(const std::optional<http::BodyDelimiter>& delimiter)
{
  return delimiter ? std::string(http::toString(*delimiter)) : "-";
}

std::string tunnelAddress(const std::optional<EgressSelector::Peer>& peer)
{
  return peer ? peer->address().to_string() : "-";
}

std::string_view nameOf(http::UnsentReason reason)
{
  switch (reason) {
    case http::UnsentReason::writeTimeout:
      return "write_timeout";
    case http::UnsentReason::disconnected:
      return "disconnected";
    case http::UnsentReason::closed:
      return "exit";
  }
  return "-";
}

} // namespace

void Exchange::logLostConnection(Time now, const EndpointSend& send)
{
  const auto candidates = dispatch::crashCandidatesOf(requestInfo_);
  services_.log.line(now,
                     "connection_lost",
                     { { "request", requestId_ },
                       { "endpoint", send.endpoint.endpoint.value },
                       { "answered", send.firstByteReported ? "yes" : "no" },
                       { "fingerprint", fmt::format("{:x}", candidates.request) },
                       { "parts", fmt::format("{:x}", fmt::join(candidates.parts, ",")) },
                       { "age_ms", std::to_string(toMillis(now - send.startedAt)) } });
}

void Exchange::logFailedSend(Time now,
                             const EndpointSend& send,
                             dispatch::Outcome outcome,
                             const std::string& detail)
{
  services_.log.line(now,
                     "send_failed",
                     { { "request", requestId_ },
                       { "endpoint", send.endpoint.endpoint.value },
                       { "version", send.endpoint.softwareVersion },
                       { "outcome", std::string(dispatch::toString(outcome)) },
                       { "detail", detail },
                       { "body_end", bodyEnd(send.bodyDelimiter) },
                       { "tunnel", tunnelAddress(send.tunnelPeer) },
                       { "age_ms", std::to_string(toMillis(now - send.startedAt)) } });
}

void Exchange::logUnreadableFields(Time now, const EndpointSend& send, const EndpointReport& report)
{
  for (const auto& field : report.unreadableFields) {
    services_.log.line(now,
                       "endpoint_field_unreadable",
                       { { "request", requestId_ },
                         { "endpoint", send.endpoint.endpoint.value },
                         { "field", std::string(field.name) },
                         { "detail", std::string(field.value) } });
  }
}

void Exchange::logIfUnsent()
{
  // The connection may call this after the exchange was destroyed.
  const auto requestId = request_->head().fields.get(services_.dialect.fields().requestId);
  request_->onUnsent([&log = services_.log,
                      &metrics = services_.metrics,
                      id = std::string(requestId)](const http::UnsentResponse& unsent) {
    metrics.count("responses_unsent");
    log.line(bootTime(),
             "response_unsent",
             { { "request", id },
               { "reason", std::string(nameOf(unsent.reason)) },
               { "unwritten_bytes", std::to_string(unsent.unwrittenBytes) },
               { "unacknowledged_bytes", std::to_string(unsent.unacknowledgedBytes) } });
  });
}

void Exchange::logEnd(Time now, std::string_view outcome, int status, std::string_view detail)
{
  const bool answered = firstByteAt_.micros > 0;
  const auto resumes = request_->head().fields.get(services_.dialect.fields().resumes);
  services_.log.line(
    now,
    "request",
    { { "request", requestId_ },
      { "route", route_ != nullptr ? route_->name : std::string() },
      { "workspace", requestInfo_.workspace },
      { "service", requestInfo_.service.value },
      { "endpoint", send_->endpoint.endpoint.value },
      { "version", send_->endpoint.softwareVersion },
      { "resumes", resumes.empty() ? "-" : std::string(resumes) },
      { "outcome", std::string(outcome) },
      { "status", std::to_string(status) },
      { "sends", std::to_string(sendCount_) },
      { "moves", std::to_string(moves_) },
      { "grant_ms", grantWait_ ? std::to_string(toMillis(*grantWait_)) : "-" },
      { "reason", budgetRefusal_ ? std::string(ledger::nameOf(budgetRefusal_->reason)) : "-" },
      { "budget_tokens", budgetTokens(budgetRefusal_) },
      { "first_byte_ms", answered ? std::to_string(toMillis(firstByteAt_ - arrivedAt_)) : "-" },
      { "pause_ms", std::to_string(toMillis(longestPause_)) },
      { "total_ms", std::to_string(toMillis(now - arrivedAt_)) },
      { "limit_ms", std::to_string(toMillis(deadline_ - arrivedAt_)) },
      { "left_ms", sendCount_ > 0 ? std::to_string(toMillis(send_->deadline - now)) : "-" },
      { "prompt", std::to_string(requestInfo_.promptTokens) },
      { "output", std::to_string(deliveredTokens_) },
      { "events", std::to_string(deliveredEvents_) },
      { "bytes", std::to_string(deliveredBytes_) },
      { "body_end", bodyEnd(send_->bodyDelimiter) },
      { "tunnel", tunnelAddress(send_->tunnelPeer) },
      { "endpoint_state",
        sendCount_ > 0 ? std::string(services_.dispatcher.stateOf(send_->endpoint.endpoint))
                       : "-" },
      { "silent_ms", send_->sent ? std::to_string(toMillis(now - send_->lastByteAt)) : "-" },
      { "configuration", std::to_string(table_ ? table_->configuration().version : 0) },
      { "registry", std::to_string(services_.endpointRevision) },
      { "detail", std::string(detail) } });
}

} // namespace figchute::router
