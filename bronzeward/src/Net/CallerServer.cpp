#include "bronzeward/src/Net/CallerServer.h"

#include "bronzeward/src/Net/LoopGuard.h"
#include "bronzeward/src/Request/AnswerText.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cerrno>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace bronzeward {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

/// Maximum number of answers, or parts of them, that wait for the server's
/// thread.
constexpr std::size_t RingCapacity = 65536;
/// A stream's backlog grows by its length divided by this number.
constexpr std::size_t BacklogGrowthDivisor = 8;
/// Time after a failure to accept a connection until the next attempt.
constexpr Duration AcceptRetryDelay = 50ms;
/// Number of waiting connections that are accepted at once. One in each turn of
/// the loop would leave callers waiting while each turn takes long.
constexpr int AcceptBatch = 64;
/// Maximum number of connections that wait to be accepted.
constexpr int ListenBacklog = 1024;
/// Size of one read of a request's headers.
constexpr std::size_t HeadReadBytes = 4096;
/// Minimum and maximum space for the next bytes of a body.
constexpr std::size_t MinBodyPiece = 4096;
constexpr std::size_t MaxBodyPiece = 65536;

/// Maximum length of a line of a head, and of all trailers. The parser throws
/// an exception for a field whose length does not fit into 16 bits.
constexpr std::size_t MaxLineBytes = 65000;

/// Interim answer that asks for the body of a request.
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::uint16_t NoContentStatus = 204;
constexpr std::uint16_t NotModifiedStatus = 304;

/// Time between two checks whether a caller that has sent its next request
/// early is still connected.
constexpr Duration EarlyRequestCheckPeriod = 50ms;

/// \brief Result of checking the raw bytes of a request's head.
struct HeadScan {
  bool Complete = false;
  bool Invalid = false;
  /// Whether a line is longer than the parser accepts.
  bool LongLine = false;
  /// Bytes of the head received so far.
  std::size_t Length = 0;
};

/// \returns whether the head is complete, and whether it is invalid: a folded
/// line, a null byte, or a CR or LF alone, which parsers interpret differently.
static HeadScan scanHead(std::string_view Bytes) {
  HeadScan Scan;
  const std::size_t End = Bytes.find("\r\n\r\n");
  Scan.Complete = End != std::string_view::npos;
  Scan.Length = Scan.Complete ? End + 4 : Bytes.size();
  const std::string_view Head = Bytes.substr(0, Scan.Length);
  std::size_t LineBegin = 0;
  for (std::size_t At = 0; At < Head.size(); ++At) {
    const char Following = At + 1 < Head.size() ? Head[At + 1] : '\n';
    const bool BareLf = Head[At] == '\n' && (At == 0 || Head[At - 1] != '\r');
    const bool BareCr = Head[At] == '\r' && Following != '\n';
    const bool Folded = Head[At] == '\n' && At + 1 < Head.size() &&
                        (Following == ' ' || Following == '\t');
    if (BareLf || BareCr || Folded || Head[At] == '\0')
      Scan.Invalid = true;
    if (At - LineBegin >= MaxLineBytes)
      Scan.LongLine = true;
    if (Head[At] == '\n')
      LineBegin = At + 1;
  }
  return Scan;
}

