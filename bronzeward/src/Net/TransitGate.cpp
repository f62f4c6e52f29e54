#include "bronzeward/src/Net/TransitGate.h"

#include <boost/asio/post.hpp>

namespace bronzeward {

std::shared_ptr<void> TransitGate::admit(std::size_t Bytes) {
  InTransit += Bytes;
  return {this,
          [Gate = shared_from_this(), Bytes](void *) { Gate->release(Bytes); }};
}

void TransitGate::release(std::size_t Bytes) {
  const std::size_t Before = InTransit.fetch_sub(Bytes);
  // A reader that found the gate closed registers before this function runs in
  // the reader's loop.
  if (Before >= Limit && Before - Bytes < Limit)
    boost::asio::post(Io, [Gate = shared_from_this()] { Gate->resume(); });
}

void TransitGate::resume() {
  std::vector<std::function<void()>> Due;
  Due.swap(Waiting);
  for (const std::function<void()> &Resume : Due)
    Resume();
}

} // namespace bronzeward
