#include "bronzeward/src/Net/HttpStore.h"

#include <algorithm>

namespace bronzeward {

/// Maximum number of calls that wait for the store's thread.
constexpr std::size_t RingCapacity = 4096;
/// Maximum time for a connection to open. TCP sends a lost first packet again
/// only after a second; giving up sooner reaches a store that was cut off
/// sooner.
constexpr Duration ConnectTimeout = 300ms;

/// Maximum size of one reply. A longer one counts as lost.
constexpr std::size_t MaxReplyBytes = std::size_t{16} * 1024 * 1024;
/// Bytes of a reply between two progress notifications, so that short replies
/// cause none.
constexpr std::size_t ProgressBytes = 65536;

/// \brief Collects one reply of the store.
class HttpStore::ReplyCollector : public HttpListener {
public:
  ReplyCollector(HttpStore &Store, Outgoing Sent)
      : Owner(Store), Item(std::move(Sent)) {}

  void onHead(const HttpHead &Head) override { Status = Head.Status; }
  void onBody(std::string_view Bytes) override {
    Body.append(Bytes);
    if (Body.size() < NotifiedLength + ProgressBytes)
      return;
    NotifiedLength = Body.size();
    Owner.Progress(Item.Id, StoreProgress::Bytes);
  }
  void onEnd() override {
    StoreReply Reply = Owner.Codec.parse(Item.Call, Status, Body);
    Owner.finish(std::move(Item), std::move(Reply));
  }
  void onFailure(HttpFailure How, const std::string &) override {
    StoreReply Reply;
    const bool NotSent =
        How == HttpFailure::NotSent || How == HttpFailure::ConnectTimedOut;
    Reply.Status = NotSent ? StoreStatus::Unavailable : StoreStatus::Unknown;
    Owner.finish(std::move(Item), std::move(Reply));
  }

private:
  HttpStore &Owner;
  Outgoing Item;
  std::uint16_t Status = 0;
  std::string Body;
  /// Length of the body at the last progress notification.
  std::size_t NotifiedLength = 0;
};

HttpStore::HttpStore(boost::asio::io_context *Shared, HttpStoreEndpoint Address,
                     const StoreCodec &Format, ReplyHandler OnReply,
                     ProgressHandler OnProgress)
    : Endpoint(std::move(Address)), Codec(Format), Handler(std::move(OnReply)),
      Progress(std::move(OnProgress)), Thread(Shared),
      Connections(makeHttpConnectionPool(Thread.context())),
      Ring(Thread.context(), RingCapacity,
           [this](Outgoing &Item) { exchange(std::move(Item)); }) {}

void HttpStore::send(StoreCallId Id, const StoreCall &Call) {
  Ring.push({Id, Call, {}});
}

void HttpStore::exchange(Outgoing Item) {
  std::optional<StoreHttpCall> Encoded = Codec.encode(Item.Call);
  if (!Encoded) {
    Handler(Item.Id, StoreReply{});
    return;
  }
  HttpRequest Request;
  Request.Host = Endpoint.Host;
  Request.Port = Endpoint.Port;
  Request.Method = std::move(Encoded->Method);
  Request.Target = std::move(Encoded->Target);
  if (!Encoded->Body.empty())
    Request.ContentType = "application/json";
  Request.Body = std::move(Encoded->Body);
  Request.ConnectTimeout = std::min(ConnectTimeout, Endpoint.CallTimeout);
  Request.IdleTimeout = Endpoint.CallTimeout;
  Request.MaxBodyBytes = MaxReplyBytes;
  if (const WatchKeys *Watch = std::get_if<WatchKeys>(&Item.Call))
    Request.IdleTimeout += Watch->Wait;
  startExchange(Connections, std::move(Request),
                std::make_shared<ReplyCollector>(*this, std::move(Item)));
}

void HttpStore::finish(Outgoing Item, StoreReply Reply) {
  ListKeys *List = std::get_if<ListKeys>(&Item.Call);
  if (List == nullptr || Reply.Status != StoreStatus::Ok) {
    Handler(Item.Id, std::move(Reply));
    return;
  }
  std::optional<std::string> After = Item.Pages.add(std::move(Reply));
  if (!After) {
    Handler(Item.Id, Item.Pages.take());
    return;
  }
  Progress(Item.Id, StoreProgress::Page);
  List->After = std::move(*After);
  exchange(std::move(Item));
}

} // namespace bronzeward
