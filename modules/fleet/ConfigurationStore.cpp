#include "fleet/ConfigurationStore.h"

#include <algorithm>

namespace figchute::fleet {

bool ConfigurationStore::put(std::uint64_t version, const std::string& bytes)
{
  if (version <= version_) {
    return false;
  }
  keepPreviousVersion();
  version_ = version;
  bytes_ = std::make_shared<const std::string>(bytes);
  return true;
}

void ConfigurationStore::keepPreviousVersion()
{
  if (version_ == 0) {
    return;
  }
  previousVersions_.push_back({ version_, bytes_ });
  previousBytes_ += bytes_->size();
  while (previousVersions_.size() > kMaxPreviousVersions || previousBytes_ > kMaxPreviousBytes) {
    previousBytes_ -= previousVersions_.front().bytes->size();
    previousVersions_.pop_front();
  }
}

std::shared_ptr<const std::string> ConfigurationStore::previousBytes(std::uint64_t version) const
{
  const auto previous =
    std::find_if(previousVersions_.begin(),
                 previousVersions_.end(),
                 [version](const PreviousVersion& item) { return item.version == version; });
  return previous == previousVersions_.end() ? nullptr : previous->bytes;
}

void ConfigurationStore::msgpack_unpack(const msgpack::object& object)
{
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
    throw msgpack::type_error();
  }
  version_ = object.via.array.ptr[0].as<std::uint64_t>();
  bytes_ = std::make_shared<const std::string>(object.via.array.ptr[1].as<std::string>());
}

} // namespace figchute::fleet
