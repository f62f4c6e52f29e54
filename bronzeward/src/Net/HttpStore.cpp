#include "bronzeward/src/Net/HttpStore.h"

#include <algorithm>

namespace bronzeward {

/// Calls that may wait for the store's thread.
constexpr std::size_t RingCapacity = 4096;
/// Entries of one list over all its pages; more is an error of the store.
constexpr std::size_t MaxListed = 100'000;
/// Time for a connection to open. A store that was cut off is back this much
/// earlier than if its lost first packet had to be sent again after a second.
constexpr Duration ConnectTimeout = 300ms;

/// Bytes of a reply between two notices of its progress: short replies need
/// none.
constexpr std::size_t ProgressBytes = 65536;

/// \brief Collects one answer of the store.
class HttpStore::ReplyCollector : public HttpListener {
public:
  ReplyCollector(HttpStore &Store, Outgoing Asked)
      : Owner(Store), Item(std::move(Asked)) {}

  void onHead(const HttpHead &Head) override { Status = Head.Status; }
  void onBody(std::string_view Bytes) override {
    Body.append(Bytes);
    if (Body.size() < Told + ProgressBytes)
      return;
    Told = Body.size();
    Owner.Progress(Item.Id);
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
  /// Length of the body at the last notice.
  std::size_t Told = 0;
};

HttpStore::HttpStore(boost::asio::io_context *Shared, HttpStorePlace Where,
                     const StoreCodec &Form, ReplyHandler OnReply,
                     ProgressHandler OnProgress)
    : Place(std::move(Where)), Codec(Form), Handler(std::move(OnReply)),
      Progress(std::move(OnProgress)), Thread(Shared),
      Connections(makeHttpConnections(Thread.context())),
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
  Request.Host = Place.Host;
  Request.Port = Place.Port;
  Request.Method = std::move(Encoded->Method);
  Request.Target = std::move(Encoded->Target);
  if (!Encoded->Body.empty())
    Request.ContentType = "application/json";
  Request.Body = std::move(Encoded->Body);
  Request.ConnectTimeout = std::min(ConnectTimeout, Place.CallTimeout);
  Request.IdleTimeout = Place.CallTimeout;
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
  StoreReply &All = Item.SoFar;
  // Changes between two pages are told by a watch from the first page on.
  if (List->After.empty())
    All.Revision = Reply.Revision;
  All.Status = StoreStatus::Ok;
  const bool More =
      Reply.More && !Reply.Entries.empty() && All.Entries.size() < MaxListed;
  if (More)
    List->After = Reply.Entries.back().Key;
  for (StoreEntry &Entry : Reply.Entries)
    All.Entries.push_back(std::move(Entry));
  if (More)
    exchange(std::move(Item));
  else
    Handler(Item.Id, std::move(All));
}

} // namespace bronzeward
