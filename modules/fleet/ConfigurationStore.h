#pragma once

#include "wire/Codec.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace figchute::fleet {

/** The configuration in force, as part of the replicated state.
    Thread safety: use one instance from one thread only; the bytes may be read from any thread. */
class ConfigurationStore
{
public:
  /** The limits of the previous versions that are kept. */
  static constexpr std::size_t kMaxPreviousVersions = 16;
  static constexpr std::size_t kMaxPreviousBytes = 4U * 1024 * 1024;

  /** Stores a configuration if its version is higher than the stored one.
      @returns whether it was stored */
  bool put(std::uint64_t version, const std::string& bytes);

  /** Returns the version in force; 0 if there is none. */
  [[nodiscard]] std::uint64_t version() const { return version_; }

  /** Returns the bytes as sent by the operator; never null. */
  [[nodiscard]] const std::shared_ptr<const std::string>& bytes() const { return bytes_; }

  /** Returns the bytes of a recent previous version, or null. Previous versions are not part of a
      snapshot. */
  [[nodiscard]] std::shared_ptr<const std::string> previousBytes(std::uint64_t version) const;

  template<typename Packer>
  void msgpack_pack(Packer& packer) const
  {
    packer.pack_array(2);
    packer.pack(version_);
    packer.pack(*bytes_);
  }

  void msgpack_unpack(const msgpack::object& object);

private:
  struct PreviousVersion
  {
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> bytes;
  };

  void keepPreviousVersion();

  std::uint64_t version_ = 0;
  std::shared_ptr<const std::string> bytes_ = std::make_shared<const std::string>();
  /** The oldest first. */
  std::deque<PreviousVersion> previousVersions_;
  std::size_t previousBytes_ = 0;
};

} // namespace figchute::fleet
