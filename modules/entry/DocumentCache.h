#pragma once

#include "core/core.h"
#include "ledger/ledger.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::entry {

/** The latest documents that this process has. The revision never goes down, so that a push from a
    control VM that is behind changes nothing.
    Thread safety: use one instance from one thread only. */
class DocumentCache
{
public:
  /** Takes a push.
      @returns true when a document changed */
  bool take(const ledger::DocumentPush& push);

  /** Returns the poll that asks for what is missing. */
  [[nodiscard]] ledger::DocumentPoll poll() const { return { revision_, quarantineRevision_ }; }

  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /** Returns the documents by team. */
  [[nodiscard]] std::vector<ledger::TeamDocument> documents() const;

  /** Returns the fingerprints that are refused. */
  [[nodiscard]] const std::vector<ledger::QuarantineEntry>& quarantine() const
  {
    return quarantine_;
  }

  /** Encodes the documents for the process's own disk. */
  [[nodiscard]] std::string encode() const;

  /** Replaces the content by what encode() returned.
      @returns codec_error when the bytes are something else; the cache is then unchanged */
  Expected<void> decode(std::string_view bytes);

private:
  std::uint64_t revision_ = 0;
  std::uint64_t quarantineRevision_ = 0;
  std::map<TeamId, ledger::TeamDocument> documents_;
  std::vector<ledger::QuarantineEntry> quarantine_;
};

} // namespace figchute::entry
