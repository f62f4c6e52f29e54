#include "tools/PeerNotice.h"

#include <thread>

namespace bronzeward::tools {

/// Instances told directly; the others learn from these.
constexpr std::size_t MaxTold = 64;
/// Time for the deliveries.
constexpr std::chrono::milliseconds DeliveryTime{300};

PeerNotice::PeerNotice(ControlStore &Store) {
  for (const StoreEntry &Entry : Store.list(InstancePrefix)) {
    Result<Member> Item = parseMember(Entry);
    if (Item && Members.size() < MaxTold)
      Members.push_back(std::move(Item).value());
  }
}

void PeerNotice::send(ConfigurationVersion Version,
                      const std::string &Text) const {
  if (Members.empty())
    return;
  PeerTransport Transport(
      InstanceId{"bronzewardctl"},
      [](const InstanceId &, const PeerMessage &) {},
      [](const InstanceId &) {});
  // The port is of no use but to the transport, which listens always.
  const Result<void> Listening = Transport.listen("127.0.0.1", 0);
  if (!Listening)
    return;
  Transport.setMembers(Members);
  for (const Member &Item : Members)
    Transport.send(Item.Identity.Instance,
                   ConfigurationText{Version, packText(Text)});
  std::this_thread::sleep_for(DeliveryTime);
  Transport.stop();
}

} // namespace bronzeward::tools
