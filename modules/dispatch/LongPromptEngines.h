#pragma once

#include "dispatch/Candidate.h"
#include "dispatch/RequestInfo.h"

#include <optional>
#include <span>

namespace figchute::dispatch {

/** Reserves a few engines for long prompts and keeps other requests away from them.

    While an engine prefills a prompt of several chunks, all its streams pause. Long prompts are
    rare, so a sixth of the engines can take them, and streams on the other engines are not delayed.
    All processes select the same engines without communication, by rendezvous hashing over the
    registry. No engine is reserved until this process has received a long prompt.
    Thread safety: use one instance from one thread only. */
class LongPromptEngines
{
public:
  /** Returns whether the part of a prompt that no other request shares takes long to prefill.
      @param keys  result of prefixKeys() */
  static bool isLong(const RequestInfo& requestInfo, std::span<const Fingerprint> keys);

  /** Marks the engines reserved for long prompts and adds a penalty to them for other requests.
      @param isLong  whether the current request has a long prompt */
  void markReserved(Time now, bool isLong, std::span<Candidate> candidates);

private:
  std::optional<Time> lastLongPromptAt_;
};

} // namespace figchute::dispatch
