#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/ledger.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace figchute;
using namespace figchute::ledger;

namespace {

const BudgetId kBudget("w:t/x");

/** A control state with 1000 tokens bought and two registered holders. */
struct Control
{
  Control()
  {
    buy(0, 1000, "first");
    run<RegisterResult>(RegisterHolder{ a, ZoneId("z1"), 1, { b } });
    run<RegisterResult>(RegisterHolder{ b, ZoneId("z1"), 1, { a } });
  }

  template<typename R>
  R run(const Command& command)
  {
    return std::get<R>(state.apply(++index, now, command));
  }

  DocumentResult buy(std::uint64_t baseVersion, std::int64_t bought, const std::string& changeId)
  {
    return run<DocumentResult>(ApplyDocument{ TeamId("t"),
                                              baseVersion,
                                              ChangeId(changeId),
                                              "text " + changeId,
                                              { { kBudget, Tokens{ bought } } } });
  }

  Tokens grant(const HolderId& holder, std::uint64_t sequence, std::int64_t requested)
  {
    const GrantItem item{
      kBudget, sequence, Tokens{ requested }, Tokens{ requested }, Tokens{ 0 }
    };
    const auto result = run<GrantResult>(Grant{ holder, { item } });
    return result.items.empty() ? Tokens{ -1 } : result.items[0].granted;
  }

  SettleResult settle(const HolderId& holder, std::uint64_t sequence, std::int64_t charged)
  {
    return run<SettleResult>(
      Settle{ holder, sequence, { { kBudget, Tokens{ charged }, Tokens{ 0 }, {}, {} } }, {}, {} });
  }

  std::string key(Duration age) const
  {
    return std::to_string((now - age).micros / 1'000'000) + "-k";
  }

  ClaimResult claim(const std::string& key, const std::string& request, Fingerprint content = 7)
  {
    return run<ClaimResult>(Claim{ a, CallerId("t/c"), key, RequestId(request), content });
  }

  OutcomeResult outcome(const std::string& key, const std::string& request, OutcomeKind kind)
  {
    return run<OutcomeResult>(
      Outcome{ a, CallerId("t/c"), key, RequestId(request), kind, 201, "booked" });
  }

  ErrorKind errorOf(const Verdict& verdict) const { return verdict.error.value(); }

