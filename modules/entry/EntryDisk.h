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

/** Journal records to make durable. */
struct AppendJournal
{
  std::vector<ledger::JournalRecord> records;
  /** The number of records that are durable once these are. */
  std::uint64_t total = 0;
};

/** The documents to keep over a restart. */
struct SaveDocuments
{
  std::string encoded;
};

/** The disk of an entry VM: the journal of its wallet and its copy of the documents. It writes on
    a thread of its own, so that a sync never delays a stream.
    Thread safety: post() is safe from any thread; the other methods are for the thread that starts
    and stops it. */
class EntryDisk
{
public:
  using Message = std::variant<AppendJournal, SaveDocuments>;
  /** Is told that the first @p total journal records are durable. */
  using SyncedHandler = std::function<void(std::uint64_t total)>;
  using FailureHandler = std::function<void(const Error&)>;

  /** Opens a folder and creates it when it does not exist. */
  static Expected<std::unique_ptr<EntryDisk>> open(const std::string& folder,
                                                   SyncedHandler synced,
                                                   FailureHandler failed);
  ~EntryDisk();

  /** Reads the journal; a torn tail is cut.
      Precondition: start() was not called.
      @returns storage_corrupt when a whole record cannot be decoded */
  Expected<std::vector<ledger::JournalRecord>> readJournal();

  /** Replaces the journal. Precondition: start() was not called. */
  Expected<void> replaceJournal(const std::vector<ledger::JournalRecord>& records);

  /** Reads the saved documents; empty when there are none. */
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
