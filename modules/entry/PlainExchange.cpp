#include "entry/PlainExchange.h"

#include <strings.h>

namespace figchute::entry {

void PlainExchange::restart()
{
  status_ = 0;
  headers_.clear();
  body_.clear();
}

void PlainExchange::setHead(const gateway::UpstreamHead& head)
{
  status_ = head.status;
  for (const auto& header : head.headers) {
    if (strcasecmp(header.name.c_str(), "content-type") == 0) {
      headers_.push_back({ "Content-Type", header.value });
    }
  }
}

Expected<void> PlainExchange::appendBody(std::string_view bytes)
{
  if (body_.size() + bytes.size() > kMaxBodyBytes) {
    return fail(ErrorKind::endpointFailed, "the answer of the service is larger than 8 MiB");
  }
  body_ += bytes;
  return {};
}

} // namespace figchute::entry
