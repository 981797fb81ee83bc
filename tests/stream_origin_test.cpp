#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/fleet.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace figchute;
using namespace figchute::fleet;
using namespace std::chrono_literals;

namespace {

const ServiceName kChat("chat");
const ProcessId kEntry("entry0");
const ProcessId kControl0("control0");
const ProcessId kControl1("control1");
const ProcessId kControl2("control2");
const Fingerprint kStream = streamFingerprint("north", "r1");

Announcement announcementOf(const std::string& id, const std::string& version)
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.service = kChat;
  announcement.address = id + ":80";
  announcement.zone = ZoneId("z1");
  announcement.slots = 4;
  announcement.sequence = 1;
  announcement.startedAtMs = 100;
  announcement.softwareVersion = version;
  return announcement;
}

/** One entry process and three control processes with the same registry. */
struct Origins
{
  Origins()
  {
    for (const auto& control : { kControl0, kControl1, kControl2 }) {
      servers.emplace(control, StreamOriginServer());
    }
    restartEntryProcess();
  }

  void restartEntryProcess()
  {
    client = std::make_unique<StreamOriginClient>();
    client->setControls(kControl1, { kControl0, kControl1, kControl2 });
  }

  void put(const Announcement& announcement)
  {
    state.endpoints.apply(++index, now, PutEndpoint{ announcement });
  }

  void remove(const Announcement& announcement)
  {
    state.endpoints.apply(
      ++index,
      now,
      RemoveEndpoint{ announcement.id, announcement.startedAtMs, announcement.sequence + 1 });
  }

  /** Delivers the messages of both sides until there are none. */
  void deliver()
  {
    for (auto& message : client->takeOutgoing()) {
      if (const auto server = servers.find(message.to); server != servers.end()) {
        server->second.receive(now, kEntry, message.message);
      }
    }
    for (auto& [control, server] : servers) {
      server.answer(server.takeRegistryQueries(), isRegistryCurrent ? &state.endpoints : nullptr);
    }
    for (auto& [control, server] : servers) {
      for (auto& message : server.takeOutgoing()) {
        client->receive(control, std::get<StreamOriginReply>(message.message));
      }
    }
  }

  void advance(Duration duration)
  {
    for (Duration passed{ 0 }; passed < duration; passed += 10ms) {
      now = now + 10ms;
      state.endpoints.forget(now);
      client->tick(now);
      deliver();
    }
  }

  /** Returns what the entry process finds out about a stream, or nothing without an answer. */
  std::optional<StreamOriginClient::Answer> find(Fingerprint stream)
  {
    client->find(now, ++queryId, stream, kChat);
    advance(StreamOriginClient::kQueryTimeout);
    const auto answers = client->takeAnswers();
    return answers.size() == 1 ? std::optional(answers.front()) : std::nullopt;
  }

  std::string versionOf(Fingerprint stream)
  {
    const auto answer = find(stream);
    REQUIRE(answer);
    return answer->origin ? answer->origin->softwareVersion : "unknown";
  }

  FleetState state;
  bool isRegistryCurrent = true;
  std::map<ProcessId, StreamOriginServer> servers;
  std::unique_ptr<StreamOriginClient> client;
  std::uint64_t index = 0;
  std::uint64_t queryId = 0;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a stream that is joined from two versions after all entry processes were killed.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_entryProcessRestarted_isKnownFromControl")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  client->add(now, { kStream, kChat, "v1" });
  advance(StreamOriginClient::kReportInterval);
  restartEntryProcess();
  CHECK(versionOf(kStream) == "v1");
}

// Guards against the loss of the origin together with one control process.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_oneControlProcessRestarted_isKnownFromTheOther")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  client->add(now, { kStream, kChat, "v2" });
  advance(StreamOriginClient::kReportInterval);
  restartEntryProcess();
  servers[kControl1] = StreamOriginServer();
  CHECK(versionOf(kStream) == "v2");
}

// Guards against a guess where two versions may have begun a stream that nobody recorded, and
// against refusing streams that only one version can have begun.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_notRecorded_isKnownOnlyWithASingleVersion")
{
  const auto old = announcementOf("old", "v1");
  put(old);
  CHECK(versionOf(kStream) == "v1");
  put(announcementOf("new", "v2"));
  CHECK(versionOf(kStream) == "unknown");
  remove(old);
  CHECK(versionOf(kStream) == "unknown");
  now = now + EndedVersions::kRetention;
  CHECK(versionOf(kStream) == "v2");
}

// Guards against taking the version of a restarted endpoint for the one that it had before.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_endpointRestartedWithOtherVersion_isUnknown")
{
  auto endpoint = announcementOf("a", "v1");
  put(endpoint);
  endpoint.softwareVersion = "v2";
  endpoint.startedAtMs = 200;
  put(endpoint);
  CHECK(versionOf(kStream) == "unknown");
}

// Guards against a proof from a registry that may lack the endpoints of a new version.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_controlWithoutLeader_provesNothing")
{
  put(announcementOf("old", "v1"));
  isRegistryCurrent = false;
  CHECK(versionOf(kStream) == "unknown");
  client->add(now, { kStream, kChat, "v1" });
  advance(StreamOriginClient::kReportInterval);
  restartEntryProcess();
  CHECK(versionOf(kStream) == "v1");
}

// Guards against versions that are forgotten when a control process restarts from a snapshot.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_snapshotRestored_keepsEndedVersions")
{
  const auto old = announcementOf("old", "v1");
  put(old);
  put(announcementOf("new", "v2"));
  remove(old);
  const auto restored = wire::decode<FleetState>(wire::encode(state));
  REQUIRE(restored);
  CHECK_FALSE(restored->endpoints.onlyVersionOf(kChat));
}

