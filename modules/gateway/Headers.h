#pragma once

#include <string>
#include <vector>

namespace figchute::gateway {

/** One HTTP header field. */
struct Header
{
  std::string name;
  std::string value;
};

/** The header fields of an HTTP message, in the order sent. */
using Headers = std::vector<Header>;

} // namespace figchute::gateway
