#include "tools/ControlStore.h"

namespace bronzeward::tools {

/// Longest wait for a reply.
constexpr Duration ReplyTimeout = 5s;

namespace {

/// Keeps the parts of one answer.
class Collector : public HttpListener {
public:
  void onHead(const HttpHead &Head) override { Reply.Status = Head.Status; }
  void onBody(std::string_view Bytes) override { Reply.Body.append(Bytes); }
  void onEnd() override {}
  void onFailure(HttpFailure How, const std::string &Detail) override {
    Failure = How;
    Why = Detail;
  }

  HttpReply Reply;
  std::optional<HttpFailure> Failure;
  std::string Why;
};

} // namespace

Result<HttpReply> exchange(HttpRequest Request) {
  boost::asio::io_context Io;
  const std::shared_ptr<Collector> Sink = std::make_shared<Collector>();
  const std::string Peer = Request.Host + ":" + std::to_string(Request.Port);
  Request.IdleTimeout = ReplyTimeout;
  startExchange(makeHttpConnectionPool(Io), std::move(Request), Sink);
  Io.run();
  if (Sink->Failure)
    return fail(*Sink->Failure == HttpFailure::NotSent ? ErrorKind::Unavailable
                                                       : ErrorKind::InvalidData,
                "send request", Peer, Sink->Why);
  return std::move(Sink->Reply);
}

StoreReply ControlStore::call(const StoreCall &Call) {
  StoreReply Reply;
  std::optional<StoreHttpCall> Encoded = Codec.encode(Call);
  if (!Encoded)
    return Reply;
  HttpRequest Request;
  Request.Host = Place.Host;
  Request.Port = Place.Port;
  Request.Method = std::move(Encoded->Method);
  Request.Target = std::move(Encoded->Target);
  if (!Encoded->Body.empty())
    Request.ContentType = "application/json";
  Request.Body = std::move(Encoded->Body);
  const Result<HttpReply> Sent = exchange(std::move(Request));
  if (Sent)
    return Codec.parse(Call, Sent.value().Status, Sent.value().Body);
  Reply.Status = Sent.error().Kind == ErrorKind::Unavailable
                     ? StoreStatus::Unavailable
                     : StoreStatus::Unknown;
  return Reply;
}

std::vector<StoreEntry> ControlStore::list(const std::string &Prefix) {
  PagedList Pages;
  std::optional<std::string> After = "";
  while (After) {
    StoreReply Page = call(ListKeys{Prefix, *After, false});
    if (Page.Status != StoreStatus::Ok)
      break;
    After = Pages.add(std::move(Page));
  }
  return Pages.take().Entries;
}

Result<std::optional<StoreEntry>> ControlStore::read(const std::string &Key) {
  StoreReply Reply = call(ReadKey{Key});
  if (Reply.Status != StoreStatus::Ok)
    return fail(ErrorKind::Unavailable, "read " + Key, address(),
                "the store does not answer");
  if (Reply.Entries.empty())
    return std::optional<StoreEntry>();
  return std::optional<StoreEntry>(std::move(Reply.Entries.front()));
}

} // namespace bronzeward::tools
