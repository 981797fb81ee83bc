#include "wire/Mac.h"

#include <mbedtls/md.h>

namespace figchute::wire::detail {
namespace {

const unsigned char* toBytes(std::string_view text)
{
  return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

Mac computeMac(std::string_view key, std::string_view text)
{
  Mac mac{};
  const auto* digest = mbedtls_md_info_from_type(MBEDTLS_MD_SHA256);
  mbedtls_md_hmac(digest, toBytes(key), key.size(), toBytes(text), text.size(), mac.data());
  return mac;
}

bool equalsInConstantTime(std::string_view expected, std::string_view received)
{
  if (expected.size() != received.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < expected.size(); ++i) {
    difference |= static_cast<unsigned char>(expected[i]) ^ static_cast<unsigned char>(received[i]);
  }
  return difference == 0;
}

} // namespace figchute::wire::detail
