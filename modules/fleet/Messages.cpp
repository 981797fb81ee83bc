#include "fleet/Messages.h"

#include <xxhash.h>

namespace figchute::fleet {

std::uint64_t digestOf(const std::vector<EntryProcess>& entries)
{
  if (entries.empty()) {
    return 0;
  }
  const auto bytes = wire::encode(entries);
  return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace figchute::fleet
