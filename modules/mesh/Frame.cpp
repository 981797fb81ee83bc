#include "mesh/Frame.h"

namespace figchute::mesh::detail {

void appendLength(std::string& output, std::size_t length)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    output.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
  }
}

std::size_t readLength(std::string_view bytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    length = length << 8U | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

} // namespace figchute::mesh::detail
