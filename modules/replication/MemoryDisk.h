#pragma once

#include "core/Random.h"
#include "replication/Disk.h"

#include <map>
#include <optional>

namespace figchute::replication {

/** A Disk in memory for tests and simulations. A simulated crash discards data that was not synced,
    except for a random part of unsynced appends.
    Thread safety: use one instance from one thread at a time. */
class MemoryDisk
{
public:
  /** Returns the names of the files, sorted. */
  Expected<std::vector<std::string>> list();

  /** Reads a whole file. */
  Expected<std::string> read(std::string_view name);

  /** Appends to a file and creates it when it does not exist. */
  Expected<void> append(std::string_view name, std::string_view bytes);

  /** Truncates a file to @p size bytes. */
  Expected<void> truncate(std::string_view name, std::uint64_t size);

  /** Makes the content of a file survive a crash. */
  Expected<void> sync(std::string_view name);

  /** Renames a file and replaces an existing file of the new name. */
  Expected<void> rename(std::string_view from, std::string_view to);

  /** Removes a file. */
  Expected<void> remove(std::string_view name);

  /** Makes created, renamed and removed names survive a crash. */
  Expected<void> syncFolder();

  /** Simulates a crash: restores the synced names and contents. A file that was appended to keeps a
      random prefix of its unsynced bytes.
      @param random  chooses the lengths of the prefixes */
  void crash(Random& random);

  /** Makes sync() and syncFolder() have no effect, so that a test can show that it detects missing
      syncs. */
  void setIgnoreSync(bool ignore) { ignoreSync_ = ignore; }

  /** Lets the next @p count write operations succeed and all later ones fail, as when the process
      ends while it writes or the disk is full. crash() ends this. */
  void failAfterOperations(std::uint64_t count) { remainingOperations_ = count; }

  /** Ends failAfterOperations() and keeps the written data, as when a full disk has space again. */
  void clearFailure() { remainingOperations_.reset(); }

  /** Flips bits of one byte of a file, as a damaged disk does.
      Precondition: the file has more than @p offset bytes. */
  void corrupt(std::string_view name, std::uint64_t offset);

  /** Returns the number of successful calls of sync() and syncFolder(). */
  [[nodiscard]] std::uint64_t syncCount() const { return syncCount_; }

private:
  struct File
  {
    std::string content;
    std::string syncedContent;
  };
  using FileId = std::uint64_t;
  using FileIds = std::map<std::string, FileId, std::less<>>;

  Expected<void> consumeOperation();
  Expected<File*> find(std::string_view name);

  std::map<FileId, File> files_;
  FileIds fileIds_;
  FileIds syncedFileIds_;
  FileId nextFileId_ = 1;
  std::uint64_t syncCount_ = 0;
  bool ignoreSync_ = false;
  std::optional<std::uint64_t> remainingOperations_;
};

static_assert(Disk<MemoryDisk>);

} // namespace figchute::replication
