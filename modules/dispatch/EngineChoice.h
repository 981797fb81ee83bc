#pragma once

#include "dispatch/Candidate.h"
#include "dispatch/LongPromptEngines.h"
#include "dispatch/Placement.h"
#include "dispatch/SubjectRates.h"
#include "dispatch/Work.h"
#include "routing/DecayedSum.h"

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
  /** Part of the running requests of all processes that are this process's, above 0. */
  double share = 1;
};

/** Chooses a model engine. Long prompts go to the engines kept for them while these are in time.
   All other requests go to the engine with the least predicted wait among the few engines at home
   for the subject of a request, then along the fallback order of the subject, then least predicted
   wait of all. Thread safety: use one instance from one thread only. */
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
      @param candidates  engines with predictions, not empty; penalties are added
      @returns an index */
  std::size_t pick(const EngineContext& context,
                   const Work& work,
                   std::span<const Fingerprint> keys,
                   std::span<Candidate> candidates);

private:
  /** Returns the cheapest engine that long prompts go to; nullopt when none is in time. */
  static std::optional<std::size_t> pickForLong(const Work& work,
                                                std::span<const Candidate> candidates);

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
  /** Returns the part of the small subjects that may have their place in the own zone. */
  [[nodiscard]] double ownZonePart(const EngineContext& context,
                                   std::span<const Candidate> candidates) const;

  SubjectRates rates_;
  /** Seconds of reading that the requests of this process cause. */
  routing::DecayedSum readings_{ std::chrono::seconds(10) };
  LongPromptEngines longPrompts_;
};

} // namespace figchute::dispatch