/// \returns whether the peer of a socket has closed the connection.
static bool closedByPeer(int Descriptor) {
  char Byte = 0;
  const ssize_t Length = ::recv(Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Length == 0)
    return true;
  if (Length < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  // The end is behind bytes that are not read yet.
  pollfd State{Descriptor, POLLRDHUP, 0};
  return ::poll(&State, 1, 0) > 0;
}

namespace {

/// \brief Presence of the caller on one connection. It outlives the connection
/// where a request is still being processed.
class ConnectionPresence : public CallerPresence {
public:
  explicit ConnectionPresence(int Socket) : Descriptor(Socket) {}

  [[nodiscard]] bool hasLeft() const override {
    std::lock_guard<std::mutex> Guard(Lock);
    return !Descriptor || closedByPeer(*Descriptor);
  }
  /// \brief Must be called before the socket is closed, since its descriptor
  /// may then belong to another connection.
  void onClosing() {
    std::lock_guard<std::mutex> Guard(Lock);
    Descriptor.reset();
  }

private:
  mutable std::mutex Lock;
  std::optional<int> Descriptor;
};

} // namespace

/// \brief One caller's connection, which serves one request at a time.
class CallerServer::Session
    : public std::enable_shared_from_this<CallerServer::Session> {
public:
  Session(CallerServer &Server, Tcp::socket Socket)
      : Owner(Server), Stream(std::move(Socket)),
        Presence(std::make_shared<ConnectionPresence>(
            Stream.socket().native_handle())),
        ReadTimer(Stream.get_executor()),
        Memory(Server.Memory), Holder{++Owner.LastHolder} {
    ++Owner.Connections;
    Memory->Holders.emplace(Holder, this);
  }
  ~Session() {
    Presence->onClosing();
    releaseMemory();
    Memory->Holders.erase(Holder);
    --Owner.Connections;
  }

  /// \brief Gives up the memory that this connection holds. An arriving request
  /// is refused, an answer is cut.
  void evict() {
    if (Reading) {
      Evicted = true;
      Stream.cancel();
    } else {
      Owner.noteMemoryShort("answer cut");
      callerGone();
    }
  }

  void close() {
    markAnswering(false);
    releaseMemory();
    Presence->onClosing();
    error_code Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.close();
  }

  void start() { awaitRequest(); }

  /// \brief Closes the connection if no request is arriving. One that is here
  /// already would be lost, and its caller could not tell whether it ran.
  void closeIfIdle() {
    error_code Failure;
    if (Stream.socket().available(Failure) == 0)
      close();
  }

  void refuseConnection() {
    Closing = true;
    sendRefusal(Reason::TooManyConnections);
  }

  void perform(Outgoing &Item) {
    guarded([&] { performStep(Item); });
  }

  /// \brief Closes the connection and tells the owner that its caller no longer
  /// waits.
  void callerGone() {
    if (Owner.AwaitingAnswer.erase(Ticket) > 0)
      Owner.Handler(CallerEvent(CallerGone{Ticket}));
    close();
  }

private:
  /// Runs one step. An exception, such as that of the HTTP library for bytes
  /// that it cannot represent, closes only this connection.
  template <class Step> void guarded(Step Run) {
    try {
      Run();
    } catch (const std::exception &Failure) {
      reportException(Failure);
      endReading();
      callerGone();
    }
  }

  /// \returns false if there is no memory for that many bytes.
  bool holdMemory(HoldKind Kind, std::size_t Bytes) {
    return Owner.holdMemory(Holder, Kind, Bytes);
  }

  void releaseMemory() {
    Memory->Budget.release(Holder);
    Memory->HeldBytes = Memory->Budget.held();
  }

  void performStep(Outgoing &Item) {
    switch (Item.Action) {
    case Step::Whole:
      if (Streaming)
        abort();
      else
        sendWhole(std::move(Item.Content));
      return;
    case Step::Begin:
      Streaming = true;
      sendHead(Item.Content);
      return;
    case Step::Part:
      enqueue(Item.Content.Body);
      return;
    case Step::End:
      Ending = true;
      enqueue(Item.Content.Body);
      return;
    case Step::Close:
      abort();
      return;
    }
  }

  void abort() {
    Owner.AwaitingAnswer.erase(Ticket);
    close();
  }

  void awaitRequest() {
    Parser.emplace();
    Body.clear();
    BodyLength = 0;
    Parser->body_limit(Owner.Limits.MaxBodyBytes);
    Buffer.max_size(Owner.Limits.MaxHeaderBytes + Owner.Limits.MaxBodyBytes +
                    2 * HeadReadBytes);
    if (Buffer.size() > 0) {
      beginRequest();
      return;
    }
    Owner.IdleSessions.insert(this);
    Stream.expires_after(Owner.Limits.IdleTimeout);
    Stream.async_read_some(
        Buffer.prepare(HeadReadBytes),
        [Self = shared_from_this()](error_code Failure, std::size_t Length) {
          Self->Owner.IdleSessions.erase(Self.get());
          if (Failure) {
            Self->close();
            return;
          }
          Self->Buffer.commit(Length);
          Self->guarded([&] { Self->beginRequest(); });
        });
  }

  void beginRequest() {
    // The stream's own timeout would close the connection before the refusal is
    // sent.
    Stream.expires_never();
    Reading = true;
    TimedOut = false;
    ReadTimer.expires_after(Owner.Limits.ReadTimeout);
    ReadTimer.async_wait([Self = shared_from_this()](error_code Failure) {
      // A timer that has expired may be too late to be cancelled.
      if (Failure || !Self->Reading)
        return;
      Self->TimedOut = true;
      Self->Stream.cancel();
    });
    readHead();
  }

  [[nodiscard]] std::string_view received() const {
    return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
  }

  /// Reads up to the end of the headers and checks their raw bytes. The parser
  /// accepts more than a proxy safely may: an upstream could interpret an
  /// ambiguous request differently.
  void readHead() {
    while (received().starts_with("\r\n"))
      Buffer.consume(2);
    const HeadScan Scan = scanHead(received());
    if (Evicted || !holdMemory(HoldKind::Arriving, Buffer.capacity())) {
      refuseForMemory();
    } else if (Scan.Invalid) {
      refuseRequest(Reason::InvalidRequest);
    } else if (Scan.LongLine || Scan.Length > Owner.Limits.MaxHeaderBytes ||
               received().size() >
                   Owner.Limits.MaxHeaderBytes + Owner.Limits.MaxBodyBytes) {
      refuseRequest(Reason::HeadersTooLarge);
    } else if (Scan.Complete) {
      readRequest();
    } else {
      Stream.async_read_some(
          Buffer.prepare(HeadReadBytes),
          [Self = shared_from_this()](error_code Failure, std::size_t Length) {
            if (Failure && !Self->Evicted) {
              Self->endReading();
              Self->failRead(Failure);
              return;
            }
            Self->Buffer.commit(Length);
            Self->guarded([&] { Self->readHead(); });
          });
    }
  }

  void endReading() {
    Reading = false;
    ReadTimer.cancel();
  }

  void refuseRequest(Reason Cause) {
    endReading();
    Closing = true;
    sendRefusal(Cause);
  }

  void refuseForMemory() {
    Owner.noteMemoryShort("request refused");
    refuseRequest(Reason::MemoryShort);
  }

  /// Frees what has arrived of a request that is refused.
  void dropBody() {
    Body = std::string();
    BodyLength = 0;
  }

  /// Parses the head, which is in the buffer.
  void readRequest() {
    Parser->header_limit(static_cast<std::uint32_t>(received().size()));
    error_code Failure;
    Buffer.consume(Parser->put(Buffer.data(), Failure));
    if (Failure && Failure != http::error::need_more) {
      endReading();
      failRead(Failure);
      return;
    }
    if (awaitsContinue())
      sendContinue();
    else
      readBody();
  }

  /// \returns whether the caller sends its body only once it is asked to.
  [[nodiscard]] bool awaitsContinue() const {
    return !Parser->is_done() && Buffer.size() == 0 &&
           beast::iequals(Parser->get()[http::field::expect], "100-continue");
  }

  void sendContinue() {
    asio::async_write(
        Stream, asio::buffer(ContinueText),
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->guarded([&] {
            if (Failure)
              Self->onBodyRead(Failure);
            else
              Self->readBody();
          });
        });
  }

  void readBody() {
    if (Parser->is_done()) {
      onRequestRead();
      return;
    }
    // Trailers are parsed once all of them are in the buffer.
    Buffer.max_size(std::max(Buffer.size(), MaxLineBytes));
    if (!growBody()) {
      refuseForMemory();
      return;
    }
    Parser->get().body().data = Body.data() + BodyLength;
    Parser->get().body().size = Body.size() - BodyLength;
    http::async_read_some(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->guarded([&] { Self->onBodyRead(Failure); });
        });
  }

  /// Makes space for the next bytes of the body.
  /// \returns false if there is no memory for it.
  bool growBody() {
    const std::uint64_t Announced =
        Parser->content_length().value_or(Owner.Limits.MaxBodyBytes);
    const std::uint64_t Left =
        Announced - std::min<std::uint64_t>(BodyLength, Announced);
    const std::size_t Piece = std::min<std::uint64_t>(
        std::clamp(BodyLength, MinBodyPiece, MaxBodyPiece),
        std::max<std::uint64_t>(Left, 1));
    const std::size_t Needed = BodyLength + Piece;
    std::size_t Capacity = Body.capacity();
    if (Needed > Capacity)
      Capacity = std::max<std::size_t>(
          Needed, std::min<std::uint64_t>(2 * Capacity, Announced));
    if (!holdMemory(HoldKind::Arriving, Capacity + Buffer.capacity()))
      return false;
    Body.reserve(Capacity);
    Body.resize(Needed);
    return true;
  }

  void onBodyRead(error_code Failure) {
    if (Evicted) {
      refuseForMemory();
      return;
    }
    if (Failure && Failure != http::error::need_buffer) {
      endReading();
      failRead(Failure);
      return;
    }
    if (Parser->get().body().data != nullptr)
      BodyLength = Body.size() - Parser->get().body().size;
    readBody();
  }

  void onRequestRead() {
    endReading();
    Body.resize(BodyLength);
    if (Presence->hasLeft()) {
      ++Owner.LeftBeforeRead;
      close();
    } else if (wellFramed()) {
      forward();
    } else {
      refuseRequest(Reason::InvalidRequest);
    }
  }

  /// \returns whether every HTTP implementation reads the request alike: it has
  /// one host, one length and no bytes after its end.
  [[nodiscard]] bool wellFramed() const {
    const http::request<http::buffer_body> &Message = Parser->get();
    const std::size_t ContentLengths =
        Message.count(http::field::content_length);
    const std::size_t TransferCodings =
        Message.count(http::field::transfer_encoding);
    if (Message.version() != 11 || Message.count(http::field::host) != 1 ||
        ContentLengths + TransferCodings > 1 || Buffer.size() > 0)
      return false;
    return (TransferCodings == 0 ||
            beast::iequals(Message[http::field::transfer_encoding],
                           "chunked")) &&
           Message.target().starts_with("/") && methodAllowsContent();
  }

  /// \returns false for a TRACE with a body (RFC 9110, 9.3.8) and for CONNECT,
  /// whose target is never a path and which turns the connection into a tunnel.
  [[nodiscard]] bool methodAllowsContent() const {
    const http::verb Method = Parser->get().method();
    return Method != http::verb::connect &&
           (Method != http::verb::trace || Body.empty());
  }

  void failRead(error_code Failure) {
    Closing = true;
    if (TimedOut)
      sendRefusal(Reason::SlowRequest);
    else if (Failure == http::error::header_limit ||
             Failure == http::error::buffer_overflow)
      sendRefusal(Reason::HeadersTooLarge);
    else if (Failure == http::error::body_limit)
      sendRefusal(Reason::TooLarge);
    else if (Failure.category() ==
                 make_error_code(http::error::bad_version).category() &&
             Failure != http::error::end_of_stream &&
             Failure != http::error::partial_message)
      sendRefusal(Reason::InvalidRequest);
    else
      close();
  }

  void forward() {
    Streaming = false;
    const http::request<http::buffer_body> &Message = Parser->get();
    KeepAlive = Message.keep_alive();
    CallerRequest Request;
    Request.Ticket = Ticket = CallerTicket{++Owner.LastTicket};
    Request.Method = std::string(Message.method_string());
    Request.Target = std::string(Message.target());
    Request.Host = std::string(Message[http::field::host]);
    for (const auto &Field : Message)
      Request.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Request.Authorization = std::string(Message[http::field::authorization]);
    Request.Key = std::string(Message["Idempotency-Key"]);
    Request.ContentType = std::string(Message[http::field::content_type]);
    Request.Body = std::exchange(Body, std::string());
    KeptBytes = Request.Body.capacity() + Buffer.capacity();
    static_cast<void>(holdMemory(HoldKind::Kept, KeptBytes));
    Request.Presence = Presence;
    Owner.AwaitingAnswer.emplace(Ticket, weak_from_this());
    markAnswering(true);
    Stream.expires_never();
    if (!Owner.Handler(CallerEvent(std::move(Request)))) {
      Owner.AwaitingAnswer.erase(Ticket);
      sendRefusal(Reason::ServiceLimit);
      return;
    }
    watchForDisconnect();
  }

  /// Detects that the caller disconnects before its answer is complete.
  void watchForDisconnect() {
    Stream.socket().async_wait(
        Tcp::socket::wait_read, [Self = shared_from_this(),
                                 WatchedTicket = Ticket](error_code Failure) {
          if (Failure || Self->Ticket != WatchedTicket || !Self->open())
            return;
          if (closedByPeer(Self->Stream.socket().native_handle()))
            Self->callerGone();
          else
            Self->watchBehindUnreadBytes();
        });
  }

  /// Bytes of a following request keep the socket readable, so that the end of
  /// the connection is looked for periodically. The wait also keeps the session
  /// alive, as the other watch does.
  void watchBehindUnreadBytes() {
    ReadTimer.expires_after(EarlyRequestCheckPeriod);
    ReadTimer.async_wait([Self = shared_from_this(),
                          WatchedTicket = Ticket](error_code Failure) {
      if (!Failure && Self->Ticket == WatchedTicket && Self->open())
        Self->watchForDisconnect();
    });
  }

  [[nodiscard]] bool open() const {
    return Owner.AwaitingAnswer.contains(Ticket);
  }

  /// \returns whether the answer has no body whatever its headers say: an
  /// answer to HEAD, and one with status 1xx, 204 or 304.
  [[nodiscard]] bool hasNoBody(std::uint16_t Status) const {
    const bool ToHead = Parser && Parser->get().method() == http::verb::head;
    return ToHead || Status < 200 || Status == NoContentStatus ||
           Status == NotModifiedStatus;
  }

  template <class Body>
  void fillHead(http::response<Body> &Out, const Answer &Content) {
    Out.version(11);
    Out.result(Content.Status);
    Out.set(http::field::server, "bronzeward");
    if (!Content.ContentType.empty())
      Out.set(http::field::content_type, Content.ContentType);
    for (const HeaderField &Field : Content.Headers)
      Out.insert(Field.Name, Field.Value);
    Out.keep_alive(KeepAlive && !Closing && !Owner.Draining);
  }

  void sendRefusal(Reason Cause) {
    sendWhole(refusalAnswer(RequestId{"none"}, {Outcome::NotRun, Cause, ""}));
  }

  void sendWhole(Answer Content) {
    Owner.AwaitingAnswer.erase(Ticket);
    dropBody();
    if (!holdMemory(HoldKind::Unread, Content.Body.size())) {
      Owner.noteMemoryShort("answer cut");
      close();
      return;
    }
    Whole = {};
    fillHead(Whole, Content);
    const bool Bodiless = hasNoBody(Content.Status);
    // An answer to HEAD states the length only if it is known; one with
    // status 1xx or 204 may not state any.
    if (!Bodiless || (Content.Status >= 200 && !Content.Body.empty() &&
                      Content.Status != NoContentStatus))
      Whole.content_length(Content.Body.size());
    if (!Bodiless)
      Whole.body() = std::move(Content.Body);
    WholeSerializer.emplace(Whole);
    Unaccepted = 0;
    writeWhole();
  }

  void writeWhole() {
    if (Unaccepted == 0) {
      Unaccepted = MinProgressBytes;
      Stream.expires_after(Owner.Limits.WriteTimeout);
    }
    WholeSerializer->limit(Unaccepted);
    http::async_write_some(
        Stream, *WholeSerializer,
        [Self = shared_from_this()](error_code Failure, std::size_t Written) {
          Self->Unaccepted -= std::min(Self->Unaccepted, Written);
          Self->Memory->Budget.onProgress(Self->Holder,
                                          std::chrono::steady_clock::now());
          Self->guarded([&] {
            if (Failure || Self->WholeSerializer->is_done())
              Self->onAnswerWritten(Failure);
            else
              Self->writeWhole();
          });
        });
  }

  void sendHead(const Answer &Content) {
    Head = {};
    fillHead(Head, Content);
    DropParts = hasNoBody(Content.Status);
    if (!DropParts)
      Head.chunked(true);
    Head.set(http::field::cache_control, "no-cache");
    Serializer.emplace(Head);
    Writing = true;
    Stream.expires_after(Owner.Limits.WriteTimeout);
    http::async_write_header(
        Stream, *Serializer,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->guarded([&] { Self->onPartWritten(Failure); });
        });
  }

  void enqueue(const std::string &Part) {
    if (!DropParts && !appendPart(Part))
      return;
    if (!Writing)
      writeParts();
  }

  /// \returns false if the caller is cut since there is no memory for the part.
  bool appendPart(const std::string &Part) {
    const std::size_t Length = PendingParts.size() + Part.size();
    // Growth in small steps, since the memory that a string takes by itself
    // may be twice its length.
    const std::size_t Capacity =
        Length <= PendingParts.capacity()
            ? PendingParts.capacity()
            : Length + std::max(Length / BacklogGrowthDivisor, Part.size());
    const std::size_t Backlog = PartsBeingWritten.capacity() + Capacity;
    if (Writing && !holdMemory(HoldKind::Unread, KeptBytes + Backlog)) {
      Owner.noteMemoryShort("stream cut");
      callerGone();
      return false;
    }
    PendingParts.reserve(Capacity);
    PendingParts += Part;
    return true;
  }

  void writeParts() {
    if (PendingParts.empty() && !Ending)
      return;
    Writing = true;
    PartsBeingWritten = PendingParts.substr(0, MinProgressBytes);
    PendingParts.erase(0, PartsBeingWritten.size());
    Stream.expires_after(Owner.Limits.WriteTimeout);
    const auto Done = [Self = shared_from_this()](error_code Failure,
                                                  std::size_t) {
      Self->guarded([&] { Self->onPartWritten(Failure); });
    };
    if (!PartsBeingWritten.empty()) {
      asio::async_write(
          Stream, http::make_chunk(asio::buffer(PartsBeingWritten)), Done);
      return;
    }
    Ending = false;
    Owner.AwaitingAnswer.erase(Ticket);
    if (DropParts) {
      Writing = false;
      onAnswerWritten({});
      return;
    }
    asio::async_write(
        Stream, http::make_chunk_last(),
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->Writing = false;
          Self->guarded([&] { Self->onAnswerWritten(Failure); });
        });
  }

  void onPartWritten(error_code Failure) {
    Writing = false;
    if (Failure) {
      callerGone();
      return;
    }
    Stream.expires_never();
    if (PendingParts.empty())
      static_cast<void>(holdMemory(HoldKind::Kept, KeptBytes));
    else
      Memory->Budget.onProgress(Holder, std::chrono::steady_clock::now());
    writeParts();
  }

  void markAnswering(bool Value) {
    if (IsAnswering == Value)
      return;
    IsAnswering = Value;
    Owner.Answering += Value ? 1 : -1;
  }

  void onAnswerWritten(error_code Failure) {
    markAnswering(false);
    WholeSerializer.reset();
    Whole = {};
    releaseMemory();
    if (Failure || Closing || !KeepAlive || Owner.Draining) {
      close();
      return;
    }
    awaitRequest();
  }

  CallerServer &Owner;
  beast::tcp_stream Stream;
  std::shared_ptr<ConnectionPresence> Presence;
  asio::steady_timer ReadTimer;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::buffer_body>> Parser;
  /// Space for the body, of which BodyLength bytes have arrived.
  std::string Body;
  std::size_t BodyLength = 0;
  /// Memory that the request takes until its answer is complete.
  std::size_t KeptBytes = 0;
  http::response<http::string_body> Whole;
  std::optional<http::response_serializer<http::string_body>> WholeSerializer;
  /// Bytes that the caller still has to accept before the write timeout.
  std::size_t Unaccepted = 0;
  http::response<http::empty_body> Head;
  std::optional<http::response_serializer<http::empty_body>> Serializer;
  CallerTicket Ticket;
  std::string PendingParts;
  std::string PartsBeingWritten;
  bool KeepAlive = true;
  /// Whether a request has begun to arrive and is not complete.
  bool Reading = false;
  bool TimedOut = false;
  bool Closing = false;
  /// Whether the present request is answered with a stream.
  bool Streaming = false;
  /// Whether the stream's head is all that is sent of it.
  bool DropParts = false;
  bool Writing = false;
  bool Ending = false;
  bool IsAnswering = false;
  /// Whether the arriving request gave up its memory.
  bool Evicted = false;
  std::shared_ptr<MemoryUse> Memory;
  HolderId Holder;
};

