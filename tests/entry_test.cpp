#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "EntryVm.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::entry;
using figchute::entry::test::ending;
using figchute::entry::test::EntryVm;
using figchute::entry::test::kMs;
using figchute::entry::test::token;

// Guards against a last byte that goes out before its charge is recorded.
TEST_CASE_FIXTURE(EntryVm, "Chat_chargeNotSynced_lastEventsAreHeldBack")
{
  const auto sink = chat();
  REQUIRE(calls.size() == 1);
  head();
  journalStuck = true;
  body(token("a") + token("b") + ending(5, 2));
  CHECK(sink->body.find("\"b\"") != std::string::npos);
  CHECK(sink->body.find("[DONE]") == std::string::npos);
  journalStuck = false;
  advance(50 * kMs);
  CHECK(sink->body.find("[DONE]") != std::string::npos);
  CHECK(sink->finished);
  CHECK(settled() == 7);
}

// Guards against a repeated or lost byte, and a second bill, when a stream moves to another
// endpoint.
TEST_CASE_FIXTURE(EntryVm, "Chat_endpointCrashesMidstream_continuesWithoutRepetition")
{
  const auto sink = chat();
  const auto first = calls.back().call.host;
  head();
  body(token("a") + token("b"));
  crash();
  REQUIRE(calls.size() == 2);
  CHECK(calls.back().call.host != first);
  head();
  body(token("a") + token("b") + token("c") + ending(5, 3));
  CHECK(sink->finished);
  CHECK(sink->body.find("\"a\"") == sink->body.rfind("\"a\""));
  CHECK(sink->body.find("\"c\"") != std::string::npos);
  CHECK(settled() == 8);
}

// Guards against a stream that cannot go on because an engine generates another text the second
// time.
TEST_CASE_FIXTURE(EntryVm, "Chat_regeneratedTextDiffers_engineIsAskedToContinue")
{
  const auto sink = chat();
  head();
  body(token("a") + token("b"));
  crash();
  head();
  body(token("z"));
  REQUIRE(calls.size() == 3);
  CHECK(calls.back().call.body.find("continue_final_message") != std::string::npos);
  head();
  body(token("c") + ending(5, 1));
  CHECK(sink->finished);
  CHECK(sink->body.find("\"z\"") == std::string::npos);
  CHECK(settled() == 8);
}

// Guards against late events of an abandoned attempt that reach the caller.
TEST_CASE_FIXTURE(EntryVm, "Chat_lateEventOfEarlierAttempt_isIgnored")
{
  const auto sink = chat();
  head();
  crash();
  REQUIRE(calls.size() == 2);
  body(token("late"), 0);
  head();
  body(token("right") + ending(5, 1));
  CHECK(sink->body.find("late") == std::string::npos);
  CHECK(sink->finished);
}

// Guards against a chunk of another answer inside a stream.
TEST_CASE_FIXTURE(EntryVm, "Chat_chunkWithAnotherId_isDroppedAndRunElsewhere")
{
  const auto sink = chat();
  head();
  body(token("a") + token("foreign", "y"));
  REQUIRE(calls.size() == 2);
  CHECK(sink->body.find("foreign") == std::string::npos);
  CHECK(metrics.counters().at("answers_mismatched") == 1);
}

// Guards against streams that run past what was reserved.
TEST_CASE_FIXTURE(EntryVm, "Chat_engineIgnoresBound_isCutAtTheReservation")
{
  const auto sink = chat(true, "", 2);
  head();
  body(token("a") + token("b") + token("c"));
  CHECK(sink->finished);
  CHECK(sink->body.find("\"c\"") == std::string::npos);
  CHECK(sink->body.find("length") != std::string::npos);
  CHECK(cancelled.size() == 1);
  const auto bound = 5 + 4 + 16 + 16 + 2;
  CHECK(settled() <= bound);
}

// Guards against text that a caller has received for nothing, and against work for nobody.
TEST_CASE_FIXTURE(EntryVm, "Chat_callerLeavesMidstream_isBilledForWhatItHas")
{
  chat();
  head();
  body("data: {\"id\":\"x\",\"model\":\"m\",\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
       "\"completion_tokens\":0,\"total_tokens\":5}}\n\n" +
       token("a") + token("b"));
  coordinator.disconnected(now, RequestId("r1"));
  CHECK(cancelled.size() == 1);
  CHECK(settled() == 7);
  CHECK(coordinator.inProgress() == 0);
}

// Guards against an error that says "not run" about a request that may have run.
TEST_CASE_FIXTURE(EntryVm, "Chat_allEndpointsFail_errorSaysRanUnknown")
{
  const auto sink = chat();
  crash();
  if (calls.size() == 2) {
    crash();
  }
  REQUIRE(sink->error);
  CHECK((errorTraits(sink->error->kind).ran == Ran::unknown));
  CHECK(settled() == 0);
}