  ControlState state;
  std::uint64_t index = 0;
  Time now{ 1'700'000'000'000'000 };
  HolderId a{ ProcessId("a"), Incarnation{ 1 } };
  HolderId b{ ProcessId("b"), Incarnation{ 1 } };
};

} // namespace

// Guards against two concurrent changes that are both accepted, a resent change that gets another
// result, and a purchase that lowers a budget.
TEST_CASE_FIXTURE(Control, "ApplyDocument_concurrentAndResentChanges_acceptsOne")
{
  const auto acceptedResult = buy(1, 2000, "second");
  CHECK(acceptedResult.verdict.ok());
  CHECK(acceptedResult.version == 2);
  const auto conflictResult = buy(1, 3000, "rival");
  CHECK(errorOf(conflictResult.verdict) == ErrorKind::versionConflict);
  CHECK(conflictResult.version == 2);
  const auto loweredResult = buy(2, 1999, "lower");
  CHECK(errorOf(loweredResult.verdict) == ErrorKind::documentInvalid);
  CHECK(loweredResult.verdict.detail.find("w:t/x") != std::string::npos);
  CHECK(buy(2, 2500, "third").version == 3);
  CHECK(buy(1, 2000, "second").version == 2);
  CHECK(errorOf(buy(3, 9000, "rival").verdict) == ErrorKind::versionConflict);
  CHECK(state.budget(kBudget)->bought == Tokens{ 2500 });
  CHECK(state.revision() == 3);
  CHECK(state.document(TeamId("t"))->history.size() == 3);
}

// Guards against a document that changes budgets of another team.
TEST_CASE_FIXTURE(Control, "ApplyDocument_budgetOfOtherTeam_isRefusedAsAWhole")
{
  const auto result = run<DocumentResult>(
    ApplyDocument{ TeamId("t"),
                   1,
                   ChangeId("x"),
                   "text",
                   { { kBudget, Tokens{ 5000 } }, { BudgetId("w:other/x"), Tokens{ 1 } } } });
  CHECK(errorOf(result.verdict) == ErrorKind::documentInvalid);
  CHECK(state.budget(kBudget)->bought == Tokens{ 1000 });
}

// Guards against an entry VM that misses a document or receives all documents at each poll.
TEST_CASE_FIXTURE(Control, "DocumentPoll_olderRevision_getsTheChangedDocuments")
{
  run<DocumentResult>(ApplyDocument{ TeamId("u"), 0, ChangeId("u1"), "u text", {} });
  CHECK(state.documentsSince({ 0, 0 }).documents.size() == 2);
  const auto push = state.documentsSince({ 1, 0 });
  REQUIRE(push.documents.size() == 1);
  CHECK(push.documents[0].text == "u text");
  CHECK(state.documentsSince({ 2, 0 }).documents.empty());
}

// Guards against grants beyond the free amount and against a second grant for a resent request.
TEST_CASE_FIXTURE(Control, "Grant_repeatedOrTooLarge_neverExceedsFree")
{
  CHECK(grant(a, 1, 600) == Tokens{ 600 });
  CHECK(grant(a, 1, 600) == Tokens{ 600 });
  CHECK(grant(b, 1, 600) == Tokens{ 0 });
  const auto recalls = state.takeOutgoing();
  REQUIRE(recalls.size() == 1);
  CHECK(std::get<Recall>(recalls[0].message).holder == a);
  CHECK(grant(b, 2, 400) == Tokens{ 400 });
  CHECK(state.budget(kBudget)->free == Tokens{ 0 });
}

// Guards against a keyed charge that is lost once control has refused it. Control may receive
// the report of the tokens that cover a charge after the charge itself.
TEST_CASE_FIXTURE(Control, "Settle_keyedChargeRefusedOnce_isBilledWhenItIsCovered")
{
  const KeyedCharge charge{ 1, CallerId("t/c"), "k", RequestId("r1"), { kBudget }, Tokens{ 50 } };
  const auto refusedResult = run<SettleResult>(Settle{ a, 1, {}, { charge }, {} });
  CHECK_FALSE(refusedResult.verdict.ok());
  CHECK(refusedResult.bills.empty());
  grant(a, 1, 600);
  const auto billedResult = run<SettleResult>(Settle{ a, 2, {}, { charge }, {} });
  CHECK(billedResult.verdict.ok());
  REQUIRE(billedResult.bills.size() == 1);
  CHECK(state.budget(kBudget)->settled == Tokens{ 50 });
}

// Guards against settling repeated or reordered reports, or more tokens than were granted.
TEST_CASE_FIXTURE(Control, "Settle_repeatedReorderedOrExcessive_changesNothing")
{
  grant(a, 1, 600);
  CHECK(settle(a, 2, 300).verdict.ok());
  settle(a, 2, 500);
  settle(a, 1, 400);
  CHECK(state.budget(kBudget)->settled == Tokens{ 300 });
  CHECK(errorOf(settle(a, 3, 601).verdict) == ErrorKind::badRequest);
  CHECK(state.budget(kBudget)->settled == Tokens{ 300 });
  const HolderId unregistered{ ProcessId("z"), Incarnation{ 1 } };
  CHECK(errorOf(settle(unregistered, 1, 1).verdict) == ErrorKind::notFound);
}

// Guards against a resent keyed charge that is billed again, also after its key has expired.
TEST_CASE_FIXTURE(Control, "Settle_resentKeyedCharge_isBilledOnce")
{
  grant(a, 1, 600);
  const KeyedCharge charge{ 1, CallerId("t/c"), "k", RequestId("r"), { kBudget }, Tokens{ 50 } };
  const Command command = Settle{ a, 1, {}, { charge }, {} };
  CHECK(run<SettleResult>(command).bills[0].charged[0] == Tokens{ 50 });
  now = now + kKeyRetention + Duration(1);
  CHECK(run<SettleResult>(command).bills[0].charged[0] == Tokens{ 50 });
  CHECK(run<SettleResult>(Settle{ a, 2, {}, { charge }, {} }).bills.empty());
  CHECK(state.budget(kBudget)->settled == Tokens{ 50 });
}

// Guards against an old incarnation that spends tokens after the next one has started.
TEST_CASE_FIXTURE(Control, "RegisterHolder_newIncarnation_retiresTheOldOne")
{
  grant(a, 1, 600);
  const HolderId nextIncarnation{ a.process, Incarnation{ 2 } };
  run<RegisterResult>(RegisterHolder{ nextIncarnation, ZoneId("z1"), 1, { b } });
  CHECK(errorOf(settle(a, 1, 100).verdict) == ErrorKind::shuttingDown);
  CHECK(grant(a, 2, 1) == Tokens{ -1 });
  const auto lateRegistration = run<RegisterResult>(RegisterHolder{ a, ZoneId("z1"), 9, {} });
  CHECK(errorOf(lateRegistration.verdict) == ErrorKind::shuttingDown);
  REQUIRE(state.unreclaimedTokens().size() == 1);
  CHECK(state.unreclaimedTokens()[0].amount == Tokens{ 600 });
  const HolderRecord record{ a, { { kBudget, Tokens{ 70 }, Tokens{ 0 }, {}, {} } }, {} };
  const auto unexpectedReport = run<RetireResult>(Retire{ a, nextIncarnation, record });
  CHECK(unexpectedReport.missingWitnesses == std::vector<HolderId>{ b });
  CHECK(run<RetireResult>(Retire{ a, b, record }).missingWitnesses.empty());
  CHECK(state.budget(kBudget)->settled == Tokens{ 70 });
  CHECK(state.budget(kBudget)->free == Tokens{ 930 });
}

// Guards against bills that are lost because a witness drops the record of an older incarnation

// Guards against a proof of contact from readings of different clocks, or from a clock that was
// reset.
TEST_CASE("ElapsedSince_otherOrResetClock_isUnknown")
{
  const ClockReading earlier{ 7, Time{ 5'000'000 } };
  const auto elapsed = [&earlier](std::vector<ClockReading> later) {
    return ledger::detail::elapsedSince(earlier, later);
  };
  CHECK(elapsed({ { 6, Time{ 9'000'000 } }, { 7, Time{ 6'000'000 } } }) == Duration(1'000'000));
  CHECK_FALSE(elapsed({ { 6, Time{ 6'000'000 } } }).has_value());
  CHECK_FALSE(elapsed({ { 7, Time{ 4'999'999 } } }).has_value());
  CHECK_FALSE(elapsed({}).has_value());
  CHECK_FALSE(ledger::detail::elapsedSince({}, std::vector<ClockReading>{ {} }).has_value());
}

// whose retirement is not complete, when a newer one of the same process is retired before it.
TEST_CASE_FIXTURE(Control, "Retire_newerIncarnationFirst_keepsTheRecordsOfTheOlder")
{
  const HolderId second{ a.process, Incarnation{ 2 } };
  const HolderId third{ a.process, Incarnation{ 3 } };
  const HolderRecord record{ a, { { kBudget, Tokens{ 70 }, Tokens{ 0 }, {}, {} } }, {} };
  Witness witness(b);
  const auto deliverToWitness = [&] {
    for (const auto& outgoing : state.takeOutgoing()) {
      witness.receive(now, ProcessId("control"), outgoing.message);
    }
  };
  const auto reportOf = [&](const HolderId& holder) {
    witness.takeOutgoing();
    witness.receive(now, ProcessId("control"), WitnessReportRequest{ holder });
    const auto outgoing = witness.takeOutgoing();
    REQUIRE(outgoing.size() == 1);
    return std::get<WitnessReport>(outgoing[0].message).record;
  };
  grant(a, 1, 600);
  witness.receive(now, a.process, WitnessRecord{ 1, record, 0, {} });
  run<RegisterResult>(RegisterHolder{ second, ZoneId("z1"), 1, { b } });
  run<RegisterResult>(RegisterHolder{ third, ZoneId("z1"), 1, { b } });
  state.takeOutgoing();
  CHECK(run<RetireResult>(Retire{ second, b, reportOf(second) }).missingWitnesses ==
        std::vector<HolderId>{ b });
  deliverToWitness();
  const auto result = run<RetireResult>(Retire{ a, b, reportOf(a) });
  CHECK(result.missingWitnesses.empty());
  CHECK(state.budget(kBudget)->settled == Tokens{ 70 });
  CHECK(state.budget(kBudget)->free == Tokens{ 930 });
  deliverToWitness();
  CHECK(witness.size() == 0);
  // A witness that has dropped a record does not report that there was none.
  witness.receive(now, ProcessId("control"), WitnessReportRequest{ a });
  witness.receive(now, ProcessId("control"), WitnessReportRequest{ second });
  CHECK(witness.takeOutgoing().empty());
}

// Guards against an operator's retire command that prevents later incarnations from registering.
TEST_CASE_FIXTURE(Control, "Retire_allIncarnations_allowsLaterOnes")
{
  const HolderId allIncarnations{ a.process, Incarnation{ ~0ULL } };
  CHECK(run<RetireResult>(Retire{ allIncarnations, std::nullopt, {} }).verdict.ok());
  const HolderId nextIncarnation{ a.process, Incarnation{ 2 } };
  CHECK(
    run<RegisterResult>(RegisterHolder{ nextIncarnation, ZoneId("z1"), 1, { b } }).verdict.ok());
  const HolderId unregistered{ ProcessId("nobody"), Incarnation{ 1 } };
  CHECK(errorOf(run<RetireResult>(Retire{ unregistered, std::nullopt, {} }).verdict) ==
        ErrorKind::notFound);
}

// Guards against keys without a time, expired keys that run again and keys from the future.
TEST_CASE_FIXTURE(Control, "Claim_keyTime_isChecked")
{
  for (const auto* invalidKey : { "", "-", "abc-1", "1700000000", "17e8-1", "9999999999999-1" }) {
    CHECK(errorOf(claim(invalidKey, "r").verdict) == ErrorKind::keyRequired);
  }
  CHECK(errorOf(claim(key(kKeyRetention + std::chrono::seconds(1)), "r").verdict) ==
        ErrorKind::keyExpired);
  CHECK(claim(key(kKeyRetention), "r").verdict.ok());
  CHECK(claim(key(-kKeyFutureLimit), "r").verdict.ok());
  CHECK(errorOf(claim(key(-kKeyFutureLimit - std::chrono::seconds(1)), "r").verdict) ==
        ErrorKind::badRequest);
}

// Guards against a request that runs twice, a lost outcome, and an answer that belongs to different
// content under the same key.
TEST_CASE_FIXTURE(Control, "Claim_retries_neverRunTwice")
{
  const auto claimKey = key(Duration(0));
  const auto firstClaim = claim(claimKey, "r1");
  CHECK(firstClaim.verdict.ok());
  CHECK_FALSE(firstClaim.replay);
  CHECK(claim(claimKey, "r1").fencingToken == firstClaim.fencingToken);
  CHECK(errorOf(claim(claimKey, "r2").verdict) == ErrorKind::inProgress);
  CHECK(errorOf(claim(claimKey, "r2", 8).verdict) == ErrorKind::keyConflict);
  CHECK(errorOf(outcome(claimKey, "r2", OutcomeKind::done).verdict) == ErrorKind::notFound);
  CHECK(outcome(claimKey, "r1", OutcomeKind::done).verdict.ok());
  outcome(claimKey, "r1", OutcomeKind::unknown);
  const auto replayedClaim = claim(claimKey, "r3");
  CHECK(replayedClaim.replay);
  CHECK(replayedClaim.status == 201);
  CHECK(replayedClaim.body == "booked");
  now = now + kKeyRetention + std::chrono::seconds(1);
  CHECK(errorOf(claim(claimKey, "r4").verdict) == ErrorKind::keyExpired);
  CHECK(state.claims().empty());
}

// Guards against a key that stays blocked although its request did not run, and against a claim
// that is committed after its proposer gave up.
TEST_CASE_FIXTURE(Control, "Claim_abandonedBeforeCommit_doesNotTakeTheKey")
{
  const auto claimKey = key(Duration(0));
  outcome(claimKey, "r1", OutcomeKind::notRun);
  CHECK(errorOf(claim(claimKey, "r1").verdict) == ErrorKind::noQuorum);
  CHECK(claim(claimKey, "r2").verdict.ok());
  outcome(claimKey, "r2", OutcomeKind::notRun);
  CHECK(claim(claimKey, "r3").verdict.ok());
}

// Guards against a claim of a crashed process that is lost or runs again.
TEST_CASE_FIXTURE(Control, "Claim_holderRetired_isOutcomeUnknown")
{
  const auto claimKey = key(Duration(0));
  claim(claimKey, "r1");
  run<RetireResult>(Retire{ a, std::nullopt, {} });
  const auto retryResult =
    run<ClaimResult>(Claim{ b, CallerId("t/c"), claimKey, RequestId("r2"), 7 });
  CHECK(errorOf(retryResult.verdict) == ErrorKind::outcomeUnknown);
  CHECK(errorOf(claim(key(std::chrono::seconds(5)), "r3").verdict) == ErrorKind::shuttingDown);
}

// Guards against a quarantine after one crash or a repeated report, and one that never ends.
TEST_CASE_FIXTURE(Control, "CrashReport_secondCrash_quarantinesForTenMinutes")
{
  const CrashReport firstReport{ a, RequestId("r1"), EndpointId("e1"), 99 };
  const CrashReport secondReport{ b, RequestId("r2"), EndpointId("e2"), 99 };
  CHECK_FALSE(run<CrashResult>(firstReport).quarantined);
  CHECK_FALSE(run<CrashResult>(firstReport).quarantined);
  CHECK(run<CrashResult>(secondReport).quarantined);
  REQUIRE(state.documentsSince({ 9, 0 }).quarantine.size() == 1);
  CHECK(state.documentsSince({ 9, 1 }).quarantine.empty());
  CHECK(state.quarantine(now + kQuarantineTime).empty());
}

// Guards against a member that rejoins under its old identity with an empty or different disk.
TEST_CASE_FIXTURE(Control, "Members_newDisk_mustBeRemovedFirst")
{
  const ProcessId process("ctl1");
  CHECK(run<MemberResult>(AddMember{ process, "d1", ZoneId("z1") }).verdict.ok());
  CHECK(errorOf(run<MemberResult>(AddMember{ process, "d2", ZoneId("z1") }).verdict) ==
        ErrorKind::forbidden);
  CHECK(errorOf(run<MemberResult>(PromoteMember{ process, "d2" }).verdict) == ErrorKind::notFound);
  CHECK(run<MemberResult>(PromoteMember{ process, "d1" }).verdict.ok());
  CHECK(state.members().at(0).voter);
  run<MemberResult>(RemoveMember{ process, "" });
  CHECK(run<MemberResult>(AddMember{ process, "d2", ZoneId("z1") }).verdict.ok());
}

// Guards against state that is missing from snapshots, and against damaged snapshots.
TEST_CASE_FIXTURE(Control, "Snapshot_restored_continuesIdentically")
{
  grant(a, 1, 600);
  settle(a, 1, 100);
  claim(key(Duration(0)), "r1");
  run<CrashResult>(CrashReport{ a, RequestId("r1"), EndpointId("e1"), 99 });
  ControlState restored;
  REQUIRE(restored.restore(state.snapshot()).has_value());
  CHECK(restored.snapshot() == state.snapshot());
  const std::vector<Command> remainingCommands{ Settle{ a, 1, {}, {}, {} },
                                                Retire{ a, std::nullopt, {} },
                                                Retire{ a, b, HolderRecord{ a, {}, {} } },
                                                CrashReport{
                                                  a, RequestId("r2"), EndpointId("e1"), 99 } };
  for (const auto& command : remainingCommands) {
    ++index;
    CHECK(wire::encode(state.apply(index, now, command)) ==
          wire::encode(restored.apply(index, now, command)));
  }
  CHECK(restored.snapshot() == state.snapshot());
  CHECK(restored.budget(kBudget)->free == Tokens{ 900 });
  CHECK(restored.restore("damaged").error().kind == ErrorKind::codecError);
  CHECK(restored.lastIndex() == index);
}

// Guards against undetected entries that are applied twice or cannot be decoded.
TEST_CASE_FIXTURE(Control, "Apply_repeatedIndexOrUnknownBytes_isDetected")
{
  const auto previousHandler = setInvariantHandler(
    [](std::string_view message) { throw std::runtime_error(std::string(message)); });
  CHECK_THROWS(state.apply(index, now, Grant{}));
  setInvariantHandler(previousHandler);
  CHECK(state.applyEncoded(++index, now, "\x01").error().kind == ErrorKind::codecError);
  CHECK(state.lastIndex() == index);
}

// Guards against proposals that are lost when a control VM does not answer or is not the leader.
TEST_CASE("Proposer_controlUnreachableOrNotLeader_reachesTheLeaderWithTheSameId")
{
  Time now{ 1'000'000 };
  Proposer proposer(100);
  proposer.setControls({ ProcessId("c1"), ProcessId("c2"), ProcessId("c3") });
  const auto id = proposer.propose(now, Grant{});
  CHECK(proposer.takeOutgoing().at(0).to == ProcessId("c1"));
  now = now + Proposer::kResendAfter;
  CHECK_FALSE(proposer.isControlReachable(now, Duration(100'000)));
  proposer.tick(now);
  const auto resentMessages = proposer.takeOutgoing();
  CHECK(resentMessages.at(0).to == ProcessId("c2"));
  CHECK(std::get<Propose>(resentMessages.at(0).message).proposalId == id);
  CHECK_FALSE(
    proposer.receive(now, ProcessId("c2"), { id, false, ProcessId("c3"), {} }).has_value());
  CHECK(proposer.takeOutgoing().at(0).to == ProcessId("c3"));
  const ProposeReply reply{ id, true, {}, wire::encode(Result(GrantResult{})) };
  CHECK(proposer.receive(now, ProcessId("c3"), reply).has_value());
  CHECK_FALSE(proposer.receive(now, ProcessId("c3"), reply).has_value());
  CHECK(proposer.pendingCount() == 0);
}

namespace {

/** A proposer with pending proposals while all control processes are silent. */
struct SilentControl
{
  static constexpr int kProposals = 20;

  SilentControl()
  {
    proposer.setControls({ ProcessId("c1"), ProcessId("c2"), ProcessId("c3") });
    for (int i = 0; i < kProposals; ++i) {
      lastId = proposer.propose(now, Grant{});
    }
    proposer.takeOutgoing();
  }

  /** Runs the proposer without an answer and returns the messages that it sends. */
  std::vector<OutgoingMessage> run(Duration time)
  {
    std::vector<OutgoingMessage> messages;
    for (const auto end = now + time; now < end; now = now + Duration(10'000)) {
      proposer.tick(now);
      for (auto& message : proposer.takeOutgoing()) {
        messages.push_back(std::move(message));
      }
    }
    return messages;
  }

  Time now{ 1'000'000 };
  Proposer proposer{ 100 };
  std::uint64_t lastId = 0;
};

} // namespace

// Guards against processes that keep control overloaded: each of them sent all its proposals again
// every 150 ms, to every control process in turn, until one answered.
TEST_CASE_FIXTURE(SilentControl, "Proposer_controlIsSilent_probesWithOneProposal")
{
  const Duration time(3'000'000);
  const auto probes = run(time).size();
  CHECK(probes > 0);
  CHECK(probes <= static_cast<std::size_t>(time / Proposer::kResendAfter));
  proposer.propose(now, Grant{});
  CHECK(proposer.takeOutgoing().empty());
}

// Guards against proposals that wait for their own time-out after control is back.
TEST_CASE_FIXTURE(SilentControl, "Proposer_probeIsAnswered_sendsAllPendingProposalsToTheLeader")
{
  run(Duration(3'000'000));
  const ProposeReply reply{ 101, true, {}, wire::encode(Result(GrantResult{})) };
  REQUIRE(proposer.receive(now, ProcessId("c2"), reply).has_value());
  const auto messages = proposer.takeOutgoing();
  CHECK(messages.size() == kProposals - 1);
  for (const auto& message : messages) {
    CHECK(message.to == ProcessId("c2"));
  }
  CHECK(std::get<Propose>(messages.back().message).proposalId == lastId);
}

// Guards against copies of proposals that a slow leader has received already.
TEST_CASE_FIXTURE(SilentControl, "Proposer_leaderAnswersSlowly_resendsWithBackOff")
{
  int resent = 0;
  for (std::uint64_t id = 101; id < 111; ++id) {
    const ProposeReply reply{ id, true, {}, wire::encode(Result(GrantResult{})) };
    proposer.receive(now, ProcessId("c1"), reply);
    for (const auto& message : run(Duration(100'000))) {
      resent += std::get<Propose>(message.message).proposalId == lastId ? 1 : 0;
    }
  }
  CHECK(resent >= 1);
  CHECK(resent <= 3);
}

// Guards against a copy of an order that its proposer sent twice and that undoes a later order, and
// against a snapshot without the set, or a command of a later release, that stops the process.
TEST_CASE_FIXTURE(Control, "Evacuations_copiesAndOtherReleases_keepTheSet")
{
  const auto order = [&](bool active, std::uint64_t id) {
    return run<EvacuationResult>(SetEvacuation{ ZoneId("b"), active, id }).changed;
  };
  CHECK(order(true, 1));
  CHECK_FALSE(order(true, 2));
  CHECK(order(false, 3));
  REQUIRE(state.restore(state.snapshot()));
  CHECK_FALSE(order(true, 1));
  CHECK(order(true, 4));
  const auto revision = state.fleet().evacuations.revision();
  CHECK(revision == index);

  msgpack::sbuffer unknown;
  msgpack::pack(unknown, std::pair(std::variant_size_v<Command>, CrashReport{}));
  CHECK_FALSE(state.applyEncoded(++index, now, { unknown.data(), unknown.size() }));
  CHECK(state.lastIndex() == index);
  CHECK(state.fleet().evacuations.revision() == revision);

  const auto snapshot = state.snapshot();
  const auto unpacked = msgpack::unpack(snapshot.data(), snapshot.size());
  const auto& fields = unpacked.get().via.array;
  fields.ptr[fields.size - 1].via.array.size -= 1;
  REQUIRE(state.restore(wire::encode(unpacked.get())));
  CHECK(state.fleet().evacuations.revision() == 0);
}
