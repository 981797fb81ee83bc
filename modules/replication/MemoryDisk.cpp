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
  const auto fileId = fileIds_.find(name);
  if (fileId == fileIds_.end()) {
    return fail(ErrorKind::notFound, "file " + std::string(name) + " does not exist");
  }
  return &files_[fileId->second];
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
  if (auto result = consumeOperation(); !result) {
    return result;
  }
  if (fileIds_.find(name) == fileIds_.end()) {
    fileIds_.emplace(name, nextFileId_++);
  }
  return find(name).map([&](File* file) { file->content += bytes; });
}

Expected<void> MemoryDisk::truncate(std::string_view name, std::uint64_t size)
{
  if (auto result = consumeOperation(); !result) {
    return result;
  }
  return find(name).map([&](File* file) { file->content.resize(size); });
}

Expected<void> MemoryDisk::sync(std::string_view name)
{
  if (auto result = consumeOperation(); !result) {
    return result;
  }
  return find(name).map([&](File* file) {
    ++syncCount_;
    if (!ignoreSync_) {
      file->syncedContent = file->content;
    }
  });
}

Expected<void> MemoryDisk::rename(std::string_view from, std::string_view to)
{
  if (auto result = consumeOperation(); !result) {
    return result;
  }
  const auto sourceEntry = fileIds_.find(from);
  if (sourceEntry == fileIds_.end()) {
    return fail(ErrorKind::storageFailed, "rename " + std::string(from) + ": file does not exist");
  }
  const FileId fileId = sourceEntry->second;
  fileIds_.erase(sourceEntry);
  fileIds_.insert_or_assign(std::string(to), fileId);
  return {};
}

Expected<void> MemoryDisk::remove(std::string_view name)
{
  if (auto result = consumeOperation(); !result) {
    return result;
  }
  const auto fileEntry = fileIds_.find(name);
  if (fileEntry == fileIds_.end()) {
    return fail(ErrorKind::storageFailed, "remove " + std::string(name) + ": file does not exist");
  }
  fileIds_.erase(fileEntry);
  return {};
}

Expected<void> MemoryDisk::syncFolder()
{
  if (auto result = consumeOperation(); !result) {
    return result;
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
    const bool hasUnsyncedAppends =
      file.content.size() > file.syncedContent.size() &&
      file.content.compare(0, file.syncedContent.size(), file.syncedContent) == 0;
    if (hasUnsyncedAppends) {
      file.content.resize(file.syncedContent.size() +
                          random.below(file.content.size() - file.syncedContent.size() + 1));
    } else {
      file.content = file.syncedContent;
    }
    file.syncedContent = file.content;
  }
}

void MemoryDisk::corrupt(std::string_view name, std::uint64_t offset)
{
  auto file = find(name);
  if (file && offset < (*file)->content.size()) {
    (*file)->content[offset] = static_cast<char>((*file)->content[offset] ^ 0x5A);
    (*file)->syncedContent = (*file)->content;
  }
}

} // namespace figchute::replication
