#include "router/LinkAdmission.h"

#include "router/LinkBudget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figchute::router {
namespace {

/** A response of a route that has not been answered yet. */
constexpr double kUnknownResponseBytes = 1024;
/** A body whose length the head does not give. */
constexpr double kUnknownBodyBytes = 4096;
/** The weight of one response in the mean of its route. */
constexpr double kResponseWeight = 1.0 / 16;
/** Routes come from the configuration, which may change; the means are forgotten above this. */
constexpr std::size_t kMaxRoutes = 1000;
/** Offers of about this time count. */
constexpr Duration kOfferTime = std::chrono::seconds(1);
/** A target counts as in use for one to two of these periods. */
constexpr Duration kTargetPeriod = std::chrono::seconds(2);
/** Requests up to these sizes, in bytes that pass in one direction, are small and medium. A small
 * one takes the narrowest link of the deployments (7.5 Mbit/s) 2 ms. */
constexpr double kSmallBytes = 2048;
constexpr double kMediumBytes = 6144;

double micros(Duration duration)
{
  return static_cast<double>(duration.count());
}

/** One direction of the link. All amounts are bytes. */
struct Direction
{
  /** What may be charged. */
  double level = 0;
  /** Bytes that passed and those of them that a charge covers or that were refused. */
  double total = 0;
  double covered = 0;
  double refused = 0;
  /** Bytes that wait for the link, as far as this process has sent them or will receive them. */
  double backlog = 0;
  double pending = 0;
};

} // namespace

/** What is charged and what has passed. */
struct LinkAdmission::Ledger
{
  double linkRate = 0;
  double shareRate = 0;
  Direction received;
  Direction sent;
  std::unordered_map<std::string, double> responseBytes;

  void advance(Direction& direction, Duration elapsed, double total, double refused) const
  {
    const auto passed = total - std::exchange(direction.total, total);
    const auto refusedNow = refused - std::exchange(direction.refused, refused);
    // Covered bytes may be recorded before or after they are counted; both are settled here.
    const auto charged = passed - refusedNow - std::exchange(direction.covered, 0);
    const auto earned = shareRate * micros(elapsed);
    direction.level = std::min(direction.level + earned - charged, shareRate * micros(kBurst));
    direction.backlog = std::max(0.0, direction.backlog + passed - linkRate * micros(elapsed));
  }

  [[nodiscard]] DirectionState stateOf(const Direction& direction, bool isSent) const
  {
    // The bytes that were received have passed the link.
    const auto waiting = direction.pending + (isSent ? direction.backlog : 0);
    return { Duration(static_cast<std::int64_t>(direction.level / shareRate)),
             Duration(static_cast<std::int64_t>(waiting / linkRate)) };
  }

  [[nodiscard]] double expectedResponse(std::string_view route) const
  {
    const auto entry = responseBytes.find(std::string(route));
    return entry == responseBytes.end() ? kUnknownResponseBytes : entry->second;
  }

  void learnResponse(const std::string& route, double bytes)
  {
    if (responseBytes.size() >= kMaxRoutes) {
      responseBytes.clear();
    }
    auto& mean = responseBytes.try_emplace(route, bytes).first->second;
    mean += (bytes - mean) * kResponseWeight;
  }
};

/** The expected bytes of a request in each direction. */
struct LinkAdmission::Size
{
  double head = 0;
  double body = 0;
  double response = 0;

  [[nodiscard]] double request() const { return head + body; }
  [[nodiscard]] double total() const { return head + body + response; }
};

std::string_view toString(LinkRefusal refusal)
{
  return refusal == LinkRefusal::share ? "share" : "wait";
}

LinkAdmission::LinkAdmission(double bytesPerSecond)
  : ledger_(std::make_shared<Ledger>())
  , shortestTarget_(Duration::max())
  , previousShortestTarget_(Duration::max())
{
  ledger_->linkRate = bytesPerSecond / 1e6;
  ledger_->shareRate = ledger_->linkRate * LinkBudget::kMaxUtilisation;
}

LinkAdmission::~LinkAdmission() = default;

void LinkAdmission::update(Time now, const http::Traffic& total, const http::Traffic& refused)
{
  const auto elapsed = now - std::exchange(updatedAt_, now);
  auto& ledger = *ledger_;
  ledger.advance(ledger.received,
                 elapsed,
                 static_cast<double>(total.receivedBytes),
                 static_cast<double>(refused.receivedBytes));
  ledger.advance(ledger.sent,
                 elapsed,
                 static_cast<double>(total.sentBytes),
                 static_cast<double>(refused.sentBytes));
  decayOffers(elapsed);
}

LinkAdmission::Decision LinkAdmission::decide(Time now, const LinkRequest& request)
{
  const auto size = sizeOf(request);
  const auto bytes = size.total();
  const auto sizeClass = sizeClassOf(bytes);
  const auto rank = std::clamp<std::size_t>(static_cast<std::size_t>(request.rank), 0, kRanks - 1);
  offers_[rank][sizeClass] += bytes / micros(kOfferTime);
  noteTarget(now, request.target);
  if (exceedsWait(request, sizeClass)) {
    return { nullptr, LinkRefusal::wait };
  }
  auto& ledger = *ledger_;
  const auto burst = ledger.shareRate * micros(kBurst);
  // A request larger than the burst is admitted when the bucket is full.
  const auto required = std::min(requiredLevel(request, sizeClass) + bytes, 0.95 * burst);
  // The bytes that were received are charged as those of no request until they are attributed.
  const auto receivedLevel = ledger.received.level + static_cast<double>(request.receivedBytes);
  if (std::min(receivedLevel, ledger.sent.level) < required) {
    return { nullptr, LinkRefusal::share };
  }
  ledger.received.level -= bytes;
  ledger.sent.level -= bytes;
  return { std::make_unique<Charge>(ledger_, std::string(request.route), size) };
}