CallerServer::CallerServer(CallerLimits InitialLimits, EventHandler OnEvent,
                           asio::io_context *Shared)
    : Limits(InitialLimits), Handler(std::move(OnEvent)), Thread(Shared),
      Acceptor(Thread.context()), AcceptTimer(Thread.context()),
      Memory(std::make_shared<MemoryUse>(Limits.MaxHeldBytes)),
      Ring(Thread.context(), RingCapacity,
           [this](Outgoing &Item) { perform(Item); }) {}

CallerServer::~CallerServer() { Thread.stop(); }

Result<std::uint16_t> CallerServer::listen(const std::string &Host,
                                           std::uint16_t Port) {
  const std::string Address = Host + ":" + std::to_string(Port);
  error_code Failure;
  const Tcp::endpoint Endpoint(asio::ip::make_address(Host, Failure), Port);
  if (!Failure)
    Acceptor.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  if (!Failure)
    Acceptor.listen(ListenBacklog, Failure);
  if (!Failure)
    Acceptor.non_blocking(true, Failure);
  if (Failure) {
    error_code Ignored;
    Acceptor.close(Ignored);
    return fail(ErrorKind::Unavailable, "listen for callers", Address,
                Failure.message());
  }
  const std::uint16_t BoundPort = Acceptor.local_endpoint().port();
  accept();
  Thread.start();
  return BoundPort;
}

