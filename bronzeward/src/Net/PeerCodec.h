#pragma once

#include "bronzeward/Budget"
#include "bronzeward/schema/Peer.capnp.h"

namespace bronzeward::internal {

/// \brief Writes a message between instances.
void write(schema::PeerMessage::Builder Out, const InstanceId &Sender,
           const PeerMessage &In);

/// \returns the message as read.
[[nodiscard]] PeerMessage read(schema::PeerMessage::Reader In);

} // namespace bronzeward::internal