LinkAdmission::Size LinkAdmission::sizeOf(const LinkRequest& request) const
{
  const auto body = request.bodyBytes ? static_cast<double>(*request.bodyBytes) : kUnknownBodyBytes;
  return { static_cast<double>(request.headBytes), body, ledger_->expectedResponse(request.route) };
}

std::size_t LinkAdmission::sizeClassOf(double bytes)
{
  return bytes <= kSmallBytes ? 0 : bytes <= kMediumBytes ? 1 : 2;
}

void LinkAdmission::decayOffers(Duration elapsed)
{
  const auto factor = std::exp(-micros(elapsed) / micros(kOfferTime));
  for (auto& sizes : offers_) {
    for (auto& offer : sizes) {
      offer *= factor;
    }
  }
}

void LinkAdmission::noteTarget(Time now, Duration target)
{
  if (now - targetPeriodStart_ >= kTargetPeriod) {
    targetPeriodStart_ = now;
    previousShortestTarget_ = std::exchange(shortestTarget_, Duration::max());
  }
  shortestTarget_ = std::min(shortestTarget_, target);
}

Duration LinkAdmission::shortestTarget() const
{
  return std::min(shortestTarget_, previousShortestTarget_);
}

double LinkAdmission::requiredLevel(const LinkRequest& request, std::size_t sizeClass) const
{
  const auto rank = std::clamp<std::size_t>(static_cast<std::size_t>(request.rank), 0, kRanks - 1);
  double precedingRate = 0;
  for (std::size_t i = 0; i <= rank; ++i) {
    const auto sizes = i < rank ? kSizes : sizeClass;
    for (std::size_t j = 0; j < sizes; ++j) {
      precedingRate += offers_[i][j];
    }
  }
  const auto share = ledger_->shareRate;
  const auto reserve = std::min(precedingRate * micros(kReserveTime) - share * micros(kUrgentDebt),
                                share * micros(kMaxReserve));
  return reserve + (request.servedBefore ? 0 : share * micros(kNewConnectionReserve));
}

bool LinkAdmission::exceedsWait(const LinkRequest& request, std::size_t sizeClass) const
{
  const auto wait = std::max(received().wait, sent().wait);
  auto limit = request.target / kOwnWaitDivisor;
  if (sizeClass > 0) {
    limit = std::min(limit, shortestTarget() / kSharedWaitDivisor);
  }
  return wait > limit;
}

LinkAdmission::DirectionState LinkAdmission::received() const
{
  return ledger_->stateOf(ledger_->received, false);
}

LinkAdmission::DirectionState LinkAdmission::sent() const
{
  return ledger_->stateOf(ledger_->sent, true);
}

LinkAdmission::Charge::Charge(std::shared_ptr<Ledger> ledger, std::string route, const Size& size)
  : ledger_(std::move(ledger))
  , route_(std::move(route))
  , expectedBytes_(size.total())
  , unreceivedBytes_(size.request())
  , unforwardedBytes_(size.request())
{
  ledger_->received.pending += unreceivedBytes_;
  ledger_->sent.pending += unforwardedBytes_;
}

LinkAdmission::Charge::~Charge()
{
  ledger_->received.pending -= unreceivedBytes_;
  releaseForward();
  ledger_->received.level += expectedBytes_ - receivedBytes_;
  ledger_->sent.level += expectedBytes_ - sentBytes_;
  if (responseBytes_ > 0) {
    ledger_->learnResponse(route_, responseBytes_);
  }
}

void LinkAdmission::Charge::received(std::size_t bytes)
{
  const auto amount = static_cast<double>(bytes);
  receivedBytes_ += amount;
  ledger_->received.covered += amount;
  const auto arrived = std::min(amount, unreceivedBytes_);
  unreceivedBytes_ -= arrived;
  ledger_->received.pending -= arrived;
  if (unreceivedBytes_ <= 0) {
    // A complete request is usually forwarded at once. One that waits, for example for a grant of
    // its budget, must not count as traffic that waits for the link.
    releaseForward();
  }
}

void LinkAdmission::Charge::releaseForward()
{
  ledger_->sent.pending -= std::exchange(unforwardedBytes_, 0);
}

void LinkAdmission::Charge::forwarded(std::size_t bytes)
{
  const auto amount = static_cast<double>(bytes);
  sentBytes_ += amount;
  ledger_->sent.covered += amount;
  releaseForward();
}

void LinkAdmission::Charge::answered(std::size_t bytes)
{
  const auto amount = static_cast<double>(bytes);
  responseBytes_ += amount;
  receivedBytes_ += amount;
  sentBytes_ += amount;
  ledger_->received.covered += amount;
  ledger_->sent.covered += amount;
}

} // namespace figchute::router
