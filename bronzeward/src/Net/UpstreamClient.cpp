#include "bronzeward/src/Net/UpstreamClient.h"

#include "bronzeward/src/Net/SystemClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/json.hpp>

namespace bronzeward {

/// Maximum number of commands that wait for the client's thread.
constexpr std::size_t RingCapacity = 65536;
/// Time between two readings of the load reports.
constexpr Duration LoadPeriod = 250ms;
/// Maximum wait for a load report.
constexpr Duration LoadTimeout = 1s;
/// Maximum size of a load report.
constexpr std::size_t MaxLoadBytes = 65536;
/// Maximum time without a byte within the answer of an upstream.
constexpr Duration AnswerIdleTimeout = 600s;

/// Maximum size of the parts of answers that wait for the core.
constexpr std::size_t MaxTransitBytes = std::size_t{2} * 1024 * 1024;
/// Memory of a waiting part besides its bytes, rounded up.
constexpr std::size_t QueuedPartBytes = 1024;

/// Maximum time for the connection of a probe to open.
constexpr Duration ProbeTimeout = 1s;

class UpstreamClient::AttemptListener : public HttpListener {
public:
  AttemptListener(UpstreamClient &Client, const UpstreamCall &Call)
      : Owner(Client), Attempt(Call.Attempt), Upstream(Call.Upstream),
        Request(Call.Match.Value) {}

  void onHead(const HttpHead &Head) override {
    Owner.Handler(UpstreamHead{Attempt, Head});
  }
  void onBody(std::string_view Bytes) override {
    Owner.Handler(
        UpstreamBytes{Attempt, std::string(Bytes),
                      Owner.Gate->admit(Bytes.size() + QueuedPartBytes)});
  }
  void onEnd() override {
    Owner.Running.erase(Attempt);
    Owner.Handler(UpstreamEnded{Attempt});
  }
  void onFailure(HttpFailure How, const std::string &Detail) override {
    Owner.Running.erase(Attempt);
    const bool Sent = How == HttpFailure::Closed ||
                      How == HttpFailure::TimedOut ||
                      How == HttpFailure::Invalid;
    if (Sent && Owner.OnBrokenAnswer)
      Owner.OnBrokenAnswer("upstream " + Upstream.Value + ", request " +
                           Request + ": " + Detail);
    UpstreamFailure Kind = UpstreamFailure::Closed;
    if (How == HttpFailure::CallerLeft)
      ++Owner.LeftBeforeSend;
    if (How == HttpFailure::NotSent)
      Kind = UpstreamFailure::NotSent;
    else if (How == HttpFailure::CallerLeft)
      Kind = UpstreamFailure::CallerLeft;
    else if (How == HttpFailure::Withdrawn)
      Kind = UpstreamFailure::Withdrawn;
    else if (How == HttpFailure::ConnectTimedOut)
      Kind = UpstreamFailure::ConnectTimedOut;
    else if (How == HttpFailure::Invalid)
      Kind = UpstreamFailure::Invalid;
    Owner.Handler(UpstreamFailed{Attempt, Kind});
  }

private:
  UpstreamClient &Owner;
  AttemptId Attempt;
  UpstreamName Upstream;
  /// Identifies the request to the upstream.
  std::string Request;
};

class UpstreamClient::LoadListener : public HttpListener {
public:
  LoadListener(UpstreamClient &Client, UpstreamName Upstream)
      : Owner(Client), Name(std::move(Upstream)),
        RequestTime(SystemClock().now()) {}

