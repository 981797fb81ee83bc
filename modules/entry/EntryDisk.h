#pragma once

#include "core/core.h"
#include "kernel/kernel.h"
#include "ledger/ledger.h"
#include "replication/replication.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figchute::entry {

/** Appends journal records. */
struct AppendJournal
{
  std::vector<ledger::JournalRecord> records;
  /** Number of journal records including these. */
  std::uint64_t recordCount = 0;
};

/** Saves the documents for the next start. */
struct SaveDocuments
{
  std::string encoded;
};

/** Stores the quota manager's journal and a copy of the documents of an entry VM on disk. Data is
    written on a separate thread, so that a sync does not delay streams.
    Thread safety: post() is safe from any thread; the other methods must be called from the thread
    that starts and stops it. */
class EntryDisk
{
public:
  using Message = std::variant<AppendJournal, SaveDocuments>;
  /** Called when the first @p recordCount journal records are durable. */
  using SyncedHandler = std::function<void(std::uint64_t recordCount)>;
  using FailureHandler = std::function<void(const Error&)>;

  /** Opens a folder, which is created if it does not exist. */
  static Expected<std::unique_ptr<EntryDisk>> open(const std::string& folder,
                                                   SyncedHandler onSynced,
                                                   FailureHandler onFailure);
  ~EntryDisk();

  /** Reads the journal and truncates an incomplete record at its end.
      Precondition: start() was not called.
      @returns storage_corrupt if a complete record cannot be decoded or a damaged record precedes
      valid ones */
  Expected<std::vector<ledger::JournalRecord>> readJournal();

  /** Replaces the journal. Precondition: start() was not called. */
  Expected<void> replaceJournal(const std::vector<ledger::JournalRecord>& records);

  /** Reads the saved documents; empty if there are none. */
  Expected<std::string> readDocuments();

  void start();
  void stop();
  void post(Message message);

private:
  class Handler;
  explicit EntryDisk(std::unique_ptr<Handler> handler);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<kernel::Task<Handler>> task_;
};

} // namespace figchute::entry
