#include "core/Fingerprint.h"

#include <xxhash.h>

namespace figchute {

Fingerprint fingerprintOf(std::string_view text, Fingerprint seed)
{
  return XXH64(text.data(), text.size(), seed);
}

} // namespace figchute
