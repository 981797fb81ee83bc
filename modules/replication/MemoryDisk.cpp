#include "replication/MemoryDisk.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

Expected<void> MemoryDisk::consumeOperation()
{
  if (!remainingOperations_) {
    return {};
  }
  if (*remainingOperations_ == 0) {
    return fail(ErrorKind::storageFailed, "simulated disk failure");
  }
  --*remainingOperations_;
  return {};
}

Expected<MemoryDisk::File*> MemoryDisk::find(std::string_view name)
{
  const auto found = fileIds_.find(name);
  if (found == fileIds_.end()) {
    return fail(ErrorKind::notFound, "file " + std::string(name) + " does not exist");
  }
  return &files_[found->second];
}

Expected<std::vector<std::string>> MemoryDisk::list()
{
  std::vector<std::string> names;
  for (const auto& [name, file] : fileIds_) {
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
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  if (fileIds_.find(name) == fileIds_.end()) {
    fileIds_.emplace(name, nextFile_++);
  }
  return find(name).map([&](File* file) { file->content += bytes; });
}

Expected<void> MemoryDisk::truncate(std::string_view name, std::uint64_t size)
{
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  return find(name).map([&](File* file) { file->content.resize(size); });
}

Expected<void> MemoryDisk::sync(std::string_view name)
{
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  return find(name).map([&](File* file) {
    ++syncCount_;
    if (!ignoreSync_) {
      file->synced = file->content;
    }
  });
}

Expected<void> MemoryDisk::rename(std::string_view from, std::string_view to)
{
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  const auto found = fileIds_.find(from);
  if (found == fileIds_.end()) {
    return fail(ErrorKind::storageFailed, "rename " + std::string(from) + ": file does not exist");
  }
  const FileId file = found->second;
  fileIds_.erase(found);
  fileIds_.insert_or_assign(std::string(to), file);
  return {};
}

Expected<void> MemoryDisk::remove(std::string_view name)
{
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  const auto found = fileIds_.find(name);
  if (found == fileIds_.end()) {
    return fail(ErrorKind::storageFailed, "remove " + std::string(name) + ": file does not exist");
  }
  fileIds_.erase(found);
  return {};
}

Expected<void> MemoryDisk::syncFolder()
{
  if (auto allowed = consumeOperation(); !allowed) {
    return allowed;
  }
  ++syncCount_;
  if (!ignoreSync_) {
    syncedFileIds_ = fileIds_;
  }
  std::erase_if(files_, [&](const auto& item) {
    const auto refersToFile = [&](const auto& name) { return name.second == item.first; };
    return std::none_of(fileIds_.begin(), fileIds_.end(), refersToFile) &&
           std::none_of(syncedFileIds_.begin(), syncedFileIds_.end(), refersToFile);
  });
  return {};
}

void MemoryDisk::crash(Random& random)
{
  remainingOperations_.reset();
  fileIds_ = syncedFileIds_;
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
