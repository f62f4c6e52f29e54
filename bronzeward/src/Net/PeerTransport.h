#pragma once

#include "bronzeward/Budget"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace bronzeward {

/// \ingroup Net
/// \brief Sends and receives messages between instances by Cap'n Proto RPC, in
/// a separate thread.
class PeerTransport : public PeerPort {
public:
  using MessageHandler = std::function<void(InstanceId, PeerMessage)>;
  using LostHandler = std::function<void(InstanceId)>;

  /// \param Self name that peers see as the sender.
  /// \param OnMessage receives messages, in the transport's thread.
  /// \param OnLost called in the transport's thread when a peer is unreachable.
  PeerTransport(InstanceId Self, MessageHandler OnMessage, LostHandler OnLost);
  ~PeerTransport() override;

  /// \brief Binds and starts the thread.
  /// \returns an error that names the address if it cannot be bound.
  [[nodiscard]] Result<void> listen(const std::string &Host,
                                    std::uint16_t Port);
  void stop();

  /// \brief Sends a message; it is lost if the ring is full or the peer is
  /// unreachable.
  void send(const InstanceId &To, const PeerMessage &Message) override;
  /// \brief Sets the peers' addresses; closes connections to other instances.
  void setMembers(const std::vector<Member> &Members);

  /// \returns the number of items dropped because the thread's ring was full.
  [[nodiscard]] std::uint64_t refused() const;

private:
  class Loop;
  std::unique_ptr<Loop> Impl;
};

} // namespace bronzeward
