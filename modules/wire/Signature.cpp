#include "wire/Signature.h"

#include "wire/Mac.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace figchute::wire {

std::string sign(std::string_view text, std::string_view key)
{
  return fmt::format("{:02x}", fmt::join(detail::computeMac(key, text), ""));
}

bool isSignedBy(std::string_view text, std::string_view signature, std::string_view key)
{
  return detail::equalsInConstantTime(sign(text, key), signature);
}

} // namespace figchute::wire
