#include "wire/Envelope.h"

#include "wire/Mac.h"

namespace figchute::wire {

std::string seal(const Envelope& envelope, std::string_view key)
{
  const std::string body = encode(envelope);
  const auto mac = detail::computeMac(key, body);
  std::string sealed(mac.begin(), mac.end());
  sealed += body;
  return sealed;
}

Expected<Envelope> open(std::string_view bytes, std::string_view key)
{
  if (bytes.size() < detail::kMacBytes) {
    return fail(ErrorKind::codecError, "envelope is shorter than its HMAC");
  }
  const auto body = bytes.substr(detail::kMacBytes);
  const auto mac = detail::computeMac(key, body);
  const std::string_view expected(reinterpret_cast<const char*>(mac.data()), mac.size());
  if (!detail::equalsInConstantTime(expected, bytes.substr(0, detail::kMacBytes))) {
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
