#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "json/json.h"

#include "core/Random.h"
#include "ini/ini.h"

#include <doctest/doctest.h>

using namespace figchute;
using json::Kind;
using json::Value;

namespace {

std::string roundTrip(std::string_view text)
{
  const auto value = json::parse(text);
  REQUIRE_MESSAGE(value, std::string(text));
  return json::dump(*value);
}

std::string mutate(Random& random, std::string text, std::string_view alphabet)
{
  for (auto remainingMutations = random.below(4) + 1; remainingMutations > 0 && !text.empty();
       --remainingMutations) {
    const auto offset = random.below(text.size());
    const auto newCharacter = random.chance(0.8) ? alphabet[random.below(alphabet.size())]
                                                 : static_cast<char>(random.below(256));
    switch (random.below(3)) {
      case 0:
        text[offset] = newCharacter;
        break;
      case 1:
        text.erase(offset, random.below(8) + 1);
        break;
      default:
        text.insert(offset, random.below(3) + 1, newCharacter);
    }
  }
  return text;
}

} // namespace

// Guards against members that change their order, kind or value when they are parsed.
TEST_CASE("Json_everyKind_isReadAndWrittenUnchanged")
{
  const std::string head = R"({"z":null,"a":[true,false,{}],"n":-9223372036854775808,"r":0.1,)"
                           R"("big":1e+300,"":[[]],"s":"q\"\\)";
  const std::string tail = "\\n\\u0000x\"}";
  const auto text = head + "\xC3\xA9\xF0\x9F\x98\x80" + tail;
  CHECK(roundTrip(text) == text);
  CHECK(roundTrip(head + R"(\u00E9\ud83d\uDE00)" + tail) == text);
  const auto value = json::parse(text);
  CHECK(value->find("n")->asInteger() == INT64_MIN);
  CHECK(*value->find("s")->asString() == std::string("q\"\\\xC3\xA9\xF0\x9F\x98\x80\n\0x", 12));
  CHECK(value->find("r")->asNumber() == 0.1);
  CHECK(value->find("missing") == nullptr);
  CHECK(value->find("z")->isNull());
  CHECK(roundTrip(" 12345678901234567890 ") == "12345678901234567168.0");
  CHECK(json::parse("1e3")->asInteger() == 1000);
  CHECK_FALSE(json::parse("1.5")->asInteger());
  CHECK(roundTrip("{\"\xC3\xA9\":\"\xC3\xA9\"}") == "{\"\xC3\xA9\":\"\xC3\xA9\"}");
  CHECK(json::parse("{\"\\u00e9\":1}")->find("\xC3\xA9")->asInteger() == 1);
  CHECK(json::dump(Value("a\xFF")) == "\"a\xEF\xBF\xBD\"");
  CHECK(json::dump(Value("\x7F\x1F/")) == R"("\u007f\u001f/")");
}

// Guards against assigning a long string to the wrong member or element.
TEST_CASE("Json_longStringsAmongShortOnes_keepTheirPositions")
{
  const std::string a(100, 'a');
  const std::string b = "\xC3\xA9" + std::string(90, 'b');
  const std::string escaped =
    std::string(40, 'c') + R"(\n\"\\\/\b\f\r\t\u0041\u00e9\u20AC\ud83d\ude00\u0000)" + "d";
  const std::string decoded = std::string(40, 'c') +
                              "\n\"\\/\b\f\r\tA\xC3\xA9\xE2\x82\xAC\xF0\x9F\x98\x80" +
                              std::string(1, '\0') + "d";
  const auto value = json::parse("{\"k\":\"s\",\"" + a + "\":\"" + a + "\",\"l\":[\"" + escaped +
                                 "\",\"" + b + "\",\"t\",\"\"],\"m\":\"" + a + "\"}");
  REQUIRE(value);
  CHECK(*value->find("k")->asString() == "s");
  CHECK(*value->find(a)->asString() == a);
  const auto& list = *value->find("l")->asArray();
  CHECK(*list[0].asString() == decoded);
  CHECK(*list[1].asString() == b);
  CHECK(*list[2].asString() == "t");
  CHECK(list[3].asString()->empty());
  CHECK(*value->find("m")->asString() == a);
}

