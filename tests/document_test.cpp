#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/Random.h"
#include "document/document.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace figchute;
using namespace figchute::document;

namespace {

constexpr std::string_view kValidText = R"([team]
name = ferreira
deployment = bees and hives
[rank.urgent]
target_ms = 250
worth = 7.5
[model.m-1]
min_bytes_per_token = 2.5
max_output_tokens = 512
[service.dispatch]
kind = plain
repeatable = /slots, /routes/
cost = 3
[caller.app]
workspace = w1
key = key-of-app
bought = 40
rank = urgent
weight = 2
requests_per_s = 0.5
max_concurrency = 9
[caller.tags]
workspace = w1
key = key-of-tags
[workspace.w1]
bought = 1000
weight = 4
max_concurrency = 10
requests_per_s = 20
)";

std::string readExample(const char* name)
{
  const auto folder = std::string(__FILE__).substr(0, std::string(__FILE__).rfind('/'));
  std::ifstream file(folder + "/../examples/" + name);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string replaceInValidText(std::string_view from, std::string_view to)
{
  std::string text(kValidText);
  const auto offset = text.find(from);
  REQUIRE_MESSAGE(offset != std::string::npos, std::string(from));
  return text.replace(offset, from.size(), to);
}

} // namespace

// Guards against storing the value of a key in the wrong field or unit.
TEST_CASE("Document_everySection_isReadIntoTypedFields")
{
  const auto document = parse(kValidText);
  REQUIRE(document);
  CHECK(document->team == TeamId("ferreira"));
  CHECK(document->deployment == "bees and hives");
  CHECK(document->target(Rank::urgent).target == Duration(250000));
  CHECK(document->target(Rank::urgent).worth == 7.5);
  CHECK(document->target(Rank::batch).worth == 1);
  CHECK(document->findModel(ModelName("m-1"))->minBytesPerToken == 2.5);
  CHECK(document->findModel(ModelName("m-1"))->maxOutputTokens == Tokens{ 512 });
  CHECK(document->findModel(ModelName("m-2")) == nullptr);
  CHECK(document->findService(ServiceName("dispatch"))->cost == Tokens{ 3 });
  const auto* caller = document->findCaller(CallerId("ferreira/app"));
  REQUIRE(caller != nullptr);
  CHECK(caller->workspace == WorkspaceId("ferreira/w1"));
  CHECK(caller->key == "key-of-app");
  CHECK((caller->rank == Rank::urgent));
  CHECK(caller->weight == 2);
  CHECK(caller->limits.requestsPerSecond == 0.5);
  CHECK(caller->limits.maxConcurrency == 9U);
  const auto* workspace = document->findWorkspace(caller->workspace);
  REQUIRE(workspace != nullptr);
  CHECK(workspace->weight == 4);
  CHECK(workspace->limits.maxConcurrency == 10U);
  CHECK_FALSE(document->findCaller(CallerId("ferreira/tags"))->limits.requestsPerSecond);
  const auto budgets = document->budgets();
  REQUIRE(budgets.size() == 2);
  CHECK(budgets[0].id == BudgetId("w:ferreira/w1"));
  CHECK(budgets[0].bought == Tokens{ 1000 });
  CHECK(budgets[1].id == BudgetId("c:ferreira/app"));
  CHECK(budgets[1].bought == Tokens{ 40 });
}

// Guards against retrying a call that must run at most once, which happens if a path outside the
// prefixes counts as repeatable.
TEST_CASE("Service_pathOutsideThePrefixes_isNotRepeatable")
{
  const auto document = parse(kValidText);
  REQUIRE(document);
  const auto& service = document->services.front();
  for (const auto* path : { "/slots", "/slots/5", "/slots?day=2", "/routes/", "/routes/a" }) {
    CHECK_MESSAGE(service.isRepeatable(path), path);
  }
  for (const auto* path : { "/",
                            "/slotsx",
                            "/routes",
                            "/book",
                            "/slots/../book",
                            "/slots/..",
                            "/slots/%2E%2e/book",
                            "/slots//x",
                            "/slots%2Fx",
                            "/slots/..\\book",
                            "",
                            "/slots/./x" }) {
    CHECK_MESSAGE(!service.isRepeatable(path), path);
  }
}

