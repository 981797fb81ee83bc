#include "ini/IniFile.h"

#include "core/Utf8.h"

#include <algorithm>
#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>
#include <unordered_set>

namespace figchute::ini {
namespace {

// What cxxtools finds in one line.
class LineEvents : public cxxtools::IniParser::Event
{
public:
  using Event::onKey;
  using Event::onSection;
  using Event::onValue;

  bool onSection(const std::string& name) override
  {
    section_ = name;
    hasSection_ = true;
    return false;
  }
  bool onKey(const std::string& key) override
  {
    key_ = key;
    hasKey_ = true;
    return false;
  }
  bool onValue(const std::string& value) override
  {
    value_ = value;
    hasValue_ = true;
    return false;
  }
  bool onError() override
  {
    hasError_ = true;
    return false;
  }

  [[nodiscard]] bool isSound() const { return !hasError_ && hasKey_ == hasValue_; }
  [[nodiscard]] bool hasSection() const { return hasSection_; }
  [[nodiscard]] bool hasKey() const { return hasKey_; }
  [[nodiscard]] const std::string& section() const { return section_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& value() const { return value_; }

private:
  std::string section_;
  std::string key_;
  std::string value_;
  bool hasSection_ = false;
  bool hasKey_ = false;
  bool hasValue_ = false;
  bool hasError_ = false;
};

// Reads line by line, each with its own cxxtools parser, so that one bad line hides no other fault.
class Reader
{
public:
  ParseResult read(std::string_view text)
  {
    int line = 0;
    while (!text.empty()) {
      ++line;
      const auto end = std::min(text.find('\n'), text.size());
      readLine(text.substr(0, end), line);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(result_);
  }

private:
  void readLine(std::string_view text, int line)
  {
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    if (findInvalidUtf8(text) != std::string_view::npos) {
      addFault("", "a line that is not UTF-8", "UTF-8 text", line);
      return;
    }
    LineEvents events;
    parseLine(text, events);
    if (!events.isSound()) {
      addFault("", std::string(text), "\"[section]\", \"key = value\" or a comment", line);
      return;
    }
    if (events.hasSection()) {
      beginSection(events.section(), line);
    }
    if (events.hasKey()) {
      addEntry(Entry{ events.key(), events.value(), line });
    }
  }

  static void parseLine(std::string_view text, LineEvents& events)
  {
    cxxtools::IniParser parser(events);
    for (const auto c : cxxtools::Utf8Codec::decode(std::string(text) + "\n")) {
      parser.parse(c);
    }
    parser.end();
  }

  // The keys of a repeated section are still checked, in a section of their own that is dropped.
  void beginSection(const std::string& name, int line)
  {
    keys_.clear();
    current_ = name;
    hasSection_ = true;
    isKept_ = !name.empty() && names_.insert(name).second;
    if (name.empty()) {
      addFault("", "[]", "a section name", line);
    } else if (!isKept_) {
      addFault("", "repeated section", "each section once", line);
    } else {
      result_.file.sections.push_back(Section{ name, line, {} });
    }
  }

  void addEntry(Entry entry)
  {
    if (!hasSection_) {
      addFault(entry.key, entry.value, "a section before the first key", entry.line);
    } else if (entry.key.empty() || !keys_.insert(entry.key).second) {
      addFault(entry.key, "repeated key", "each key once in a section", entry.line);
    } else if (isKept_) {
      result_.file.sections.back().entries.push_back(std::move(entry));
    }
  }

  void addFault(std::string key, std::string found, std::string allowed, int line)
  {
    result_.faults.push_back(
      Fault{ current_, std::move(key), std::move(found), std::move(allowed), line });
  }

  ParseResult result_;
  std::unordered_set<std::string> names_;
  std::unordered_set<std::string> keys_;
  std::string current_;
  bool hasSection_ = false;
  bool isKept_ = false;
};

} // namespace

const Entry* Section::find(std::string_view key) const
{
  const auto at = std::find_if(
    entries.begin(), entries.end(), [&](const Entry& entry) { return entry.key == key; });
  return at == entries.end() ? nullptr : &*at;
}

const Section* IniFile::find(std::string_view name) const
{
  const auto at = std::find_if(
    sections.begin(), sections.end(), [&](const Section& section) { return section.name == name; });
  return at == sections.end() ? nullptr : &*at;
}

ParseResult parseAll(std::string_view text)
{
  if (text.size() > kMaxIniBytes) {
    ParseResult result;
    result.faults.push_back(Fault{ "",
                                   "",
                                   std::to_string(text.size()) + " bytes",
                                   "at most " + std::to_string(kMaxIniBytes) + " bytes",
                                   0 });
    return result;
  }
  return Reader().read(text);
}

Expected<IniFile> parse(std::string_view text)
{
  auto result = parseAll(text);
  if (!result.faults.empty()) {
    return fail(ErrorKind::badRequest, toString(result.faults));
  }
  return std::move(result.file);
}

} // namespace figchute::ini