  void onHead(const HttpHead &Head) override { Status = Head.Status; }
  void onBody(std::string_view Bytes) override { Body.append(Bytes); }
  void onEnd() override {
    Owner.Polling.erase(Name);
    if (Status != 200)
      return;
    boost::system::error_code Failure;
    const boost::json::value Parsed = boost::json::parse(Body, Failure);
    if (Failure || !Parsed.is_object())
      return;
    const auto Number = [&](const char *Key) -> std::int64_t {
      const boost::json::value *Value = Parsed.as_object().if_contains(Key);
      return Value != nullptr && Value->is_int64() ? Value->as_int64() : 0;
    };
    const boost::json::value *Leaving =
        Parsed.as_object().if_contains("leaving");
    UpstreamLoad Load;
    Load.Name = Name;
    // The upstream reports an age instead of a time, so that the clocks need
    // not agree.
    Load.Report = {Number("running"), Number("queued"),
                   RequestTime - std::chrono::milliseconds(Number("age_ms"))};
    Load.Leaving =
        Leaving != nullptr && Leaving->is_bool() && Leaving->as_bool();
    Owner.Handler(std::move(Load));
  }
  void onFailure(HttpFailure, const std::string &) override {
    Owner.Polling.erase(Name);
  }

private:
  UpstreamClient &Owner;
  UpstreamName Name;
  TimePoint RequestTime;
  std::uint16_t Status = 0;
  std::string Body;
};

UpstreamClient::UpstreamClient(boost::asio::io_context *Shared,
                               EventHandler OnEvent)
    : Handler(std::move(OnEvent)), Thread(Shared),
      Connections(makeHttpConnectionPool(Thread.context())),
      Gate(std::make_shared<TransitGate>(Thread.context(), MaxTransitBytes)),
      PollTimer(std::make_unique<boost::asio::steady_timer>(Thread.context())),
      Ring(Thread.context(), RingCapacity,
           [this](Command &Item) { execute(Item); }) {}

UpstreamClient::~UpstreamClient() {
  Thread.stop();
  Gate->clear();
}

void UpstreamClient::dispatch(const UpstreamCall &Call) {
  if (Ring.push(Call))
    return;
  // Reported from the client's thread, since the handler may block until the
  // thread that called this function makes progress.
  boost::asio::post(Thread.context(), [this, Attempt = Call.Attempt] {
    Handler(UpstreamFailed{Attempt, UpstreamFailure::NotSent});
  });
}

void UpstreamClient::cancel(AttemptId Attempt) {
  if (Ring.push(Cancel{Attempt}))
    return;
  // Without the cancellation, the upstream would go on working for nobody.
  boost::asio::post(Thread.context(),
                    [this, Attempt] { cancelRunning(Attempt); });
}

void UpstreamClient::probe(const UpstreamProbe &Probe) { Ring.push(Probe); }

void UpstreamClient::startProbe(const UpstreamProbe &Probe) {
  using Tcp = boost::asio::ip::tcp;
  boost::system::error_code ParseFailure;
  const Tcp::endpoint Peer(
      boost::asio::ip::make_address(Probe.Host, ParseFailure), Probe.Port);
  if (ParseFailure)
    return;
  const auto Stream =
      std::make_shared<boost::beast::tcp_stream>(Thread.context());
  Stream->expires_after(ProbeTimeout);
  Stream->async_connect(Peer, [this, Stream, Name = Probe.Upstream](
                                  boost::system::error_code Failure) {
    // A timeout may be due to the network, and a local failure tells nothing.
    if (Failure == boost::asio::error::connection_refused ||
        Failure == boost::asio::error::connection_reset)
      Handler(UpstreamRefused{Name});
  });
}

void UpstreamClient::cancelRunning(AttemptId Attempt) {
  const auto Found = Running.find(Attempt);
  if (Found == Running.end())
    return;
  if (Found->second->unacknowledgedBytes() > 0)
    ++CancelledUnacknowledged;
  Found->second->cancel();
  Running.erase(Found);
}

void UpstreamClient::setPolledUpstreams(std::vector<UpstreamSpec> Upstreams) {
  Ring.push(SetPolled{std::move(Upstreams)});
}

void UpstreamClient::execute(Command &Item) {
  if (const auto *Call = std::get_if<UpstreamCall>(&Item)) {
    startCall(*Call);
  } else if (const auto *Cancelled = std::get_if<Cancel>(&Item)) {
    cancelRunning(Cancelled->Attempt);
  } else if (const auto *Probe = std::get_if<UpstreamProbe>(&Item)) {
    startProbe(*Probe);
  } else if (auto *NewSet = std::get_if<SetPolled>(&Item)) {
    const bool WasIdle = PolledUpstreams.empty();
    PolledUpstreams = std::move(NewSet->Upstreams);
    if (WasIdle)
      pollLoads();
  }
}

void UpstreamClient::startCall(const UpstreamCall &Call) {
  HttpRequest Request;
  Request.Host = Call.Host;
  Request.Port = Call.Port;
  Request.Method = Call.Method;
  Request.Target = Call.Target;
  Request.ContentType = Call.ContentType;
  Request.Body = Call.Body;
  Request.HostHeader = Call.HostHeader;
  Request.Headers = Call.Headers;
  Request.Match = Call.Match;
  Request.MatchRequired = Call.MatchRequired;
  Request.ConnectTimeout = Call.ConnectTimeout;
  Request.UnackedTimeout = Call.UnackedTimeout;
  Request.IdleTimeout = AnswerIdleTimeout;
  Request.MaxIdle = Call.MaxIdle;
  Request.Presence = Call.Presence;
  Request.Availability = Call.Availability;
  Request.Gate = Gate;
  const std::shared_ptr<HttpExchange> Exchange =
      startExchange(Connections, std::move(Request),
                    std::make_shared<AttemptListener>(*this, Call));
  // An exchange that fails at once has already told its listener.
  if (!Exchange->ended())
    Running.emplace(Call.Attempt, Exchange);
}

void UpstreamClient::pollLoads() {
  if (PolledUpstreams.empty())
    return;
  for (const UpstreamSpec &Spec : PolledUpstreams) {
    // A slow report would otherwise add a connection in each period.
    if (!Polling.insert(Spec.Name).second)
      continue;
    HttpRequest Request;
    Request.Host = Spec.Host;
    Request.Port = Spec.Port;
    Request.Method = "GET";
    Request.Target = "/load";
    Request.IdleTimeout = LoadTimeout;
    Request.MaxBodyBytes = MaxLoadBytes;
    startExchange(Connections, std::move(Request),
                  std::make_shared<LoadListener>(*this, Spec.Name));
  }
  PollTimer->expires_after(LoadPeriod);
  PollTimer->async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      pollLoads();
  });
}

} // namespace bronzeward
