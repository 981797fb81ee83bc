#pragma once

#include "core/Types.h"

#include <cstdint>

namespace figchute::dispatch {

/** Tokens of one stream of which the mean time per token is one sample of an engine's speed. */
class TokenWindow
{
public:
  /** Adds tokens of the stream.
      @param sinceLast  time since the previous tokens
      @returns the mean time per token when the window is complete, else 0 */
  double add(Duration sinceLast, std::int64_t tokens);

private:
  Duration time_{};
  std::int64_t tokens_ = 0;
};

/** Learns how fast one engine decodes from the streams of this process.

    The estimate is a low quantile of the mean time per token over short windows. Windows during the
    prefill of prompts and while the engine is slowed for a moment are longer and hardly change it.
    Thread safety: use one instance from one thread only. */
class EngineSpeed
{
public:
  /** Adds a sample; 0 is ignored. */
  void add(double microsPerToken);

  /** Returns the time per token; 0 before there are enough samples. */
  [[nodiscard]] double microsPerToken() const;

private:
  double quantile_ = 0;
  std::uint32_t samples_ = 0;
};

} // namespace figchute::dispatch
