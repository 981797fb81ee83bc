#pragma once

#include "core/core.h"
#include "replication/replication.h"
#include "wire/wire.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figchute::control {

/** Records in a data folder whether its process may bootstrap the replicated log. It is written
    once, before the process sends its first message, and never changes: a folder that joined an
    existing group never bootstraps another one, and a process that restarts before the first
    election still may. */
struct Origin
{
  /** True when the process is one of @ref bootstrapMembers, the initial voters of the group. */
  bool mayBootstrap = false;
  std::vector<ProcessId> bootstrapMembers;

  MSGPACK_DEFINE(mayBootstrap, bootstrapMembers)
};

/** The data folder of a ControlNode: the storage of the log and the Origin.
    Thread safety: use one instance from one thread only. */
class DataFolder
{
public:
  DataFolder() = default;
  virtual ~DataFolder() = default;
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /** @see replication::LogStorage::recover() */
  virtual Expected<replication::RecoveredState> recover(std::string_view newDiskId) = 0;

  /** @see replication::LogStorage::save() */
  virtual Expected<void> save(const replication::Ready& ready) = 0;

  /** Reads the recorded origin.
      @returns not_found when the folder is new; storage_corrupt when the record is damaged;
      storage_failed on an I/O error */
  virtual Expected<Origin> readOrigin() = 0;

  /** Records the origin durably.
      @returns storage_failed on an I/O error */
  virtual Expected<void> writeOrigin(const Origin& origin) = 0;
};

/** Opens a data folder. */
using OpenDataFolder = std::function<Expected<std::unique_ptr<DataFolder>>()>;

/** The DataFolder that is stored on a Disk.
    @tparam D  the Disk that holds the folder */
template<replication::Disk D>
class DiskDataFolder : public DataFolder
{
public:
  explicit DiskDataFolder(std::shared_ptr<D> disk)
    : disk_(std::move(disk))
    , storage_(*disk_)
  {
  }

  Expected<replication::RecoveredState> recover(std::string_view newDiskId) override
  {
    return storage_.recover(newDiskId);
  }

  Expected<void> save(const replication::Ready& ready) override { return storage_.save(ready); }

  Expected<Origin> readOrigin() override
  {
    const auto file = disk_->read(kOriginName);
    if (!file) {
      return tl::unexpected(file.error());
    }
    const auto payload = replication::detail::decodeRecordAt(*file, 0);
    if (!payload) {
      return fail(ErrorKind::storageCorrupt, "file origin, offset 0: invalid record");
    }
    return wire::decode<Origin>(*payload);
  }

  Expected<void> writeOrigin(const Origin& origin) override
  {
    const std::string temporaryName =
      std::string(kOriginName) + std::string(replication::detail::kTemporarySuffix);
    const auto record = replication::detail::encodeRecord(wire::encode(origin));
    return disk_->append(temporaryName, record)
      .and_then([&] { return disk_->sync(temporaryName); })
      .and_then([&] { return disk_->rename(temporaryName, kOriginName); })
      .and_then([&] { return disk_->syncFolder(); });
  }

private:
  static constexpr std::string_view kOriginName = "origin";

  std::shared_ptr<D> disk_;
  replication::LogStorage<D> storage_;
};

} // namespace figchute::control
