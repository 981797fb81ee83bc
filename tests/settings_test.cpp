#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "settings/settings.h"

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace figchute;
using namespace figchute::settings;

namespace {

constexpr std::string_view kValidText = R"([process]
id = p1
zone = a
roles = entry, control
data_dir = /tmp/p1
log_level = debug
[listen]
callers = 127.0.0.1:7001
admin = 127.0.0.1:7002
peers = [::1]:7003
[peers]
p1 = [::1]:7003 a entry+control
p2 = 127.0.0.1:7013 b control
[keys]
operator = operator-key
endpoint = endpoint-key
peer = peer-key
[limits]
max_streams = 7
shutdown_s = 5
)";

std::string readExample(const char* name)
{
  const auto folder = std::string(__FILE__).substr(0, std::string(__FILE__).rfind('/'));
  std::ifstream file(folder + "/../examples/" + name);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string replaceInText(std::string_view from,
                          std::string_view to,
                          std::string text = std::string(kValidText))
{
  const auto offset = text.find(from);
  REQUIRE_MESSAGE(offset != std::string::npos, std::string(from));
  return text.replace(offset, from.size(), to);
}

} // namespace

// Guards against storing the value of a key in the wrong field or unit.
TEST_CASE("Settings_everySection_isReadIntoTypedFields")
{
  const auto settings = parse(kValidText);
  REQUIRE(settings);
  CHECK(settings->id == ProcessId("p1"));
  CHECK(settings->zone == ZoneId("a"));
  CHECK((settings->roles == Roles{ true, true }));
  CHECK(settings->dataDir == "/tmp/p1");
  CHECK((settings->logLevel == LogLevel::debug));
  CHECK((settings->listen.callers == Address{ "127.0.0.1", 7001 }));
  CHECK(toString(settings->listen.peers) == "[::1]:7003");
  REQUIRE(settings->peers.size() == 1);
  CHECK((settings->findPeer(ProcessId("p2"))->roles == Roles{ false, true }));
  CHECK(settings->findPeer(ProcessId("p2"))->zone == ZoneId("b"));
  CHECK(settings->findPeer(ProcessId("p1")) == nullptr);
  CHECK(settings->keys.operators == "operator-key");
  CHECK(settings->keys.peer == "peer-key");
  CHECK(settings->limits.maxStreams == 7);
  CHECK(settings->limits.shutdownTimeout == std::chrono::seconds(5));
  CHECK(settings->limits.maxBodyBytes == 8U * 1024 * 1024);
}

// Guards against accepting any kind of fault, and against reporting it with the wrong section, key
// or line.
TEST_CASE("Settings_oneFault_isReportedWithSectionKeyAndLine")
{
  struct Case
  {
    std::string text;
    std::string section;
    std::string key;
    int line;
  };
  const std::vector<Case> cases{
    { replaceInText("id = p1", "id = p 1", replaceInText("p1 = [::1]:7003 a entry+control\n", "")),
      "process",
      "id",
      2 },
    { replaceInText("entry, control", "entry, entry"), "process", "roles", 4 },
    { replaceInText("data_dir = /tmp/p1\n", ""), "process", "data_dir", 1 },
    { replaceInText("= debug", "= loud"), "process", "log_level", 6 },
    { replaceInText("log_level", "loglevel"), "process", "loglevel", 6 },
    { replaceInText("127.0.0.1:7001", "localhost:7001"), "listen", "callers", 8 },
    { replaceInText("127.0.0.1:7001", "127.0.0.1:0"), "listen", "callers", 8 },
    { replaceInText("127.0.0.1:7002", "127.0.0.1:7001"), "listen", "admin", 9 },
    { replaceInText("callers = 127.0.0.1:7001\n", ""), "listen", "callers", 7 },
    { replaceInText("a entry+control", "b entry+control"), "peers", "p1", 12 },
    { replaceInText("b control", "b"), "peers", "p2", 13 },
    { replaceInText("b control", "b control x"), "peers", "p2", 13 },
    { replaceInText("127.0.0.1:7013", "127.0.0.1:7002"), "peers", "p2", 13 },
    { replaceInText("peer = peer-key", "peer = operator-key"), "keys", "peer", 17 },
    { replaceInText("peer = peer-key", "peer = key"), "keys", "peer", 17 },
    { replaceInText("max_streams = 7", "max_streams = 0"), "limits", "max_streams", 19 },
    { replaceInText("[limits]", "[limit]"), "limit", "", 18 },
  };
  for (const auto& [text, section, key, line] : cases) {
    const auto settings = parse(text);
    REQUIRE_MESSAGE(!settings, (section + " " + key));
    REQUIRE_MESSAGE(settings.error().size() == 1, ini::toString(settings.error()));
    CHECK(settings.error()[0].section == section);
    CHECK(settings.error()[0].key == key);
    CHECK_MESSAGE(settings.error()[0].line == line, (section + " " + key));
  }
}

// Guards against accepting a fleet without a control process, which can never elect a leader, and
// against a fault that prevents the detection of others.
TEST_CASE("Settings_missingSections_areAllReported")
{
  const auto singleControlProcess =
    parse(replaceInText("p2 = 127.0.0.1:7013 b control", "p2 = 127.0.0.1:7013 b entry"));
  CHECK(singleControlProcess);
  auto entryOnly = replaceInText("roles = entry, control", "roles = entry");
  entryOnly.replace(entryOnly.find("a entry+control"), 15, "a entry");
  CHECK(parse(entryOnly));
  entryOnly.replace(entryOnly.find("b control"), 9, "b entry");
  REQUIRE_FALSE(parse(entryOnly));
  CHECK(parse(entryOnly).error()[0].section == "peers");
  CHECK(parse("").error().size() == 8);
}

// Guards against example files that the program rejects, because operators copy them.
TEST_CASE("Settings_examples_areValid")
{
  CHECK(parse(readExample("entry.ini")));
  CHECK(parse(readExample("control.ini")));
}
