#include "bronzeward/src/Net/EtcdStore.h"

#include "bronzeward/src/Net/EtcdCodec.h"

namespace bronzeward {

/// Calls that may wait for the store's thread.
constexpr std::size_t RingCapacity = 4096;
/// Longest wait for a byte; the store client gives up before.
constexpr Duration IdleTimeout = 30s;

namespace {

/// Collects one reply of the store.
class ReplyCollector : public HttpListener {
public:
  ReplyCollector(StoreCallId Number, StoreCall Asked,
                 const EtcdStore::ReplyHandler &Out)
      : Id(Number), Call(std::move(Asked)), Handler(Out) {}

  void onHead(std::uint16_t Code, const std::string &) override {
    Status = Code;
  }
  void onBody(std::string_view Bytes) override { Body.append(Bytes); }
  void onEnd() override {
    StoreReply Reply;
    Reply.Status = StoreStatus::Unknown;
    if (Status == 200) {
      Result<StoreReply> Parsed = parseEtcd(Call, Body);
      if (Parsed)
        Reply = std::move(Parsed).value();
    } else if (Status == 404 && std::holds_alternative<KeepAlive>(Call)) {
      Reply.Status = StoreStatus::Conflict;
    }
    Handler(Id, std::move(Reply));
  }
  void onFailure(HttpFailure How, const std::string &) override {
    StoreReply Reply;
    Reply.Status = How == HttpFailure::NotSent ? StoreStatus::Unavailable
                                               : StoreStatus::Unknown;
    Handler(Id, std::move(Reply));
  }

private:
  StoreCallId Id;
  StoreCall Call;
  const EtcdStore::ReplyHandler &Handler;
  std::uint16_t Status = 0;
  std::string Body;
};

} // namespace

EtcdStore::EtcdStore(std::string Host, std::uint16_t Port, ReplyHandler OnReply)
    : StoreHost(std::move(Host)), StorePortNumber(Port),
      Handler(std::move(OnReply)),
      Connections(makeHttpConnections(Thread.context())),
      Ring(Thread.context(), RingCapacity,
           [this](Outgoing &Item) { exchange(Item); }) {}

void EtcdStore::send(StoreCallId Id, const StoreCall &Call) {
  Ring.push({Id, Call});
}

void EtcdStore::exchange(const Outgoing &Item) {
  const EtcdRequest Encoded = encodeEtcd(Item.Call);
  HttpRequest Request;
  Request.Host = StoreHost;
  Request.Port = StorePortNumber;
  Request.Method = "POST";
  Request.Target = Encoded.Target;
  Request.ContentType = "application/json";
  Request.Body = Encoded.Body;
  Request.IdleTimeout = IdleTimeout;
  startExchange(Connections, std::move(Request),
                std::make_shared<ReplyCollector>(Item.Id, Item.Call, Handler));
}

} // namespace bronzeward
