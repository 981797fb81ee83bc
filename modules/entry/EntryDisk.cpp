#include "entry/EntryDisk.h"

namespace figchute::entry {
namespace {

constexpr std::string_view kJournal = "wallet.journal";
constexpr std::string_view kDocuments = "documents";
constexpr std::string_view kTemporary = ".tmp";

namespace format = replication::detail;

} // namespace

/** Owns the folder on the thread of the task. */
class EntryDisk::Handler
{
public:
  using Message = EntryDisk::Message;
  static Duration tickInterval() { return std::chrono::milliseconds(200); }

  Handler(replication::FileDisk disk, SyncedHandler synced, FailureHandler failed)
    : disk_(std::move(disk))
    , synced_(std::move(synced))
    , failed_(std::move(failed))
  {
  }

  void receive(Time /*now*/, Message message)
  {
    if (auto* append = std::get_if<AppendJournal>(&message)) {
      pending_ += format::encodeRecord(wire::encode(append->records));
      pendingTotal_ = append->total;
      return;
    }
    check(writeWhole(kDocuments, std::get<SaveDocuments>(message).encoded));
  }

  /** Makes all appends of a batch durable with one sync. */
  void settle(Time /*now*/)
  {
    if (pending_.empty() || stopped_) {
      return;
    }
    const auto written =
      disk_.append(kJournal, pending_).and_then([this] { return disk_.sync(kJournal); });
    if (check(written)) {
      pending_.clear();
      synced_(pendingTotal_);
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

  Expected<void> writeWhole(std::string_view name, std::string_view bytes)
  {
    const std::string temporary = std::string(name) + std::string(kTemporary);
    // A leftover of an interrupted write would precede the new content.
    static_cast<void>(disk_.remove(temporary));
    return disk_.append(temporary, bytes)
      .and_then([&] { return disk_.sync(temporary); })
      .and_then([&] { return disk_.rename(temporary, name); })
      .and_then([&] { return disk_.syncFolder(); });
  }

  Expected<void> truncateJournal(std::uint64_t size) { return disk_.truncate(kJournal, size); }

private:
  bool check(const Expected<void>& result)
  {
    if (!result) {
      stopped_ = true;
      failed_(result.error());
    }
    return result.has_value();
  }

  replication::FileDisk disk_;
  SyncedHandler synced_;
  FailureHandler failed_;
  std::string pending_;
  std::uint64_t pendingTotal_ = 0;
  bool stopped_ = false;
};

Expected<std::unique_ptr<EntryDisk>> EntryDisk::open(const std::string& folder,
                                                     SyncedHandler synced,
                                                     FailureHandler failed)
{
  auto disk = replication::FileDisk::open(folder);
  if (!disk) {
    return tl::unexpected(disk.error());
  }
  return std::unique_ptr<EntryDisk>(new EntryDisk(
    std::make_unique<Handler>(std::move(*disk), std::move(synced), std::move(failed))));
}

EntryDisk::EntryDisk(std::unique_ptr<Handler> handler)
  : handler_(std::move(handler))
  , task_(std::make_unique<kernel::Task<Handler>>(*handler_))
{
}

EntryDisk::~EntryDisk() = default;

Expected<std::vector<ledger::JournalRecord>> EntryDisk::readJournal()
{
  const auto content = handler_->read(kJournal);
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
                  ": bad record before valid ones");
  }
  if (offset < content->size()) {
    if (auto cut = handler_->truncateJournal(offset); !cut) {
      return tl::unexpected(cut.error());
    }
  }
  return records;
}

Expected<void> EntryDisk::replaceJournal(const std::vector<ledger::JournalRecord>& records)
{
  return handler_->writeWhole(kJournal, format::encodeRecord(wire::encode(records)));
}

Expected<std::string> EntryDisk::readDocuments()
{
  return handler_->read(kDocuments);
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
