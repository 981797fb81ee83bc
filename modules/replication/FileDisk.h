#pragma once

#include "replication/Disk.h"

#include <map>

namespace figchute::replication {

/** A Disk on a folder of the file system. It keeps files open between appends.
    Thread safety: use one instance from one thread at a time. */
class FileDisk
{
public:
  /** Opens a folder and creates it when it does not exist.
      @param folder  the path; its parent folder must exist
      @returns the disk, or storage_failed */
  static Expected<FileDisk> open(std::string folder);

  FileDisk(FileDisk&& other) noexcept;
  FileDisk& operator=(FileDisk&& other) noexcept;
  FileDisk(const FileDisk&) = delete;
  FileDisk& operator=(const FileDisk&) = delete;
  ~FileDisk();

  /** Returns the names of the files in the folder, sorted. */
  Expected<std::vector<std::string>> list();

  /** Reads a whole file. */
  Expected<std::string> read(std::string_view name);

  /** Appends to a file and creates it when it does not exist. */
  Expected<void> append(std::string_view name, std::string_view bytes);

  /** Truncates a file to @p size bytes. */
  Expected<void> truncate(std::string_view name, std::uint64_t size);

  /** Writes the content of a file through to the disk (fdatasync). */
  Expected<void> sync(std::string_view name);

  /** Renames a file and replaces an existing file of the new name. */
  Expected<void> rename(std::string_view from, std::string_view to);

  /** Removes a file. */
  Expected<void> remove(std::string_view name);

  /** Writes created, renamed and removed names through to the disk (fsync of the folder). */
  Expected<void> syncFolder();

private:
  FileDisk(std::string folder, int folderDescriptor);
  Expected<int> openForAppend(std::string_view name);
  void closeFile(std::string_view name);
  void closeAll();

  std::string folder_;
  int folderDescriptor_ = -1;
  std::map<std::string, int, std::less<>> descriptors_;
};

} // namespace figchute::replication