// Guards against a second dispatch of content that crashed two endpoints.
TEST_CASE_FIXTURE(EntryVm, "Chat_contentCrashedTwice_isQuarantined")
{
  chat();
  crash();
  REQUIRE(calls.size() == 2);
  crash();
  CHECK(calls.size() == 2);
  const auto again = chat();
  REQUIRE(again->error);
  CHECK(again->error->kind == ErrorKind::quarantined);
  CHECK(calls.size() == 2);
}

// Guards against a refusal after which the request runs all the same.
TEST_CASE("Chat_budgetTooSmall_isRefusedAndNeverDispatched")
{
  EntryVm vm(10);
  const auto sink = vm.chat();
  vm.advance(1000 * kMs);
  REQUIRE(sink->error);
  CHECK(sink->error->kind == ErrorKind::budgetExhausted);
  vm.advance(5000 * kMs);
  CHECK(vm.calls.empty());
  CHECK(vm.coordinator.inProgress() == 0);
}

// Guards against a non-idempotent call that starts before its key is claimed.
TEST_CASE_FIXTURE(EntryVm, "Booking_noMajority_isRefusedAsNotRunAndNeverSent")
{
  controlCut = true;
  const auto sink = plain("/bookings", key("a"));
  CHECK(calls.empty());
  advance(3000 * kMs);
  REQUIRE(sink->error);
  CHECK(sink->error->kind == ErrorKind::noQuorum);
  controlCut = false;
  advance(1000 * kMs);
  CHECK(calls.empty());
  plain("/bookings", key("b"));
  CHECK(calls.size() == 1);
}

// Guards against a second run of a call whose endpoint failed after it was sent.
TEST_CASE_FIXTURE(EntryVm, "Booking_endpointFailsAfterSend_isNeverSentAgain")
{
  const auto name = key("a");
  const auto first = plain("/bookings", name);
  REQUIRE(calls.size() == 1);
  crash(true);
  REQUIRE(first->error);
  CHECK(first->error->kind == ErrorKind::outcomeUnknown);
  const auto again = plain("/bookings", name);
  REQUIRE(again->error);
  CHECK(again->error->kind == ErrorKind::outcomeUnknown);
  CHECK(calls.size() == 1);
}

// Guards against a call that is given up although it certainly did not run.
TEST_CASE_FIXTURE(EntryVm, "Booking_connectionRefused_goesToAnotherEndpoint")
{
  const auto sink = plain("/bookings", key("a"));
  crash(false);
  REQUIRE(calls.size() == 2);
  head();
  body("ok");
  event(gateway::UpstreamDone{});
  CHECK(sink->finished);
  CHECK(sink->body == "ok");
}

// Guards against a retry that runs again instead of getting the recorded answer.
TEST_CASE_FIXTURE(EntryVm, "Booking_sameKeyAgain_getsTheRecordedAnswer")
{
  const auto name = key("a");
  plain("/bookings", name);
  head(201);
  body("booked");
  event(gateway::UpstreamDone{});
  const auto again = plain("/bookings", name);
  CHECK(again->status == 201);
  CHECK(again->body == "booked");
  CHECK(calls.size() == 1);
}

// Guards against lookups that need a majority.
TEST_CASE_FIXTURE(EntryVm, "Lookup_noMajority_isAnswered")
{
  controlCut = true;
  const auto sink = plain("/stock/veil");
  REQUIRE(calls.size() == 1);
  head();
  body("12");
  event(gateway::UpstreamDone{});
  CHECK(sink->body == "12");
}

// Guards against keys without a time, which could run again once they are forgotten.
TEST_CASE("KeyTime_keys_areCheckedByTheirTime")
{
  const Time now{ 1'700'000'000'000'000 };
  CHECK(checkRequiredKey(now, "1700000000-a"));
  CHECK(checkRequiredKey(now, "abc").error().kind == ErrorKind::keyRequired);
  CHECK(checkRequiredKey(now, "").error().kind == ErrorKind::keyRequired);
  CHECK(checkRequiredKey(now, "1699900000-a").error().kind == ErrorKind::keyExpired);
  CHECK(checkRequiredKey(now, "1700001000-a").error().kind == ErrorKind::badRequest);
  CHECK(checkOptionalKey(now, "12345-a"));
  CHECK(checkOptionalKey(now, "1699900000-a").error().kind == ErrorKind::keyExpired);
}

// Guards against a document that reverts when an old push arrives late.
TEST_CASE("DocumentCache_olderPush_changesNothing")
{
  DocumentCache cache;
  CHECK(cache.take({ 2, { { TeamId("t"), 2, "two" } }, 0, {} }));
  CHECK_FALSE(cache.take({ 1, { { TeamId("t"), 1, "one" } }, 0, {} }));
  CHECK(cache.documents().front().text == "two");
  DocumentCache restarted;
  REQUIRE(restarted.decode(cache.encode()));
  CHECK(restarted.revision() == 2);
  CHECK_FALSE(restarted.decode("garbage"));
  CHECK(restarted.revision() == 2);
}
