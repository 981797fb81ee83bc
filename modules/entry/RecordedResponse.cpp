#include "entry/RecordedResponse.h"

#include "ledger/ledger.h"

namespace figchute::entry {
namespace {

constexpr std::string_view kDefaultType = "application/octet-stream";
constexpr std::string_view kTruncatedParameter = "; truncated=true";

} // namespace

std::string RecordedResponse::encode(const PlainExchange& exchange)
{
  std::string type(kDefaultType);
  if (!exchange.headers().empty()) {
    type = exchange.headers().front().value;
  }
  const auto maxBodySize = ledger::kMaxOutcomeBody - type.size() - kTruncatedParameter.size() - 1;
  if (exchange.body().size() > maxBodySize) {
    type += kTruncatedParameter;
  }
  return type + "\n" + exchange.body().substr(0, maxBodySize);
}

RecordedResponse RecordedResponse::decode(std::string_view recorded)
{
  const auto lineEnd = recorded.find('\n');
  if (lineEnd == std::string_view::npos) {
    return { std::string(kDefaultType), std::string(recorded) };
  }
  const auto type = recorded.substr(0, lineEnd);
  return { std::string(type),
           std::string(recorded.substr(lineEnd + 1)),
           type.ends_with(kTruncatedParameter) };
}

} // namespace figchute::entry