// Guards against accepting any kind of fault, and against reporting it with the wrong section, key
// or line.
TEST_CASE("Document_oneFault_isReportedWithSectionKeyAndLine")
{
  struct Case
  {
    std::string text;
    std::string section;
    std::string key;
    int line;
  };
  const std::vector<Case> cases{
    { replaceInValidText("name = ferreira", "name = a/b"), "team", "name", 2 },
    { replaceInValidText("name = ferreira\n", ""), "team", "name", 1 },
    { replaceInValidText("target_ms = 250", "target_ms = 0"), "rank.urgent", "target_ms", 5 },
    { replaceInValidText("worth = 7.5", "worth = nan"), "rank.urgent", "worth", 6 },
    { replaceInValidText("worth = 7.5", "worths = 1"), "rank.urgent", "worths", 6 },
    { replaceInValidText("rank.urgent", "rank.later"), "rank.later", "", 4 },
    { replaceInValidText("model.m-1", "model.m 1"), "model.m 1", "", 7 },
    { replaceInValidText("model.m-1", "model"), "model", "", 7 },
    { replaceInValidText("= 512", "= 5.5"), "model.m-1", "max_output_tokens", 9 },
    { replaceInValidText("kind = plain", "kind = fancy"), "service.dispatch", "kind", 11 },
    { replaceInValidText("/slots,", "slots,"), "service.dispatch", "repeatable", 12 },
    { replaceInValidText("cost = 3", "cost = -3"), "service.dispatch", "cost", 13 },
    { replaceInValidText("workspace = w1", "workspace = w2"), "caller.app", "workspace", 15 },
    { replaceInValidText("key = key-of-app", "key = short"), "caller.app", "key", 16 },
    { replaceInValidText("key = key-of-tags", "key = key-of-app"), "caller.tags", "key", 24 },
    { replaceInValidText("rank = urgent", "rank = high"), "caller.app", "rank", 18 },
    { replaceInValidText("bought = 1000", "bought = 9000000000001"), "workspace.w1", "bought", 26 },
    { replaceInValidText("bought = 1000", "bought ="), "workspace.w1", "bought", 26 },
    { replaceInValidText("[workspace.w1]", "[workspaces.w1]"), "", "", 0 },
    { replaceInValidText("weight = 4", "weight = 4\nweight = 5"), "workspace.w1", "weight", 28 },
    { std::string(kValidText) + "[team]\n", "team", "", 30 },
  };
  for (const auto& [text, section, key, line] : cases) {
    const auto document = parse(text);
    REQUIRE_MESSAGE(!document, (section + " " + key));
    if (section.empty()) {
      CHECK(document.error().size() == 3);
      continue;
    }
    REQUIRE(document.error().size() == 1);
    CHECK(document.error()[0].section == section);
    CHECK(document.error()[0].key == key);
    CHECK_MESSAGE(document.error()[0].line == line, (section + " " + key));
    CHECK_FALSE(document.error()[0].allowed.empty());
  }
}

// Guards against leaking caller keys, which are secrets, into error messages and logs.
TEST_CASE("Document_invalidKey_isNotPartOfTheFault")
{
  for (const auto& text : { replaceInValidText("key-of-tags", "key-of-app"),
                            replaceInValidText("-of-app", "\xC3\xA9") }) {
    const auto document = parseForTeam(TeamId("ferreira"), text);
    REQUIRE_FALSE(document);
    CHECK(document.error().kind == ErrorKind::documentInvalid);
    CHECK(document.error().detail.find("key-") == std::string::npos);
  }
}

// Guards against accepting the document of one team for another team.
TEST_CASE("Document_ofAnotherTeam_isRejected")
{
  CHECK(parseForTeam(TeamId("ferreira"), kValidText));
  CHECK(parseForTeam(TeamId("cwmgarn"), kValidText).error().kind == ErrorKind::documentInvalid);
  CHECK(parse("").error().size() == 1);
}

// Guards against example files that the program rejects, because operators copy them.
TEST_CASE("Document_examples_areValid")
{
  CHECK(parseForTeam(TeamId("ferreira"), readExample("ferreira.ini")));
  CHECK(parseForTeam(TeamId("cwmgarn"), readExample("cwmgarn.ini")));
}

// Guards against corrupted documents that crash the parser or are accepted with invalid references.
TEST_CASE("Document_seededMutations_areRejectedOrConsistent")
{
  Random random(3610);
  constexpr std::string_view kReplacementCharacters = "[]=.\n#\"\\, -0159ewk";
  std::size_t acceptedCount = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text(kValidText);
    for (auto remainingMutations = random.below(3) + 1; remainingMutations > 0;
         --remainingMutations) {
      const auto offset = random.below(text.size());
      if (random.chance(0.5)) {
        text.erase(offset, random.below(20) + 1);
      } else {
        text[offset] = random.chance(0.9)
                         ? kReplacementCharacters[random.below(kReplacementCharacters.size())]
                         : static_cast<char>(random.below(256));
      }
    }
    const auto document = parse(text);
    if (!document) {
      REQUIRE_FALSE(document.error().empty());
      REQUIRE(std::ranges::is_sorted(document.error(), {}, &Fault::line));
      continue;
    }
    ++acceptedCount;
    for (const auto& caller : document->callers) {
      REQUIRE_MESSAGE(document->findWorkspace(caller.workspace) != nullptr, text);
      REQUIRE_MESSAGE(caller.key.size() >= 8, text);
    }
  }
  CHECK(acceptedCount > 500);
}
