#include "wire/Envelope.h"

#include <array>
#include <mbedtls/md.h>

namespace figchute::wire {
namespace {

constexpr std::size_t kMacBytes = 32;
using Mac = std::array<unsigned char, kMacBytes>;

const unsigned char* toBytes(std::string_view text)
{
  return reinterpret_cast<const unsigned char*>(text.data());
}

Mac computeMac(std::string_view key, std::string_view text)
{
  Mac mac{};
  const auto* digest = mbedtls_md_info_from_type(MBEDTLS_MD_SHA256);
  mbedtls_md_hmac(digest, toBytes(key), key.size(), toBytes(text), text.size(), mac.data());
  return mac;
}

/** Compares two MACs in constant time, so that timing does not reveal how many bytes match. */
bool macMatches(const Mac& expected, std::string_view received)
{
  unsigned difference = 0;
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    difference |= expected.at(i) ^ static_cast<unsigned char>(received[i]);
  }
  return difference == 0;
}

} // namespace

std::string seal(const Envelope& envelope, std::string_view key)
{
  const std::string body = encode(envelope);
  const Mac mac = computeMac(key, body);
  std::string sealed(mac.begin(), mac.end());
  sealed += body;
  return sealed;
}

Expected<Envelope> open(std::string_view bytes, std::string_view key)
{
  if (bytes.size() < kMacBytes) {
    return fail(ErrorKind::codecError, "envelope is shorter than its HMAC");
  }
  const auto body = bytes.substr(kMacBytes);
  if (!macMatches(computeMac(key, body), bytes)) {
    return fail(ErrorKind::unauthenticated, "envelope HMAC does not match the peer key");
  }
  auto envelope = decode<Envelope>(body);
  if (envelope && envelope->version != kEnvelopeVersion) {
    return fail(ErrorKind::codecError,
                "envelope version " + std::to_string(envelope->version) + " is not supported");
  }
  return envelope;
}

} // namespace figchute::wire
