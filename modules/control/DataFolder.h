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

/** How the process of a data folder came to the log. It is written once, before the process sends
    its first message, and does not change as long as the folder exists. */
struct Origin
{
  /** True when the process may found the group together with @ref founders. */
  bool founder = false;
  std::vector<ProcessId> founders;

  MSGPACK_DEFINE(founder, founders)
};

/** The data folder of a ControlNode: the storage of the log and the origin.
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

  /** Returns the recorded origin.
      @returns not_found when the folder is new; storage_corrupt or storage_failed */
  virtual Expected<Origin> readOrigin() = 0;

  /** Records the origin durably. */
  virtual Expected<void> writeOrigin(const Origin& origin) = 0;
};

/** Opens a data folder. */
using OpenDataFolder = std::function<Expected<std::unique_ptr<DataFolder>>()>;

/** A DataFolder on a Disk.
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
      return fail(ErrorKind::storageCorrupt, "file origin, offset 0: bad record");
    }
    return wire::decode<Origin>(*payload);
  }

  Expected<void> writeOrigin(const Origin& origin) override
  {
    const std::string temporary =
      std::string(kOriginName) + std::string(replication::detail::kTemporarySuffix);
    const auto record = replication::detail::encodeRecord(wire::encode(origin));
    return disk_->append(temporary, record)
      .and_then([&] { return disk_->sync(temporary); })
      .and_then([&] { return disk_->rename(temporary, kOriginName); })
      .and_then([&] { return disk_->syncFolder(); });
  }

private:
  static constexpr std::string_view kOriginName = "origin";

  std::shared_ptr<D> disk_;
  replication::LogStorage<D> storage_;
};

} // namespace figchute::control