void CallerServer::accept() {
  Acceptor.async_accept([this](error_code Failure, Tcp::socket Socket) {
    if (Failure == asio::error::operation_aborted)
      return;
    if (Failure) {
      acceptLater();
      return;
    }
    serve(std::move(Socket));
    acceptWaiting();
    accept();
  });
}

void CallerServer::acceptWaiting() {
  for (int Count = 1; Count < AcceptBatch; ++Count) {
    error_code Failure;
    Tcp::socket Socket(Thread.context());
    Acceptor.accept(Socket, Failure);
    // A failure other than that none waits is handled where accept() meets it.
    if (Failure)
      return;
    serve(std::move(Socket));
  }
}

void CallerServer::acceptLater() {
  // Without free descriptors the connection stays in the queue, and the next
  // attempt would fail at once.
  AcceptTimer.expires_after(AcceptRetryDelay);
  AcceptTimer.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      accept();
  });
}

void CallerServer::serve(Tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  // Otherwise megabytes of an answer may wait in the kernel, and a slow caller
  // seems to accept nothing until a third of them are sent.
  using UnsentLimit =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
  Socket.set_option(UnsentLimit(static_cast<int>(MinProgressBytes)), Ignored);
  const std::shared_ptr<Session> NewSession =
      std::make_shared<Session>(*this, std::move(Socket));
  if (Connections > Limits.MaxConnections)
    NewSession->refuseConnection();
  else
    NewSession->start();
}

