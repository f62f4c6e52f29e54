#pragma once

#include "bronzeward/Budget"
#include "bronzeward/schema/Peer.capnp.h"

namespace bronzeward::internal {

/// \brief Writes a message between instances to its wire format.
void write(schema::PeerMessage::Builder Out, const InstanceId &Sender,
           const PeerMessage &In);

/// \returns the message read from its wire format.
[[nodiscard]] PeerMessage read(schema::PeerMessage::Reader In);

} // namespace bronzeward::internal
