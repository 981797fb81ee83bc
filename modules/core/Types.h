#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

namespace figchute {

/** A span of time in microseconds. */
using Duration = std::chrono::microseconds;

/** Returns a duration in seconds. */
constexpr double toSeconds(Duration duration)
{
  return static_cast<double>(duration.count()) / 1e6;
}

/** Returns the whole milliseconds of a duration. */
constexpr std::int64_t toMillis(Duration duration)
{
  return duration.count() / 1000;
}

/** A point in time, in microseconds since the Unix epoch. The core classes receive it as a
    parameter and never read a clock. */
struct Time
{
  std::int64_t micros = 0;

  auto operator<=>(const Time&) const = default;
};

/** Returns the time @p duration after @p time. */
constexpr Time operator+(Time time, Duration duration)
{
  return Time{ time.micros + duration.count() };
}

/** Returns the time @p duration before @p time. */
constexpr Time operator-(Time time, Duration duration)
{
  return Time{ time.micros - duration.count() };
}

/** Returns the duration from @p earlier to @p later; negative if @p later is the earlier one. */
constexpr Duration operator-(Time later, Time earlier)
{
  return Duration(later.micros - earlier.micros);
}

/** An amount of tokens: the unit of budgets, reservations and charges. */
struct Tokens
{
  std::int64_t count = 0;

  auto operator<=>(const Tokens&) const = default;
  constexpr Tokens& operator+=(Tokens other)
  {
    count += other.count;
    return *this;
  }
  constexpr Tokens& operator-=(Tokens other)
  {
    count -= other.count;
    return *this;
  }
};

/** Returns the sum of two amounts. */
constexpr Tokens operator+(Tokens a, Tokens b)
{
  return Tokens{ a.count + b.count };
}

/** Returns the difference of two amounts. */
constexpr Tokens operator-(Tokens a, Tokens b)
{
  return Tokens{ a.count - b.count };
}

/** A string identifier; identifiers with different tags are distinct types and do not convert to
    each other.
    @tparam Tag  an empty struct that makes the type distinct */
template<typename Tag>
struct StrongString
{
  std::string value;

  StrongString() = default;
  explicit StrongString(std::string text)
    : value(std::move(text))
  {
  }
  explicit StrongString(std::string_view text)
    : value(text)
  {
  }
  explicit StrongString(const char* text)
    : value(text)
  {
  }

  [[nodiscard]] bool empty() const { return value.empty(); }
  [[nodiscard]] std::string_view view() const { return value; }
  auto operator<=>(const StrongString&) const = default;
};

struct ProcessTag;
struct ZoneTag;
struct TeamTag;
struct WorkspaceTag;
struct CallerTag;
struct BudgetTag;
struct EndpointTag;
struct ModelTag;
struct ServiceTag;
struct RequestTag;
struct ChangeTag;

/** Identifies a process of the system, as given in its settings. */
using ProcessId = StrongString<ProcessTag>;
/** Identifies an availability zone. */
using ZoneId = StrongString<ZoneTag>;
/** Identifies a service team, the owner of one document. */
using TeamId = StrongString<TeamTag>;
/** Identifies a workspace: "TEAM/WORKSPACE". */
using WorkspaceId = StrongString<WorkspaceTag>;
/** Identifies a caller of a workspace: "TEAM/CALLER". */
using CallerId = StrongString<CallerTag>;
/** Identifies a prepaid budget: "w:" and a workspace, or "c:" and a caller. */
using BudgetId = StrongString<BudgetTag>;
/** Identifies an endpoint by the id in its announcement. */
using EndpointId = StrongString<EndpointTag>;
/** The name of a model. */
using ModelName = StrongString<ModelTag>;
/** The name of a plain service. */
using ServiceName = StrongString<ServiceTag>;
/** Identifies one request on every hop. */
using RequestId = StrongString<RequestTag>;
/** Identifies one change by an operator; repeating an id returns the outcome of its first use. */
using ChangeId = StrongString<ChangeTag>;

/** The start number of a process; a later start has a larger number. */
struct Incarnation
{
  std::uint64_t number = 0;

  auto operator<=>(const Incarnation&) const = default;
};

/** Identifies one start of a process as a holder of grants. */
struct HolderId
{
  ProcessId process;
  Incarnation incarnation;

  auto operator<=>(const HolderId&) const = default;
};

/** The ranks (priority classes) of requests, most urgent first. */
enum class Rank : std::uint8_t
{
  urgent = 0,
  prompt = 1,
  batch = 2,
};

/** Number of ranks. */
constexpr std::size_t kRankCount = 3;

/** Returns the name used in documents: "urgent", "prompt" or "batch". */
constexpr std::string_view toString(Rank rank)
{
  switch (rank) {
    case Rank::urgent:
      return "urgent";
    case Rank::prompt:
      return "prompt";
    case Rank::batch:
      break;
  }
  return "batch";
}

} // namespace figchute

namespace std {

template<typename Tag>
struct hash<figchute::StrongString<Tag>>
{
  size_t operator()(const figchute::StrongString<Tag>& name) const noexcept
  {
    return hash<string>{}(name.value);
  }
};

} // namespace std
