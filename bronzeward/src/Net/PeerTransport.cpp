#include "bronzeward/src/Net/PeerTransport.h"

#include "bronzeward/src/Net/LoopGuard.h"
#include "bronzeward/src/Net/PeerCodec.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>
#include <variant>

namespace bronzeward {

/// Maximum number of messages that wait for the transport's thread.
constexpr std::size_t RingCapacity = 16384;
/// Maximum number of messages to one peer that wait for its confirmation.
constexpr std::size_t MaxUnconfirmed = 1024;
/// Messages that are kept for peers whose addresses are not known yet.
constexpr std::size_t MaxUnaddressed = 256;
/// Time without a confirmation after which a peer counts as unreachable.
constexpr std::chrono::milliseconds DeliveryTimeout{1000};
/// The same for a long message: 100 kB take 5 s at 20 kB/s, the rate that a
/// busy link leaves to it.
constexpr std::chrono::milliseconds LongDeliveryTimeout{5000};
/// Time after a failure to accept connections until the next attempt.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};
/// Time after a failed wait for commands until the next.
constexpr std::chrono::milliseconds WaitRetryDelay{10};

namespace {

/// Serves the calls of peers.
class PeerService final : public schema::Peer::Server {
public:
  explicit PeerService(const PeerTransport::MessageHandler &OnMessage)
      : Handler(OnMessage) {}

protected:
  kj::Promise<void> deliver(DeliverContext Context) override {
    const schema::PeerMessage::Reader In = Context.getParams().getMessage();
    Handler(InstanceId{In.getSender().cStr()}, internal::read(In));
    return kj::READY_NOW;
  }

private:
  const PeerTransport::MessageHandler &Handler;
};

} // namespace

/// \brief The transport's thread, its event loop and the objects that belong
/// to it.
class PeerTransport::Loop {
public:
  Loop(InstanceId Name, MessageHandler OnMessage, LostHandler OnLost)
      : Self(std::move(Name)), MessageCallback(std::move(OnMessage)),
        LostCallback(std::move(OnLost)), Ring(RingCapacity),
        WakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

  ~Loop() {
    stop();
    ::close(WakeFd);
  }

  Result<void> start(const std::string &Host, std::uint16_t Port) {
    if (WakeFd < 0)
      return fail(ErrorKind::Unavailable, "listen for peers",
                  Host + ":" + std::to_string(Port),
                  "no descriptor for the thread's events");
    std::promise<std::string> ListenResult;
    std::future<std::string> Outcome = ListenResult.get_future();
    Worker = std::thread([this, Host, Port, &ListenResult] {
      bool Listening = false;
      try {
        run(Host, Port, [&] {
          Listening = true;
          ListenResult.set_value("");
        });
      } catch (const std::exception &Failure) {
        if (!Listening)
          ListenResult.set_value(Failure.what());
        else
          reportException(Failure);
      }
    });
    const std::string Problem = Outcome.get();
    if (Problem.empty())
      return boost::outcome_v2::success();
    Worker.join();
    return fail(ErrorKind::Unavailable, "listen for peers",
                Host + ":" + std::to_string(Port), Problem);
  }

  void stop() {
    Stopping = true;
    wake();
    if (Worker.joinable())
      Worker.join();
  }

  struct Outgoing {
    InstanceId To;
    PeerMessage Message;
  };
  struct Addresses {
    std::map<InstanceId, std::string> ByName;
  };
  using Command = std::variant<Outgoing, Addresses>;

  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

  void push(Command Item) {
    if (Ring.push(Item))
      wake();
  }

private:
  /// Long messages have a separate connection. Short messages then neither wait
  /// behind long ones nor, when they time out, close the connection that a long
  /// one still uses.
  enum class Lane { Short, Long };
  using Route = std::pair<InstanceId, Lane>;

  static Lane laneOf(const PeerMessage &Message) {
    const auto *List = std::get_if<UpstreamList>(&Message);
    const bool IsWholeList = List != nullptr && List->Whole;
    return IsWholeList || std::holds_alternative<ConfigurationText>(Message)
               ? Lane::Long
               : Lane::Short;
  }

  /// One open connection to a peer.
  struct Connection {
    kj::Own<kj::AsyncIoStream> Stream;
    kj::Own<capnp::TwoPartyClient> Rpc;
    schema::Peer::Client Remote = nullptr;
    std::size_t Unconfirmed = 0;
    /// Whether a load notice is unconfirmed, and the latest one that waits for
    /// its confirmation. Each replaces the one before, so a peer that is slow
    /// to confirm gets no queue of them, in which other messages would wait.
    bool LoadUnconfirmed = false;
    std::optional<LoadNotice> NextLoad;
  };

