#include "dispatch/RequestSizes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figchute::dispatch {
namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
constexpr double kBucketsPerDoubling = 2;

template<std::size_t... Indexes>
std::array<routing::DecayedSum, sizeof...(Indexes)> makeSums(std::index_sequence<Indexes...>)
{
  return { ((void)Indexes, routing::DecayedSum(kWindow))... };
}

} // namespace

RequestSizes::RequestSizes()
  : requests_(makeSums(std::make_index_sequence<kBuckets>()))
{
}

void RequestSizes::add(Time now, std::int64_t promptTokens)
{
  requests_.at(bucketOf(promptTokens)).add(now, 1);
}

std::int64_t RequestSizes::sizeExceededAt(Time now, double requestsPerSecond) const
{
  double rate = 0;
  for (std::size_t bucket = kBuckets; bucket-- > 0;) {
    rate += requests_.at(bucket).perSecond(now);
    if (rate > requestsPerSecond) {
      const auto doublings = static_cast<double>(bucket) / kBucketsPerDoubling;
      return static_cast<std::int64_t>(std::exp2(doublings));
    }
  }
  return 0;
}

std::size_t RequestSizes::bucketOf(std::int64_t promptTokens)
{
  const auto tokens = static_cast<double>(std::max<std::int64_t>(promptTokens, 1));
  const auto bucket = static_cast<std::size_t>(kBucketsPerDoubling * std::log2(tokens));
  return std::min(bucket, kBuckets - 1);
}

} // namespace figchute::dispatch
