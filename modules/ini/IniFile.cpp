#include "ini/IniFile.h"

#include "core/Utf8.h"

#include <algorithm>
#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>
#include <unordered_set>

namespace figchute::ini {
namespace {

// Collects the parser events of one line.
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

  [[nodiscard]] bool isValid() const { return !hasError_ && hasKey_ == hasValue_; }
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

// Reads each line with a separate cxxtools parser, so that an invalid line does not hide faults in
// other lines.
class Reader
{
public:
  ParseResult read(std::string_view text)
  {
    int lineNumber = 0;
    while (!text.empty()) {
      ++lineNumber;
      const auto end = std::min(text.find('\n'), text.size());
      readLine(text.substr(0, end), lineNumber);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(result_);
  }

private:
  void readLine(std::string_view text, int lineNumber)
  {
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    if (findInvalidUtf8(text) != std::string_view::npos) {
      addFault("", "a line that is not UTF-8", "UTF-8 text", lineNumber);
      return;
    }
    LineEvents events;
    parseLine(text, events);
    if (!events.isValid()) {
      addFault("", std::string(text), "\"[section]\", \"key = value\" or a comment", lineNumber);
      return;
    }
    if (events.hasSection()) {
      beginSection(events.section(), lineNumber);
    }
    if (events.hasKey()) {
      addEntry(Entry{ events.key(), events.value(), lineNumber });
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

  // The keys of a repeated section are still checked, separately from those of the first section,
  // but are not part of the result.
  void beginSection(const std::string& name, int lineNumber)
  {
    currentSectionKeys_.clear();
    currentSection_ = name;
    hasSection_ = true;
    isCurrentSectionIncluded_ = !name.empty() && sectionNames_.insert(name).second;
    if (name.empty()) {
      addFault("", "[]", "a section name", lineNumber);
    } else if (!isCurrentSectionIncluded_) {
      addFault("", "repeated section", "each section once", lineNumber);
    } else {
      result_.file.sections.push_back(Section{ name, lineNumber, {} });
    }
  }

  void addEntry(Entry entry)
  {
    if (!hasSection_) {
      addFault(entry.key, entry.value, "a section before the first key", entry.line);
    } else if (entry.key.empty() || !currentSectionKeys_.insert(entry.key).second) {
      addFault(entry.key, "repeated key", "each key once in a section", entry.line);
    } else if (isCurrentSectionIncluded_) {
      result_.file.sections.back().entries.push_back(std::move(entry));
    }
  }

  void addFault(std::string key, std::string actual, std::string allowed, int lineNumber)
  {
    result_.faults.push_back(
      Fault{ currentSection_, std::move(key), std::move(actual), std::move(allowed), lineNumber });
  }

  ParseResult result_;
  std::unordered_set<std::string> sectionNames_;
  std::unordered_set<std::string> currentSectionKeys_;
  std::string currentSection_;
  bool hasSection_ = false;
  bool isCurrentSectionIncluded_ = false;
};

} // namespace

const Entry* Section::find(std::string_view key) const
{
  const auto entryIt = std::find_if(
    entries.begin(), entries.end(), [&](const Entry& entry) { return entry.key == key; });
  return entryIt == entries.end() ? nullptr : &*entryIt;
}

const Section* IniFile::find(std::string_view name) const
{
  const auto sectionIt = std::find_if(
    sections.begin(), sections.end(), [&](const Section& section) { return section.name == name; });
  return sectionIt == sections.end() ? nullptr : &*sectionIt;
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
