#pragma once

#include "wire/Codec.h"

#include <cstdint>
#include <memory>
#include <string>

namespace figchute::fleet {

/** The configuration in force, as part of the replicated state.
    Thread safety: use one instance from one thread only; the bytes may be read from any thread. */
class ConfigurationStore
{
public:
  /** Stores a configuration if its version is higher than the stored one.
      @returns whether it was stored */
  bool put(std::uint64_t version, const std::string& bytes);

  /** Returns the version in force; 0 if there is none. */
  [[nodiscard]] std::uint64_t version() const { return version_; }

  /** Returns the bytes as sent by the operator; never null. */
  [[nodiscard]] const std::shared_ptr<const std::string>& bytes() const { return bytes_; }

  template<typename Packer>
  void msgpack_pack(Packer& packer) const
  {
    packer.pack_array(2);
    packer.pack(version_);
    packer.pack(*bytes_);
  }

  void msgpack_unpack(const msgpack::object& object);

private:
  std::uint64_t version_ = 0;
  std::shared_ptr<const std::string> bytes_ = std::make_shared<const std::string>();
};

} // namespace figchute::fleet
