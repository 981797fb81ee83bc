#include "entry/EntryDisk.h"

namespace figchute::entry {
namespace {

constexpr std::string_view kJournalFile = "wallet.journal";
constexpr std::string_view kDocumentsFile = "documents";
constexpr std::string_view kTemporarySuffix = ".tmp";

namespace format = replication::detail;

} // namespace

/** Accesses the files on the thread of the task. */
class EntryDisk::Handler
{
public:
  using Message = EntryDisk::Message;
  static Duration tickInterval() { return std::chrono::milliseconds(200); }

  Handler(replication::FileDisk disk, SyncedHandler onSynced, FailureHandler onFailure)
    : disk_(std::move(disk))
    , onSynced_(std::move(onSynced))
    , onFailure_(std::move(onFailure))
  {
  }

  void receive(Time /*now*/, Message message)
  {
    if (auto* append = std::get_if<AppendJournal>(&message)) {
      pending_ += format::encodeRecord(wire::encode(append->records));
      pendingRecordCount_ = append->recordCount;
      return;
    }
    handleResult(replaceFile(kDocumentsFile, std::get<SaveDocuments>(message).encoded));
  }

  /** Writes all pending appends and makes them durable with a single sync. */
  void finishBatch(Time /*now*/)
  {
    if (pending_.empty() || hasFailed_) {
      return;
    }
    const auto result =
      disk_.append(kJournalFile, pending_).and_then([this] { return disk_.sync(kJournalFile); });
    if (handleResult(result)) {
      pending_.clear();
      onSynced_(pendingRecordCount_);
    }
  }

  Expected<std::string> read(std::string_view name)
  {
    auto content = disk_.read(name);
    if (!content && content.error().kind == ErrorKind::notFound) {
      return std::string();
    }
    return content;
  }

  Expected<void> replaceFile(std::string_view name, std::string_view bytes)
  {
    const std::string temporary = std::string(name) + std::string(kTemporarySuffix);
    // Removes the file of an interrupted write; otherwise the new content would be appended to it.
    static_cast<void>(disk_.remove(temporary));
    return disk_.append(temporary, bytes)
      .and_then([&] { return disk_.sync(temporary); })
      .and_then([&] { return disk_.rename(temporary, name); })
      .and_then([&] { return disk_.syncFolder(); });
  }

  Expected<void> truncateJournal(std::uint64_t size) { return disk_.truncate(kJournalFile, size); }

private:
  bool handleResult(const Expected<void>& result)
  {
    if (!result) {
      hasFailed_ = true;
      onFailure_(result.error());
    }
    return result.has_value();
  }

  replication::FileDisk disk_;
  SyncedHandler onSynced_;
  FailureHandler onFailure_;
  std::string pending_;
  std::uint64_t pendingRecordCount_ = 0;
  bool hasFailed_ = false;
};

Expected<std::unique_ptr<EntryDisk>> EntryDisk::open(const std::string& folder,
                                                     SyncedHandler onSynced,
                                                     FailureHandler onFailure)
{
  auto disk = replication::FileDisk::open(folder);
  if (!disk) {
    return tl::unexpected(disk.error());
  }
  return std::unique_ptr<EntryDisk>(new EntryDisk(
    std::make_unique<Handler>(std::move(*disk), std::move(onSynced), std::move(onFailure))));
}

EntryDisk::EntryDisk(std::unique_ptr<Handler> handler)
  : handler_(std::move(handler))
  , task_(std::make_unique<kernel::Task<Handler>>(*handler_))
{
}

EntryDisk::~EntryDisk() = default;

Expected<std::vector<ledger::JournalRecord>> EntryDisk::readJournal()
{
  const auto content = handler_->read(kJournalFile);
  if (!content) {
    return tl::unexpected(content.error());
  }
  std::vector<ledger::JournalRecord> records;
  std::uint64_t offset = 0;
  while (const auto payload = format::decodeRecordAt(*content, offset)) {
    const auto batch = wire::decode<std::vector<ledger::JournalRecord>>(*payload);
    if (!batch) {
      return fail(ErrorKind::storageCorrupt,
                  "wallet.journal offset " + std::to_string(offset) + ": " + batch.error().detail);
    }
    records.insert(records.end(), batch->begin(), batch->end());
    offset += format::encodedRecordSize(payload->size());
  }
  if (format::findNextRecord(*content, offset)) {
    return fail(ErrorKind::storageCorrupt,
                "wallet.journal offset " + std::to_string(offset) +
                  ": corrupt record before valid ones");
  }
  if (offset < content->size()) {
    if (auto truncateResult = handler_->truncateJournal(offset); !truncateResult) {
      return tl::unexpected(truncateResult.error());
    }
  }
  return records;
}

Expected<void> EntryDisk::replaceJournal(const std::vector<ledger::JournalRecord>& records)
{
  return handler_->replaceFile(kJournalFile, format::encodeRecord(wire::encode(records)));
}

Expected<std::string> EntryDisk::readDocuments()
{
  return handler_->read(kDocumentsFile);
}

void EntryDisk::start()
{
  task_->start();
}

void EntryDisk::stop()
{
  task_->stop();
}

void EntryDisk::post(Message message)
{
  task_->post(std::move(message));
}

} // namespace figchute::entry