void CallerServer::setLimits(CallerLimits NewLimits) {
  asio::post(Thread.context(), [this, NewLimits] {
    Limits = NewLimits;
    Memory->Budget.setLimit(Limits.MaxHeldBytes);
  });
}

void CallerServer::drain() {
  asio::post(Thread.context(), [this] {
    Draining = true;
    const std::set<Session *> Closing = IdleSessions;
    for (Session *Item : Closing)
      Item->closeIfIdle();
  });
}

void CallerServer::push(Outgoing Item) {
  const CallerTicket To = Item.To;
  std::lock_guard<std::mutex> Guard(LostLock);
  if (Lost.contains(To) || Ring.push(std::move(Item)))
    return;
  // A later part would leave a hole in the caller's stream.
  Lost.insert(To);
  asio::post(Thread.context(), [this, To] { abandon(To); });
}

void CallerServer::abandon(CallerTicket To) {
  const auto Found = AwaitingAnswer.find(To);
  if (Found != AwaitingAnswer.end())
    if (const std::shared_ptr<Session> Target = Found->second.lock())
      Target->callerGone();
  std::lock_guard<std::mutex> Guard(LostLock);
  Lost.erase(To);
}

void CallerServer::answer(CallerTicket To, const Answer &Whole) {
  push({To, Step::Whole, Whole});
}

