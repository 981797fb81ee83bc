#pragma once

#include "dispatch/Candidate.h"
#include "dispatch/Work.h"

#include <optional>
#include <span>

namespace figchute::dispatch {

/** Sends long prompts to a few engines and keeps other requests away from these.

    While an engine reads a prompt of several chunks, all its streams pause. Long prompts are rare,
   so a sixth of the engines can take them, and the streams of the others do not wait for them. All
    processes choose the same engines without messages, by rendezvous hashing over the registry. No
    engine is kept free before this process has seen a long prompt.
    Thread safety: use one instance from one thread only. */
class LongPromptEngines
{
public:
  /** Returns whether the part of a prompt that no other request has takes long to read.
      @param keys  from prefixKeys() */
  static bool isLong(const Work& work, std::span<const Fingerprint> keys);

  /** Marks the engines that long prompts go to, and adds a penalty to them for other requests.
      @param isLong  whether the request at hand is long */
  void mark(Time now, bool isLong, std::span<Candidate> candidates);

private:
  std::optional<Time> seenAt_;
};

} // namespace figchute::dispatch
