#pragma once

#include "core/Error.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::replication {

/** A data folder without subfolders; file names have no path. Every operation returns
    storage_failed on an I/O error, and read() returns not_found when the file does not exist.
    Appended bytes survive a crash only after sync(), and created, renamed and removed names only
    after syncFolder(). */
template<typename D>
concept Disk = requires(D disk, std::string_view name, std::string_view bytes, std::uint64_t size)
{
  {
    disk.list()
    } -> std::same_as<Expected<std::vector<std::string>>>;
  {
    disk.read(name)
    } -> std::same_as<Expected<std::string>>;
  {
    disk.append(name, bytes)
    } -> std::same_as<Expected<void>>;
  {
    disk.truncate(name, size)
    } -> std::same_as<Expected<void>>;
  {
    disk.sync(name)
    } -> std::same_as<Expected<void>>;
  {
    disk.rename(name, name)
    } -> std::same_as<Expected<void>>;
  {
    disk.remove(name)
    } -> std::same_as<Expected<void>>;
  {
    disk.syncFolder()
    } -> std::same_as<Expected<void>>;
};

} // namespace figchute::replication
