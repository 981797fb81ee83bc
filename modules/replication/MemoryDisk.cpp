#include "replication/MemoryDisk.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

Expected<void> MemoryDisk::countOperation()
{
  if (!remaining_) {
    return {};
  }
  if (*remaining_ == 0) {
    return fail(ErrorKind::storageFailed, "the disk was stopped");
  }
  --*remaining_;
  return {};
}

Expected<MemoryDisk::File*> MemoryDisk::find(std::string_view name)
{
  const auto found = names_.find(name);
  if (found == names_.end()) {
    return fail(ErrorKind::notFound, "file " + std::string(name) + " does not exist");
  }
  return &files_[found->second];
}

Expected<std::vector<std::string>> MemoryDisk::list()
{
  std::vector<std::string> names;
  for (const auto& [name, file] : names_) {
    names.push_back(name);
  }
  return names;
}

Expected<std::string> MemoryDisk::read(std::string_view name)
{
  return find(name).map([](const File* file) { return file->content; });
}

Expected<void> MemoryDisk::append(std::string_view name, std::string_view bytes)
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  if (names_.find(name) == names_.end()) {
    names_.emplace(name, nextFile_++);
  }
  return find(name).map([&](File* file) { file->content += bytes; });
}

Expected<void> MemoryDisk::truncate(std::string_view name, std::uint64_t size)
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  return find(name).map([&](File* file) { file->content.resize(size); });
}

Expected<void> MemoryDisk::sync(std::string_view name)
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  return find(name).map([&](File* file) {
    ++syncs_;
    if (!ignoreSync_) {
      file->synced = file->content;
    }
  });
}

Expected<void> MemoryDisk::rename(std::string_view from, std::string_view to)
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  const auto found = names_.find(from);
  if (found == names_.end()) {
    return fail(ErrorKind::storageFailed, "rename " + std::string(from) + ": no such file");
  }
  const FileId file = found->second;
  names_.erase(found);
  names_.insert_or_assign(std::string(to), file);
  return {};
}

Expected<void> MemoryDisk::remove(std::string_view name)
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  const auto found = names_.find(name);
  if (found == names_.end()) {
    return fail(ErrorKind::storageFailed, "remove " + std::string(name) + ": no such file");
  }
  names_.erase(found);
  return {};
}

Expected<void> MemoryDisk::syncFolder()
{
  if (auto counted = countOperation(); !counted) {
    return counted;
  }
  ++syncs_;
  if (!ignoreSync_) {
    syncedNames_ = names_;
  }
  std::erase_if(files_, [&](const auto& item) {
    const auto uses = [&](const auto& name) { return name.second == item.first; };
    return std::none_of(names_.begin(), names_.end(), uses) &&
           std::none_of(syncedNames_.begin(), syncedNames_.end(), uses);
  });
  return {};
}

void MemoryDisk::crash(Random& random)
{
  remaining_.reset();
  names_ = syncedNames_;
  for (auto& [id, file] : files_) {
    const bool appended = file.content.size() > file.synced.size() &&
                          file.content.compare(0, file.synced.size(), file.synced) == 0;
    if (appended) {
      file.content.resize(file.synced.size() +
                          random.below(file.content.size() - file.synced.size() + 1));
    } else {
      file.content = file.synced;
    }
    file.synced = file.content;
  }
}

void MemoryDisk::corrupt(std::string_view name, std::uint64_t offset)
{
  auto file = find(name);
  if (file && offset < (*file)->content.size()) {
    (*file)->content[offset] = static_cast<char>((*file)->content[offset] ^ 0x5A);
    (*file)->synced = (*file)->content;
  }
}

} // namespace figchute::replication