void CallerServer::beginStream(CallerTicket To, const Answer &Head) {
  push({To, Step::Begin, Head});
}

void CallerServer::sendPart(CallerTicket To, const std::string &Part) {
  Answer Content;
  Content.Body = Part;
  push({To, Step::Part, std::move(Content)});
}

void CallerServer::endStream(CallerTicket To, const std::string &LastPart) {
  Answer Content;
  Content.Body = LastPart;
  push({To, Step::End, std::move(Content)});
}

void CallerServer::disconnect(CallerTicket To) { push({To, Step::Close, {}}); }

bool CallerServer::holdMemory(HolderId Holder, HoldKind Kind,
                              std::size_t Bytes) {
  const MemoryVerdict Verdict = Memory->Budget.hold(
      Holder, Kind, Bytes, std::chrono::steady_clock::now());
  for (const HolderId &Item : Verdict.Evicted)
    if (const auto Found = Memory->Holders.find(Item);
        Found != Memory->Holders.end())
      Found->second->evict();
  Memory->HeldBytes = Memory->Budget.held();
  return Verdict.Granted;
}

void CallerServer::noteMemoryShort(const char *What) {
  ++MemoryRefusals;
  if (OnMemoryShort)
    OnMemoryShort(std::string(What) + ", callers hold " +
                  std::to_string(Memory->Budget.held()) + " of " +
                  std::to_string(Limits.MaxHeldBytes) + " bytes");
}

void CallerServer::perform(Outgoing &Item) {
  const auto Found = AwaitingAnswer.find(Item.To);
  if (Found == AwaitingAnswer.end())
    return;
  if (const std::shared_ptr<Session> Target = Found->second.lock())
    Target->perform(Item);
}

} // namespace bronzeward
