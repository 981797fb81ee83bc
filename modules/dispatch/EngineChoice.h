#pragma once

#include "dispatch/Candidate.h"
#include "dispatch/Placement.h"
#include "dispatch/SubjectRates.h"
#include "dispatch/Work.h"

#include <cstddef>
#include <optional>
#include <span>

namespace figchute::dispatch {

/** What a choice among engines depends on besides the request. */
struct EngineContext
{
  Time now;
  std::int64_t kvCapacity = 0;
  /** Mean time that a request keeps its slot. */
  Duration serviceTime{};
  std::size_t processes = 1;
};

/** Chooses a model engine: least predicted wait among the few engines at home for the subject of a
    request, then along the fallback order of the subject, then least predicted wait of all.
    Thread safety: use one instance from one thread only. */
class EngineChoice
{
public:
  explicit EngineChoice(ZoneId zone)
    : zone_(std::move(zone))
  {
  }

  /** Fills in what is predicted of an engine. */
  static void predict(const EngineContext& context,
                      const Work& work,
                      std::span<const Fingerprint> keys,
                      Candidate& candidate);

  /** Chooses one of the engines and counts the request for its subject.
      @param keys        from prefixKeys()
      @param candidates  engines with predictions, not empty
      @returns an index */
  std::size_t pick(const EngineContext& context,
                   const Work& work,
                   std::span<const Fingerprint> keys,
                   std::span<const Candidate> candidates);

private:
  std::optional<std::size_t> pickForSubject(const EngineContext& context,
                                            const Work& work,
                                            const Subject& subject,
                                            std::span<const Candidate> candidates);

  /** Returns the cheapest engine along the order of a subject whose homes have no room; nullopt
     when none is in time. */
  static std::optional<std::size_t> fallBack(const Work& work,
                                             const Subject& subject,
                                             std::span<const Candidate> candidates,
                                             std::span<const std::size_t> order,
                                             std::size_t homes);

  ZoneId zone_;
  SubjectRates rates_;
};

} // namespace figchute::dispatch
