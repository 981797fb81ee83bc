#pragma once

#include "core/Random.h"
#include "replication/Disk.h"

#include <map>
#include <optional>

namespace figchute::replication {

/** A Disk in memory for tests and simulation. A crash loses what was not synced; it may keep a part
    of the last append.
    Thread safety: use one instance from one thread at a time. */
class MemoryDisk
{
public:
  /** Returns the names of the files, sorted. */
  Expected<std::vector<std::string>> list();

  /** Returns the whole content of a file. */
  Expected<std::string> read(std::string_view name);

  /** Appends to a file and creates it when it does not exist. */
  Expected<void> append(std::string_view name, std::string_view bytes);

  /** Cuts a file to @p size bytes. */
  Expected<void> truncate(std::string_view name, std::uint64_t size);

  /** Makes the content of a file survive a crash. */
  Expected<void> sync(std::string_view name);

  /** Renames a file; it replaces a file of the new name. */
  Expected<void> rename(std::string_view from, std::string_view to);

  /** Removes a file. */
  Expected<void> remove(std::string_view name);

  /** Makes created, renamed and removed names survive a crash. */
  Expected<void> syncFolder();

  /** Simulates a crash: names and contents return to what was synced. A file that was appended to
      keeps a random prefix of its unsynced bytes.
      @param random  chooses the lengths */
  void crash(Random& random);

  /** Makes sync() do nothing, so that a test can show that a missing sync is found. */
  void setIgnoreSync(bool ignore) { ignoreSync_ = ignore; }

  /** Makes every operation after the next @p count changing ones fail, as when the process ends in
      the middle of its work. crash() ends this. */
  void failAfterOperations(std::uint64_t count) { remaining_ = count; }

  /** Ends failAfterOperations() and keeps what was written, as when a full disk has space again. */
  void clearFailure() { remaining_.reset(); }

  /** Changes one byte of a file in place, as a failing medium does.
      Precondition: the file has more than @p offset bytes. */
  void corrupt(std::string_view name, std::uint64_t offset);

  /** Returns how many calls of sync() and syncFolder() took effect. */
  [[nodiscard]] std::uint64_t syncCount() const { return syncs_; }

private:
  struct File
  {
    std::string content;
    std::string synced;
  };
  using FileId = std::uint64_t;
  using Names = std::map<std::string, FileId, std::less<>>;

  Expected<void> countOperation();
  Expected<File*> find(std::string_view name);

  std::map<FileId, File> files_;
  Names names_;
  Names syncedNames_;
  FileId nextFile_ = 1;
  std::uint64_t syncs_ = 0;
  bool ignoreSync_ = false;
  std::optional<std::uint64_t> remaining_;
};

static_assert(Disk<MemoryDisk>);

} // namespace figchute::replication
