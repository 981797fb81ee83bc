#pragma once

#include "document/document.h"
#include "entry/entry.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figchute::entry::test {

constexpr Duration kMs{ 1000 };

/** Records the response that a caller receives. */
class RecordingSink : public gateway::ResponseSink
{
public:
  int status = 0;
  std::string body;
  bool finished = false;
  std::optional<Error> error;

  void begin(int code, gateway::Headers /*headers*/, bool /*streaming*/) override { status = code; }
  bool write(std::string bytes) override
  {
    body += bytes;
    return true;
  }
  void finish() override { finished = true; }
  void fail(const Error& cause, std::optional<Duration> /*delay*/, const RequestId&) override
  {
    error = cause;
  }
  [[nodiscard]] bool isOpen() const override { return !finished && !error; }
  [[nodiscard]] std::size_t pendingBytes() const override { return 0; }
};

/** An attempt started by the coordinator. */
struct StartedCall
{
  gateway::UpstreamCall call;
  std::uint32_t attempt = 0;
};

/** The coordinator of an entry VM with a real quota manager, router and control state. The
    connections to endpoints are simulated, and time advances only when a test requests it. */
class EntryVm
{
public:
  Time now{ 1'700'000'000'000'000 };
  Metrics metrics;
  HolderId self{ ProcessId("vm"), Incarnation{ 1 } };
  ledger::ControlState control;
  ledger::QuotaManager quotaManager;
  ledger::Proposer proposer;
  routing::Router router;
  std::vector<StartedCall> calls;
  std::vector<RequestId> cancelledRequests;
  bool controlUnreachable = false;
  bool journalStalled = false;
  Coordinator coordinator;

  explicit EntryVm(std::int64_t bought = 100'000)
    : quotaManager(quotaSettings(self))
    , router({ self.process, ZoneId("z"), 1 })
    , coordinator({ self,
                    quotaManager,
                    proposer,
                    router,
                    { [this](gateway::UpstreamCall call, std::uint32_t attempt) {
                       calls.push_back({ std::move(call), attempt });
                     },
                      [this](const RequestId& id) { cancelledRequests.push_back(id); } },
                    metrics,
                    [](const LogEvent&) {} })
  {
    const std::vector<ledger::Peer> peers{
      { self, ZoneId("z"), true, false, true },
      { { ProcessId("ctl"), Incarnation{ 1 } }, ZoneId("z"), false, true, true }
    };
    quotaManager.setPeers(now, peers);
    proposer.setControls({ ProcessId("ctl") });
    applyDocument(bought);
    announce("e1", "10.0.0.1:80", routing::EndpointKind::model);
    announce("e2", "10.0.0.2:80", routing::EndpointKind::model);
    announce("d1", "10.0.0.3:80", routing::EndpointKind::plain);
    announce("d2", "10.0.0.4:80", routing::EndpointKind::plain);
    advance(100 * kMs);
  }

  void announce(const char* id, const char* address, routing::EndpointKind kind)
  {
    routing::Announcement announcement;
    announcement.id = EndpointId(id);
    announcement.address = address;
    announcement.zone = ZoneId("z");
    announcement.kind = kind;
    announcement.slots = 8;
    if (kind == routing::EndpointKind::model) {
      announcement.models = { ModelName("m") };
    } else {
      announcement.service = ServiceName("dispatch");
    }
    router.announce(now, announcement);
  }

  /** Advances the time in steps of 10 ms and delivers messages. */
  void advance(Duration duration)
  {
    for (const Time end = now + duration; now < end; now = now + 10 * kMs) {
      processAll();
    }
  }

  void processAll()
  {
    for (int i = 0; i < 4; ++i) {
      proposer.tick(now);
      quotaManager.tick(now);
      router.tick(now);
      coordinator.processPending(now);
      syncJournal();
      deliver(quotaManager.takeOutgoing());
      deliver(proposer.takeOutgoing());
    }
  }

  std::shared_ptr<RecordingSink> send(gateway::CallerRequest request)
  {
    auto sink = std::make_shared<RecordingSink>();
    request.id = RequestId("r" + std::to_string(++lastRequest_));
    if (request.authorization.empty()) {
      request.authorization = "Bearer key-caller-1";
    }
    coordinator.handleRequest(now, std::move(request), sink);
    advance(30 * kMs);
    return sink;
  }

  std::shared_ptr<RecordingSink> sendChat(bool stream = true,
                                          std::string key = "",
                                          int maxTokens = 20)
  {
    gateway::CallerRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.idempotencyKey = std::move(key);
    request.body = std::string(R"({"model":"m","stream":)") + (stream ? "true" : "false") +
                   R"(,"max_tokens":)" + std::to_string(maxTokens) +
                   R"(,"messages":[{"role":"user","content":"hello"}]})";
    return send(std::move(request));
  }

  std::shared_ptr<RecordingSink> sendPlain(const std::string& path, std::string key = "")
  {
    gateway::CallerRequest request;
    request.method = "POST";
    request.target = "/services/dispatch" + path;
    request.idempotencyKey = std::move(key);
    request.body = "noon";
    return send(std::move(request));
  }

  /** Returns an idempotency key with the current time. */
  [[nodiscard]] std::string makeKey(const std::string& name) const
  {
    return std::to_string(now.micros / 1'000'000) + "-" + name;
  }

  /** Delivers an event of the attempt with an index, by default of the latest one. */
  void receiveEvent(gateway::UpstreamEvent event, std::optional<std::size_t> index = std::nullopt)
  {
    const auto& startedCall = index ? calls.at(*index) : calls.back();
    coordinator.handleUpstreamEvent(
      now, startedCall.call.request, startedCall.attempt, std::move(event));
    advance(30 * kMs);
  }

  void receiveHead(int status = 200) { receiveEvent(gateway::UpstreamHead{ status, {} }); }

  void receiveBody(std::string bytes, std::optional<std::size_t> index = std::nullopt)
  {
    receiveEvent(gateway::UpstreamBody{ std::move(bytes) }, index);
  }

  void failAttempt(bool bytesSent = true)
  {
    receiveEvent(
      gateway::UpstreamFailed{ { ErrorKind::endpointFailed, "closed" }, bytesSent, false });
  }

  [[nodiscard]] std::int64_t settledTokens()
  {
    advance(3000 * kMs);
    return control.budget(BudgetId("w:team/w"))->settled.count;
  }

private:
  static ledger::QuotaSettings quotaSettings(const HolderId& self)
  {
    ledger::QuotaSettings settings;
    settings.self = self;
    settings.zone = ZoneId("z");
    settings.hasJournal = true;
    settings.proposalIdBase = 1ULL << 62U;
    return settings;
  }

  void applyDocument(std::int64_t bought)
  {
    const std::string text =
      "[team]\nname = team\n[rank.urgent]\ntarget_ms = 2000\n[model.m]\nmax_output_tokens = 100\n"
      "[service.dispatch]\nkind = plain\nrepeatable = /stock\n[workspace.w]\nbought = " +
      std::to_string(bought) + "\n[caller.c]\nworkspace = w\nkey = key-caller-1\nrank = urgent\n";
    ledger::ApplyDocument command;
    command.team = TeamId("team");
    command.change = ChangeId("first");
    command.text = text;
    command.purchases = { { BudgetId("w:team/w"), Tokens{ bought } } };
    control.apply(++logIndex_, now, command);
    const std::vector<ledger::TeamDocument> documents{ { TeamId("team"), 1, text } };
    coordinator.setDirectory(
      std::make_shared<const Directory>(Directory::build(documents, metrics)));
  }

  void syncJournal()
  {
    journalRecordCount_ += quotaManager.takeJournal().size();
    if (!journalStalled) {
      quotaManager.journalSynced(now, journalRecordCount_);
    }
  }

  void deliver(const std::vector<ledger::OutgoingMessage>& messages)
  {
    for (const auto& [to, message] : messages) {
      const auto* propose = std::get_if<ledger::Propose>(&message);
      if (controlUnreachable) {
        continue;
      }
      if (propose == nullptr) {
        witness_.receive(now, self.process, message);
        for (const auto& [receiver, reply] : witness_.takeOutgoing()) {
          quotaManager.receive(now, ProcessId("ctl"), reply);
        }
        continue;
      }
      const auto result = control.applyEncoded(++logIndex_, now, propose->command);
      const ledger::ProposeReply reply{ propose->proposalId, true, ProcessId("ctl"), *result, {} };
      quotaManager.receive(now, ProcessId("ctl"), reply);
      if (const auto proposerReply = proposer.receive(now, ProcessId("ctl"), reply)) {
        coordinator.handleProposalReply(now, *proposerReply);
      }
    }
  }

  ledger::Witness witness_{ { ProcessId("ctl"), Incarnation{ 1 } } };
  int lastRequest_ = 0;
  std::uint64_t logIndex_ = 0;
  std::uint64_t journalRecordCount_ = 0;
};

/** Returns the event for one generated token. */
inline std::string tokenEvent(const std::string& text, const std::string& id = "x")
{
  return "data: {\"id\":\"" + id +
         "\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":" + "{\"content\":\"" + text +
         "\"},\"finish_reason\":null}]}\n\n";
}

/** Returns the events that end an answer and report its token usage. */
inline std::string finalEvents(int prompt, int completion)
{
  return "data: {\"id\":\"x\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{},"
         "\"finish_reason\":\"stop\"}]}\n\n"
         "data: {\"id\":\"x\",\"model\":\"m\",\"choices\":[],\"usage\":{\"prompt_tokens\":" +
         std::to_string(prompt) + ",\"completion_tokens\":" + std::to_string(completion) +
         ",\"total_tokens\":0}}\n\ndata: [DONE]\n\n";
}

} // namespace figchute::entry::test
