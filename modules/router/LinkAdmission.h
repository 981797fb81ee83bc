#pragma once

#include "core/core.h"
#include "http/Traffic.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace figchute::router {

/** What is known of a request when its head has been received. */
struct LinkRequest
{
  /** Name of the route, for which the size of the responses is learned. */
  std::string_view route;
  /** 0 to 9; 0 is the most urgent. */
  int rank = 0;
  /** Time to the response that counts as on time; must be positive. */
  Duration target{ 0 };
  std::uint64_t headBytes = 0;
  /** Nothing if the length of the body is not known. */
  std::optional<std::uint64_t> bodyBytes;
  /** The bytes of the request that have been received; update() has counted them. */
  std::uint64_t receivedBytes = 0;
  /** An earlier request of the same connection was served. */
  bool servedBefore = false;
};

/** Why a request is not admitted. */
enum class LinkRefusal
{
  /** The share of the link is needed for more urgent or smaller requests. */
  share,
  /** The bytes that wait for the link would delay the request, or urgent ones after it, too long.
   */
  wait,
};

/** Returns "share" or "wait". Thread safety: safe from any thread. */
std::string_view toString(LinkRefusal refusal);

/** Decides whether a request is admitted to the network link of a VM, by its rank, its size and the
    state of the link.

    Each direction has a token bucket that is filled with LinkBudget::kMaxUtilisation of the
    bandwidth. An admitted request is charged its expected bytes at once, so that requests admitted
    at the same moment do not exceed the link together. Its bytes are not charged again when they
    pass, and the difference to the expectation is settled when it ends. Bytes that belong to no
    request are charged as they pass. Bytes of refused requests are not charged: what they cost
    cannot be saved any more by refusing others.

    The level that a request needs grows with the bytes that more urgent and smaller requests bring.
    Thread safety: use one instance from one thread only. */
class LinkAdmission
{
public:
  /** Traffic of this time may exceed the share at once, as in LinkBudget. */
  static constexpr Duration kBurst = std::chrono::milliseconds(200);
  /** The most urgent requests may overdraw the share by traffic of this time. */
  static constexpr Duration kUrgentDebt = std::chrono::milliseconds(100);
  /** The level is kept for what more urgent requests bring in this time. */
  static constexpr Duration kReserveTime = std::chrono::milliseconds(200);
  /** The largest such reserve, so that every request is admitted to an idle link. */
  static constexpr Duration kMaxReserve = std::chrono::milliseconds(120);
  /** The additional reserve against requests on new connections, whose callers have not settled at
      this VM. */
  static constexpr Duration kNewConnectionReserve = std::chrono::milliseconds(30);
  /** A request is refused if it would wait for the link longer than its target divided by this. */
  static constexpr int kOwnWaitDivisor = 3;
  /** A request that is not small is refused if the wait exceeds the shortest target in use divided
      by this, because the urgent requests after it would wait as long. */
  static constexpr int kSharedWaitDivisor = 5;

  /** The bytes that one admitted request has been charged. It settles the difference to what passed
      when it is destroyed; it may outlive the LinkAdmission. */
  class Charge;

  /** The result of a decision. */
  struct Decision
  {
    /** Null if the request is refused. */
    std::unique_ptr<Charge> charge;
    LinkRefusal refusal = LinkRefusal::share;
  };

  /** The state of one direction of the link. */
  struct DirectionState
  {
    /** What may be charged now, as time at the share of the link; negative after too much. */
    Duration level{ 0 };
    /** The time that the link needs for the bytes that wait for it. */
    Duration wait{ 0 };
  };

  /** @param bytesPerSecond  the bandwidth of the link in each direction; must be positive */
  explicit LinkAdmission(double bytesPerSecond);
  ~LinkAdmission();
  LinkAdmission(const LinkAdmission&) = delete;
  LinkAdmission& operator=(const LinkAdmission&) = delete;

  /** Adds the traffic since the last call.
      @param total    the bytes since the start of the process
      @param refused  the part of them that belongs to refused requests */
  void update(Time now, const http::Traffic& total, const http::Traffic& refused);

  /** Decides on a request. Precondition: update() was called with the same time. */
  Decision decide(Time now, const LinkRequest& request);

  /** Returns the state of the direction to this VM. */
  [[nodiscard]] DirectionState received() const;

  /** Returns the state of the direction from this VM. */
  [[nodiscard]] DirectionState sent() const;

private:
  struct Ledger;
  struct Size;
  static constexpr std::size_t kRanks = 10;
  static constexpr std::size_t kSizes = 3;

  [[nodiscard]] Size sizeOf(const LinkRequest& request) const;
  [[nodiscard]] static std::size_t sizeClassOf(double bytes);
  void decayOffers(Duration elapsed);
  void noteTarget(Time now, Duration target);
  [[nodiscard]] Duration shortestTarget() const;
  [[nodiscard]] double requiredLevel(const LinkRequest& request, std::size_t sizeClass) const;
  [[nodiscard]] bool exceedsWait(const LinkRequest& request, std::size_t sizeClass) const;

  /** Shared with the charges, which may outlive this object. */
  std::shared_ptr<Ledger> ledger_;
  /** Bytes per microsecond that were offered recently, by rank and size. */
  std::array<std::array<double, kSizes>, kRanks> offers_{};
  /** The shortest targets of the current and the previous period. */
  Duration shortestTarget_;
  Duration previousShortestTarget_;
  Time targetPeriodStart_;
  Time updatedAt_;
};

class LinkAdmission::Charge
{
public:
  Charge(std::shared_ptr<Ledger> ledger, std::string route, const Size& size);
  ~Charge();
  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;

  /** Records bytes of the request that were read from the caller. */
  void received(std::size_t bytes);
  /** Records bytes of the request that were sent to an endpoint. */
  void forwarded(std::size_t bytes);
  /** Records bytes of the response. */
  void answered(std::size_t bytes);

private:
  void releaseForward();

  std::shared_ptr<Ledger> ledger_;
  std::string route_;
  double expectedBytes_;
  double unreceivedBytes_;
  double unforwardedBytes_;
  double receivedBytes_ = 0;
  double sentBytes_ = 0;
  double responseBytes_ = 0;
};

} // namespace figchute::router
