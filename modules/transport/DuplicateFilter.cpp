#include "transport/DuplicateFilter.h"

namespace figchute::transport {

bool DuplicateFilter::accept(Incarnation incarnation, std::uint64_t sequence)
{
  if (incarnation < incarnation_) {
    return false;
  }
  if (incarnation > incarnation_) {
    incarnation_ = incarnation;
    highest_ = 0;
    seen_.reset();
  }
  if (sequence + kWindow <= highest_) {
    return false;
  }
  forgetUpTo(sequence);
  const std::size_t slot = sequence % kWindow;
  if (seen_.test(slot)) {
    return false;
  }
  seen_.set(slot);
  return true;
}

void DuplicateFilter::forgetUpTo(std::uint64_t sequence)
{
  if (sequence >= highest_ + kWindow) {
    seen_.reset();
    highest_ = sequence;
    return;
  }
  while (highest_ < sequence) {
    ++highest_;
    seen_.reset(highest_ % kWindow);
  }
}

} // namespace figchute::transport
