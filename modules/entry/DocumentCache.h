#pragma once

#include "core/core.h"
#include "ledger/ledger.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::entry {

/** The latest documents received by this process. Pushes with an older revision are ignored, so
    that a control VM that lags behind cannot revert documents.
    Thread safety: use one instance from one thread only. */
class DocumentCache
{
public:
  /** Applies a push.
      @returns whether its revision was newer than the current one */
  bool apply(const ledger::DocumentPush& push);

  /** Returns a poll message that requests newer revisions. */
  [[nodiscard]] ledger::DocumentPoll makePoll() const { return { revision_, quarantineRevision_ }; }

  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /** Returns the documents by team. */
  [[nodiscard]] std::vector<ledger::TeamDocument> documents() const;

  /** Returns the quarantined fingerprints. */
  [[nodiscard]] const std::vector<ledger::QuarantineEntry>& quarantine() const
  {
    return quarantine_;
  }

  /** Encodes the documents for storage on disk. */
  [[nodiscard]] std::string encode() const;

  /** Replaces the contents of the cache with documents encoded by encode().
      @returns codec_error if the bytes cannot be decoded; the cache is then unchanged */
  Expected<void> decode(std::string_view bytes);

private:
  std::uint64_t revision_ = 0;
  std::uint64_t quarantineRevision_ = 0;
  std::map<TeamId, ledger::TeamDocument> documents_;
  std::vector<ledger::QuarantineEntry> quarantine_;
};

} // namespace figchute::entry