  void wake() const {
    const std::uint64_t One = 1;
    // A write fails only if the counter is full, and then the descriptor is
    // readable anyway.
    [[maybe_unused]] const ssize_t Written = ::write(WakeFd, &One, sizeof(One));
  }

  void run(const std::string &Host, std::uint16_t Port,
           const std::function<void()> &OnListening) {
    kj::AsyncIoContext Context = kj::setupAsyncIo();
    Io = &Context;
    class FailureIgnorer : public kj::TaskSet::ErrorHandler {
      void taskFailed(kj::Exception &&) override {}
    };
    FailureIgnorer Ignored;
    kj::Own<kj::ConnectionReceiver> Receiver =
        Context.provider->getNetwork()
            .parseAddress(kj::StringPtr(Host.c_str()), Port)
            .wait(Context.waitScope)
            ->listen();
    kj::TaskSet Running(Ignored);
    Tasks = &Running;
    capnp::TwoPartyServer Server(kj::heap<PeerService>(MessageCallback));
    Running.add(acceptPeers(Server, *Receiver));
    kj::Own<kj::AsyncInputStream> WakeStream =
        Context.lowLevelProvider->wrapInputFd(
            WakeFd, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    OnListening();
    while (!Stopping) {
      bool Woken = false;
      runGuarded([&] {
        std::uint64_t Count = 0;
        WakeStream->read(&Count, sizeof(Count)).wait(Context.waitScope);
        Woken = true;
      });
      if (!Woken)
        std::this_thread::sleep_for(WaitRetryDelay);
      runGuarded([&] {
        std::vector<Command> Batch;
        Ring.drain(Batch);
        for (Command &Item : Batch)
          runGuarded([&] { execute(Item); });
      });
    }
    Connections.clear();
    Tasks = nullptr;
  }

  /// Accepts connections, also after a failure such as a lack of descriptors.
  kj::Promise<void> acceptPeers(capnp::TwoPartyServer &Server,
                                kj::ConnectionReceiver &Receiver) {
    // The call may throw before it returns a promise.
    return kj::evalNow([&] { return Server.listen(Receiver); })
        .catch_([this](kj::Exception &&) {
          return Io->provider->getTimer().afterDelay(AcceptRetryDelay.count() *
                                                     kj::MILLISECONDS);
        })
        .then([this, &Server, &Receiver] {
          return acceptPeers(Server, Receiver);
        });
  }

  void execute(Command &Item) {
    if (auto *NewAddresses = std::get_if<Addresses>(&Item)) {
      PeerAddresses = std::move(NewAddresses->ByName);
      std::erase_if(Connections, [this](const auto &Entry) {
        return !PeerAddresses.contains(Entry.first.first);
      });
      deliverUnaddressed();
    } else if (const auto *Out = std::get_if<Outgoing>(&Item)) {
      deliver(*Out);
    }
  }

  /// Keeps a message to a peer whose address is not known yet: the core may
  /// use a new list of members a moment before the addresses arrive here.
  void keepUnaddressed(const Outgoing &Item) {
    const std::chrono::steady_clock::time_point Now =
        std::chrono::steady_clock::now();
    while (!Unaddressed.empty() &&
           (Unaddressed.size() >= MaxUnaddressed ||
            Now > Unaddressed.front().first + DeliveryTimeout))
      Unaddressed.pop_front();
    Unaddressed.emplace_back(Now, Item);
  }

  void deliverUnaddressed() {
    const std::chrono::steady_clock::time_point Oldest =
        std::chrono::steady_clock::now() - DeliveryTimeout;
    for (auto &[KeptAt, Item] : std::exchange(Unaddressed, {})) {
      if (KeptAt < Oldest)
        continue;
      if (PeerAddresses.contains(Item.To))
        deliver(Item);
      else
        Unaddressed.emplace_back(KeptAt, std::move(Item));
    }
  }

  void deliver(const Outgoing &Item) {
    if (!PeerAddresses.contains(Item.To)) {
      keepUnaddressed(Item);
      return;
    }
    const Route To{Item.To, laneOf(Item.Message)};
    const std::chrono::milliseconds Timeout =
        To.second == Lane::Long ? LongDeliveryTimeout : DeliveryTimeout;
    std::shared_ptr<Connection> Peer = connection(To);
    if (!Peer || Peer->Unconfirmed >= MaxUnconfirmed)
      return;
    const auto *Load = std::get_if<LoadNotice>(&Item.Message);
    if (Load != nullptr && Peer->LoadUnconfirmed) {
      Peer->NextLoad = *Load;
      return;
    }
    Peer->LoadUnconfirmed |= Load != nullptr;
    try {
      auto Request = Peer->Remote.deliverRequest();
      internal::write(Request.initMessage(), Self, Item.Message);
      ++Peer->Unconfirmed;
      Tasks->add(
          Io->provider->getTimer()
              .timeoutAfter(Timeout.count() * kj::MILLISECONDS,
                            Request.send().ignoreResult())
              .then(
                  [this, To, Peer, IsLoad = Load != nullptr] {
                    --Peer->Unconfirmed;
                    if (IsLoad)
                      sendNextLoad(To, *Peer);
                  },
                  [this, To, Peer](kj::Exception &&) { drop(To, Peer); }));
    } catch (const kj::Exception &) {
      drop(To, Peer);
    }
  }

  /// Sends the load notice that waited for the confirmation of another.
  void sendNextLoad(const Route &To, Connection &Peer) {
    Peer.LoadUnconfirmed = false;
    if (const std::optional<LoadNotice> Next =
            std::exchange(Peer.NextLoad, std::nullopt))
      deliver({To.first, *Next});
  }

  /// Removes a failed connection, unless a newer one has replaced it.
  void drop(const Route &To, const std::shared_ptr<Connection> &Failed) {
    const auto Found = Connections.find(To);
    if (Found == Connections.end() || Found->second != Failed)
      return;
    Connections.erase(Found);
    // A long message may fail on a slow link although the peer is reachable.
    if (To.second == Lane::Short)
      LostCallback(To.first);
  }

  std::shared_ptr<Connection> connection(const Route &To) {
    const auto Existing = Connections.find(To);
    if (Existing != Connections.end())
      return Existing->second;
    const auto PeerAddress = PeerAddresses.find(To.first);
    if (PeerAddress == PeerAddresses.end())
      return nullptr;
    std::shared_ptr<Connection> Fresh = std::make_shared<Connection>();
    // The promise queues calls until the connection is open.
    kj::Promise<schema::Peer::Client> Opened =
        Io->provider->getNetwork()
            .parseAddress(kj::StringPtr(PeerAddress->second.c_str()))
            .then([](kj::Own<kj::NetworkAddress> Address) {
              return Address->connect().attach(kj::mv(Address));
            })
            .then([Weak = std::weak_ptr<Connection>(Fresh)](
                      kj::Own<kj::AsyncIoStream> Stream) {
              const std::shared_ptr<Connection> Target = Weak.lock();
              if (!Target)
                kj::throwFatalException(
                    KJ_EXCEPTION(DISCONNECTED, "connection was dropped"));
              Target->Stream = kj::mv(Stream);
              Target->Rpc = kj::heap<capnp::TwoPartyClient>(*Target->Stream);
              return Target->Rpc->bootstrap().castAs<schema::Peer>();
            });
    Fresh->Remote = schema::Peer::Client(kj::mv(Opened));
    Connections.emplace(To, Fresh);
    return Fresh;
  }

  InstanceId Self;
  MessageHandler MessageCallback;
  LostHandler LostCallback;
  BoundedRing<Command> Ring;
  int WakeFd;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
  kj::AsyncIoContext *Io = nullptr;
  kj::TaskSet *Tasks = nullptr;
  std::map<InstanceId, std::string> PeerAddresses;
  /// Messages to peers without a known address, and when each was kept.
  std::deque<std::pair<std::chrono::steady_clock::time_point, Outgoing>>
      Unaddressed;
  std::map<Route, std::shared_ptr<Connection>> Connections;
};

PeerTransport::PeerTransport(InstanceId Self, MessageHandler OnMessage,
                             LostHandler OnLost)
    : Impl(std::make_unique<Loop>(std::move(Self), std::move(OnMessage),
                                  std::move(OnLost))) {}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::listen(const std::string &Host,
                                   std::uint16_t Port) {
  return Impl->start(Host, Port);
}

void PeerTransport::stop() { Impl->stop(); }

std::uint64_t PeerTransport::refused() const { return Impl->refused(); }

void PeerTransport::send(const InstanceId &To, const PeerMessage &Message) {
  Impl->push(Loop::Outgoing{To, Message});
}

void PeerTransport::setMembers(const std::vector<Member> &Members) {
  Loop::Addresses Known;
  for (const Member &Item : Members)
    Known.ByName.emplace(Item.Identity.Instance, Item.PeerAddress);
  Impl->push(std::move(Known));
}

} // namespace bronzeward