// Guards against a workspace that learns of, or goes on with, the stream of another one.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_otherWorkspace_isUnknown")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  client->add(now, { kStream, kChat, "v1" });
  CHECK(versionOf(kStream) == "v1");
  CHECK(versionOf(streamFingerprint("south", "r1")) == "unknown");
}

// Guards against the choice of one of two versions when a caller uses a request id twice, also at
// processes that heard of both.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_requestIdUsedTwice_isUnknown")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  client->add(now, { kStream, kChat, "v1" });
  client->add(now, { kStream, kChat, "v2" });
  CHECK(versionOf(kStream) == "unknown");
  advance(StreamOriginClient::kReportInterval);
  restartEntryProcess();
  CHECK(versionOf(kStream) == "unknown");
}

// Guards against a request that waits for control processes that do not answer, and against one
// lost message that decides.
TEST_CASE_FIXTURE(Origins, "StreamOriginClient_noAnswer_asksAgainAndEnds")
{
  client->find(now, 1, kStream, kChat);
  CHECK(client->takeOutgoing().size() == 3);
  now = now + StreamOriginClient::kResendInterval;
  client->tick(now);
  CHECK(client->takeOutgoing().size() == 3);
  now = now + StreamOriginClient::kQueryTimeout;
  client->tick(now);
  const auto answers = client->takeAnswers();
  REQUIRE(answers.size() == 1);
  CHECK_FALSE(answers.front().origin);
  CHECK(answers.front().isTimeout);
  CHECK_FALSE(client->isBusy());
}

// Guards against telling a caller to give up a stream whose origin is only not known yet, because
// the control process that has it did not answer.
TEST_CASE_FIXTURE(Origins, "StreamOriginClient_oneControlProcessSilent_isNoFinalAnswer")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  servers.erase(kControl2);
  const auto silent = find(kStream);
  REQUIRE(silent);
  CHECK(silent->isTimeout);
  servers.emplace(kControl2, StreamOriginServer());
  const auto answered = find(kStream);
  REQUIRE(answered);
  CHECK_FALSE(answered->isTimeout);
  CHECK_FALSE(answered->origin);
}

// Guards against origins that are lost with their process although they could have been sent, and
// against a message for each stream of a busy process.
TEST_CASE_FIXTURE(Origins, "StreamOriginClient_newOrigins_areReportedAtOnceThenTogether")
{
  client->add(now, { 1, kChat, "v1" });
  CHECK(client->takeOutgoing().size() == StreamOriginClient::kKeepers);
  client->add(now, { 2, kChat, "v1" });
  client->add(now, { 3, kChat, "v1" });
  CHECK(client->takeOutgoing().empty());
  now = now + StreamOriginClient::kReportInterval;
  client->tick(now);
  const auto messages = client->takeOutgoing();
  REQUIRE(messages.size() == StreamOriginClient::kKeepers);
  CHECK(std::get<StreamOriginReport>(messages.front().message).origins.size() == 2);
}

// Guards against the reply to a query of the previous incarnation, whose ids are the same.
TEST_CASE_FIXTURE(Origins, "StreamOriginClient_replyForOtherStream_isIgnored")
{
  client->find(now, 1, kStream, kChat);
  const auto other = streamFingerprint("north", "r2");
  client->receive(kControl1, { 1, true, { other, kChat, "v2" } });
  CHECK(client->takeAnswers().empty());
  client->receive(kControl1, { 1, true, { kStream, kChat, "v1" } });
  CHECK(client->takeAnswers().front().origin->softwareVersion == "v1");
}

// Guards against memory that grows with the number of streams.
TEST_CASE("StreamOriginStore_manyOrigins_keepsTheLatest")
{
  StreamOriginStore store;
  Time now{ 1'000'000'000 };
  for (std::size_t i = 0; i <= StreamOriginStore::kMaxOrigins; ++i) {
    store.add(now, { i + 1, kChat, "v1" });
  }
  CHECK(store.size() == StreamOriginStore::kMaxOrigins);
  CHECK_FALSE(store.find(1));
  CHECK(store.find(2));
  store.expire(now + StreamOriginStore::kRetention);
  CHECK(store.size() == 0);
}

// Guards against a stream that goes on at another version because a control process was cut off
// while the version that began it joined, and takes its old registry for the current one.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_notRecorded_isNotAnsweredBeforeTheRegistryIsCurrent")
{
  put(announcementOf("old", "v1"));
  put(announcementOf("new", "v2"));
  StreamOriginServer server;
  server.receive(now, kEntry, StreamOriginQuery{ 1, kStream, kChat });
  CHECK(server.takeOutgoing().empty());
  const auto queries = server.takeRegistryQueries();
  REQUIRE(queries.size() == 1);
  server.answer(queries, &state.endpoints);
  const auto messages = server.takeOutgoing();
  REQUIRE(messages.size() == 1);
  CHECK_FALSE(std::get<StreamOriginReply>(messages.front().message).isKnown);
}

// Guards against an answer from the registry although a report named the origin meanwhile.
TEST_CASE_FIXTURE(Origins, "StreamOrigin_recordedWhileTheRegistryIsRead_theRecordDecides")
{
  put(announcementOf("old", "v1"));
  StreamOriginServer server;
  server.receive(now, kEntry, StreamOriginQuery{ 1, kStream, kChat });
  const auto queries = server.takeRegistryQueries();
  server.receive(now, kEntry, StreamOriginReport{ { { kStream, kChat, "v2" } } });
  server.answer(queries, &state.endpoints);
  const auto messages = server.takeOutgoing();
  REQUIRE(messages.size() == 1);
  CHECK(std::get<StreamOriginReply>(messages.front().message).origin.softwareVersion == "v2");
}
