#include "replication/FileDisk.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace figchute::replication {
namespace {

constexpr mode_t kFolderMode = 0755;
constexpr mode_t kFileMode = 0644;
constexpr std::size_t kReadBytes = 64UL * 1024;

tl::unexpected<Error> failWithErrno(std::string_view operation, std::string_view name)
{
  const int errorNumber = errno;
  return fail(ErrorKind::storageFailed,
              std::string(operation) + " " + std::string(name) + ": " + std::strerror(errorNumber));
}

} // namespace

FileDisk::FileDisk(std::string folder, int folderDescriptor)
  : folder_(std::move(folder))
  , folderDescriptor_(folderDescriptor)
{
}

FileDisk::FileDisk(FileDisk&& other) noexcept
  : folder_(std::move(other.folder_))
  , folderDescriptor_(std::exchange(other.folderDescriptor_, -1))
  , descriptors_(std::exchange(other.descriptors_, {}))
{
}

FileDisk& FileDisk::operator=(FileDisk&& other) noexcept
{
  if (this != &other) {
    closeAll();
    folder_ = std::move(other.folder_);
    folderDescriptor_ = std::exchange(other.folderDescriptor_, -1);
    descriptors_ = std::exchange(other.descriptors_, {});
  }
  return *this;
}

FileDisk::~FileDisk()
{
  closeAll();
}

Expected<FileDisk> FileDisk::open(std::string folder)
{
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return failWithErrno("mkdir", folder);
  }
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return failWithErrno("open", folder);
  }
  return FileDisk(std::move(folder), descriptor);
}

Expected<std::vector<std::string>> FileDisk::list()
{
  DIR* directory = ::opendir(folder_.c_str());
  if (directory == nullptr) {
    return failWithErrno("opendir", folder_);
  }
  std::vector<std::string> names;
  while (const dirent* directoryEntry = ::readdir(directory)) {
    const std::string name = directoryEntry->d_name;
    if (name != "." && name != "..") {
      names.push_back(name);
    }
  }
  ::closedir(directory);
  std::sort(names.begin(), names.end());
  return names;
}

Expected<std::string> FileDisk::read(std::string_view name)
{
  const int descriptor =
    ::openat(folderDescriptor_, std::string(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    if (errno == ENOENT) {
      return fail(ErrorKind::notFound, "file " + std::string(name) + " does not exist");
    }
    return failWithErrno("open", name);
  }
  std::string content;
  std::array<char, kReadBytes> buffer{};
  ssize_t count = 0;
  while ((count = ::read(descriptor, buffer.data(), buffer.size())) > 0) {
    content.append(buffer.data(), static_cast<std::size_t>(count));
  }
  Expected<std::string> result = std::move(content);
  if (count < 0) {
    result = failWithErrno("read", name);
  }
  ::close(descriptor);
  return result;
}

Expected<void> FileDisk::append(std::string_view name, std::string_view bytes)
{
  const auto descriptor = openForAppend(name);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  while (!bytes.empty()) {
    const ssize_t count = ::write(*descriptor, bytes.data(), bytes.size());
    if (count < 0 && errno != EINTR) {
      return failWithErrno("write", name);
    }
    bytes.remove_prefix(count < 0 ? 0 : static_cast<std::size_t>(count));
  }
  return {};
}

Expected<void> FileDisk::truncate(std::string_view name, std::uint64_t size)
{
  const auto descriptor = openForAppend(name);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  if (::ftruncate(*descriptor, static_cast<off_t>(size)) != 0) {
    return failWithErrno("truncate", name);
  }
  return {};
}

Expected<void> FileDisk::sync(std::string_view name)
{
  const auto descriptor = openForAppend(name);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  if (::fdatasync(*descriptor) != 0) {
    return failWithErrno("sync", name);
  }
  return {};
}

Expected<void> FileDisk::rename(std::string_view from, std::string_view to)
{
  closeFile(from);
  closeFile(to);
  if (::renameat(
        folderDescriptor_, std::string(from).c_str(), folderDescriptor_, std::string(to).c_str()) !=
      0) {
    return failWithErrno("rename", from);
  }
  return {};
}

Expected<void> FileDisk::remove(std::string_view name)
{
  closeFile(name);
  if (::unlinkat(folderDescriptor_, std::string(name).c_str(), 0) != 0) {
    return failWithErrno("remove", name);
  }
  return {};
}

Expected<void> FileDisk::syncFolder()
{
  if (::fsync(folderDescriptor_) != 0) {
    return failWithErrno("sync", folder_);
  }
  return {};
}

Expected<int> FileDisk::openForAppend(std::string_view name)
{
  const auto openDescriptor = descriptors_.find(name);
  if (openDescriptor != descriptors_.end()) {
    return openDescriptor->second;
  }
  const int descriptor = ::openat(folderDescriptor_,
                                  std::string(name).c_str(),
                                  O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                                  kFileMode);
  if (descriptor < 0) {
    return failWithErrno("open", name);
  }
  descriptors_.emplace(name, descriptor);
  return descriptor;
}

void FileDisk::closeFile(std::string_view name)
{
  const auto descriptor = descriptors_.find(name);
  if (descriptor != descriptors_.end()) {
    ::close(descriptor->second);
    descriptors_.erase(descriptor);
  }
}

void FileDisk::closeAll()
{
  for (const auto& [name, descriptor] : descriptors_) {
    ::close(descriptor);
  }
  descriptors_.clear();
  if (folderDescriptor_ >= 0) {
    ::close(folderDescriptor_);
  }
}

} // namespace figchute::replication
