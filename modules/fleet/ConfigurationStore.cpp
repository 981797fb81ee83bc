#include "fleet/ConfigurationStore.h"

namespace figchute::fleet {

bool ConfigurationStore::put(std::uint64_t version, const std::string& bytes)
{
  if (version <= version_) {
    return false;
  }
  version_ = version;
  bytes_ = std::make_shared<const std::string>(bytes);
  return true;
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
