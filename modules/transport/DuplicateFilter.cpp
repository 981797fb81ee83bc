#include "transport/DuplicateFilter.h"

namespace figchute::transport {

bool DuplicateFilter::accept(Incarnation incarnation, std::uint64_t sequence)
{
  if (incarnation < incarnation_) {
    return false;
  }
  if (incarnation > incarnation_) {
    incarnation_ = incarnation;
    highestSequence_ = 0;
    receivedSequences_.reset();
  }
  if (sequence + kWindowSize <= highestSequence_) {
    return false;
  }
  advanceWindowTo(sequence);
  const std::size_t bitIndex = sequence % kWindowSize;
  if (receivedSequences_.test(bitIndex)) {
    return false;
  }
  receivedSequences_.set(bitIndex);
  return true;
}

void DuplicateFilter::advanceWindowTo(std::uint64_t sequence)
{
  if (sequence >= highestSequence_ + kWindowSize) {
    receivedSequences_.reset();
    highestSequence_ = sequence;
    return;
  }
  while (highestSequence_ < sequence) {
    ++highestSequence_;
    receivedSequences_.reset(highestSequence_ % kWindowSize);
  }
}

} // namespace figchute::transport