// Guards against accepting texts that RFC 8259 does not allow but lenient parsers accept.
TEST_CASE("Json_textInvalidByRfc8259_isBadRequestWithPosition")
{
  for (const std::string text : { "",
                                  " ",
                                  "tru",
                                  "[1,]",
                                  "{}x",
                                  "{\"a\":1,}",
                                  "{a:1}",
                                  "[1 2]",
                                  "'a'",
                                  "\"a",
                                  "[",
                                  "{\"a\"}",
                                  "01",
                                  "1.",
                                  ".5",
                                  "1e",
                                  "+1",
                                  "-",
                                  "nan",
                                  "/*c*/1",
                                  "1//c",
                                  "\"\\ud800\"",
                                  "\"\\x41\"",
                                  "\"\\u12g4\"",
                                  "\"\xFF\"",
                                  "\"\t\"",
                                  "1e400",
                                  "\"\\",
                                  "{\"a\":1,\"a\":2}",
                                  "\"\xED\xA0\x80\"",
                                  "\"\\ude00\"" }) {
    const auto value = json::parse(text);
    REQUIRE_MESSAGE(!value, text);
    CHECK(value.error().kind == ErrorKind::badRequest);
  }
  CHECK(json::parse("{\n \"a\": x}").error().detail.find("line 2 column 7") != std::string::npos);
  const std::string deep(65, '[');
  CHECK_FALSE(json::parse(deep + std::string(65, ']')));
  CHECK(json::parse(deep.substr(1) + std::string(64, ']')));
  CHECK_FALSE(json::parse(std::string(200000, '[')));
  CHECK(json::parse("[1]", json::ParseLimits{ 2, 64 }).error().kind == ErrorKind::bodyTooLarge);
}

// Guards against crashes on corrupted input, and against writing a text that the parser rejects or
// reads differently.
TEST_CASE("Json_seededMutations_areRejectedOrRoundTrip")
{
  Random random(20261204);
  const std::string validText = R"({"a":[1,-2.5e3,"x\u00e9\n",true,null],"b":{"c":")" +
                                std::string(40, 'y') + R"(","d":{}},"e":"q\"","":0})";
  std::size_t acceptedCount = 0;
  for (int i = 0; i < 20000; ++i) {
    const auto text = mutate(random, validText, "{}[]\",:\\u0123eE.-+ntf \n");
    const auto value = json::parse(text);
    if (value) {
      ++acceptedCount;
      const auto reparsedValue = json::parse(json::dump(*value));
      REQUIRE_MESSAGE(reparsedValue, text);
      REQUIRE_MESSAGE(*reparsedValue == *value, text);
    }
  }
  CHECK(acceptedCount > 1000);
}

// Guards against a fault that prevents the detection of others, and against wrong line numbers.
TEST_CASE("Ini_textWithSeveralFaults_reportsEachWithItsLine")
{
  const auto result = ini::parseAll("early = 1\n[a]\nx = 1\r\nx = 2\nno value\n\n[b\n[a]\ny = 3\n"
                                    "bad = \xFF\n[]\n# comment\n; comment\n[c]\nz = \"q \\\" z\"");
  std::vector<int> lines;
  for (const auto& fault : result.faults) {
    lines.push_back(fault.line);
  }
  CHECK(lines == std::vector<int>{ 1, 4, 5, 7, 8, 10, 11 });
  REQUIRE(result.file.sections.size() == 2);
  CHECK(result.file.find("a")->find("x")->value == "1");
  CHECK(result.file.find("a")->find("y") == nullptr);
  CHECK(result.file.find("c")->find("z")->value == "q \" z");
  CHECK(result.file.find("c")->line == 14);
  const auto strict = ini::parse("[a]\nx\n");
  CHECK(strict.error().kind == ErrorKind::badRequest);
  CHECK(strict.error().detail.find("line 2: [a]") != std::string::npos);
  CHECK(ini::parse("")->sections.empty());
}

// Guards against crashes on corrupted input, and against sections and keys out of line order.
TEST_CASE("Ini_seededMutations_keepLinesInOrder")
{
  Random random(7);
  const std::string validText =
    "[team]\nname = t\n# note\n[workspace.w]\nbought = 5\nweight=\"2\"\n";
  for (int i = 0; i < 20000; ++i) {
    const auto result = ini::parseAll(mutate(random, validText, "[]=#;\"'\\\n\r ab"));
    int lastLine = 0;
    for (const auto& section : result.file.sections) {
      REQUIRE(section.line > lastLine);
      lastLine = section.line;
      for (const auto& entry : section.entries) {
        REQUIRE(entry.line >= lastLine);
        lastLine = entry.line;
      }
    }
  }
}
