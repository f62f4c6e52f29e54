#include "review/harness/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

/// Time between two questions whether to give up.
constexpr int PollMs = 10;

std::string Message::field(const std::string &Name) const {
  for (const auto &[Key, Value] : Fields)
    if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return {};
}

Socket::Socket(Socket &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  close();
  Descriptor = std::exchange(Other.Descriptor, -1);
  return *this;
}

void Socket::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

void Socket::reset() {
  const linger Abort{1, 0};
  if (Descriptor >= 0)
    ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  close();
}

static sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

static const sockaddr *generic(const sockaddr_in &Address) {
  return reinterpret_cast<const sockaddr *>(&Address);
}

Socket listenAt(const std::string &Ip, std::uint16_t Port) {
  Socket Made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int On = 1;
  ::setsockopt(Made.descriptor(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(Ip, Port);
  if (::bind(Made.descriptor(), generic(Address), sizeof(Address)) != 0 ||
      ::listen(Made.descriptor(), 1024) != 0)
    Made.close();
  return Made;
}

static void setNoDelay(const Socket &Item) {
  const int On = 1;
  ::setsockopt(Item.descriptor(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

Socket connectTo(const std::string &Ip, std::uint16_t Port,
                 std::chrono::milliseconds Timeout) {
  Socket Made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in Address = addressOf(Ip, Port);
  const bool Begun =
      ::connect(Made.descriptor(), generic(Address), sizeof(Address)) == 0 ||
      errno == EINPROGRESS;
  pollfd State{Made.descriptor(), POLLOUT, 0};
  int Failure = 0;
  socklen_t Length = sizeof(Failure);
  const bool Done = Begun &&
                    ::poll(&State, 1, static_cast<int>(Timeout.count())) == 1 &&
                    ::getsockopt(Made.descriptor(), SOL_SOCKET, SO_ERROR,
                                 &Failure, &Length) == 0 &&
                    Failure == 0;
  if (!Done) {
    Made.close();
    return Made;
  }
  const int Flags = ::fcntl(Made.descriptor(), F_GETFL);
  ::fcntl(Made.descriptor(), F_SETFL, Flags & ~O_NONBLOCK);
  setNoDelay(Made);
  return Made;
}

Socket acceptFrom(const Socket &Listener, std::chrono::milliseconds Timeout) {
  pollfd State{Listener.descriptor(), POLLIN, 0};
  if (::poll(&State, 1, static_cast<int>(Timeout.count())) != 1)
    return Socket();
  Socket Made(::accept4(Listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  if (Made.open())
    setNoDelay(Made);
  return Made;
}

bool Reader::fill() {
  while (!Stopped()) {
    pollfd State{From.descriptor(), POLLIN, 0};
    if (::poll(&State, 1, PollMs) == 0)
      continue;
    std::array<char, 65536> Chunk{};
    const ssize_t Length =
        ::recv(From.descriptor(), Chunk.data(), Chunk.size(), 0);
    if (Length <= 0)
      return false;
    Buffered.append(Chunk.data(), static_cast<std::size_t>(Length));
    return true;
  }
  return false;
}

bool Reader::readLine(std::string &Line) {
  std::size_t End = Buffered.find("\r\n");
  while (End == std::string::npos) {
    if (!fill())
      return false;
    End = Buffered.find("\r\n");
  }
  Line = Buffered.substr(0, End);
  Buffered.erase(0, End + 2);
  return true;
}

bool Reader::readBytes(std::size_t Count, std::string &Out) {
  while (Buffered.size() < Count)
    if (!fill())
      return false;
  Out.append(Buffered, 0, Count);
  Buffered.erase(0, Count);
  return true;
}

bool Reader::readHead(Message &Out) {
  std::string Line;
  while (readLine(Line)) {
    if (Line.empty())
      return true;
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    const std::size_t Begin = Line.find_first_not_of(' ', Colon + 1);
    Out.Fields.emplace_back(Line.substr(0, Colon), Begin == std::string::npos
                                                       ? std::string()
                                                       : Line.substr(Begin));
  }
  return false;
}

bool Reader::readBody(Message &Out, bool UntilClosed) {
  if (::strcasecmp(Out.field("Transfer-Encoding").c_str(), "chunked") == 0) {
    std::string Line;
    while (readLine(Line)) {
      const std::size_t Size = std::stoul(Line, nullptr, 16);
      std::string End;
      if (!readBytes(Size, Out.Body) || !readBytes(2, End))
        return false;
      if (Size == 0)
        return true;
    }
    return false;
  }
  const std::string Length = Out.field("Content-Length");
  if (!Length.empty())
    return readBytes(std::stoul(Length), Out.Body);
  return !UntilClosed;
}

Message Reader::readRequest() {
  Message Out;
  std::string Line;
  if (!readLine(Line))
    return Out;
  const std::size_t First = Line.find(' ');
  const std::size_t Second = Line.rfind(' ');
  if (First == std::string::npos || Second <= First)
    return Out;
  Out.Method = Line.substr(0, First);
  Out.Target = Line.substr(First + 1, Second - First - 1);
  Out.Whole = readHead(Out) && readBody(Out, false);
  return Out;
}

Message Reader::readAnswer() {
  Message Out;
  std::string Line;
  if (!readLine(Line) || Line.size() < 12)
    return Out;
  Out.Status = std::stoi(Line.substr(9, 3));
  Out.Whole = readHead(Out) && readBody(Out, true);
  return Out;
}

bool closedByPeer(const Socket &Connection) {
  pollfd State{Connection.descriptor(), POLLRDHUP, 0};
  return ::poll(&State, 1, 0) > 0;
}

bool sendAll(const Socket &To, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count = ::send(To.descriptor(), Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

static std::string fieldLines(const Headers &Fields) {
  std::string Text;
  for (const auto &[Name, Value] : Fields)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text;
}

std::string requestText(const std::string &Method, const std::string &Target,
                        const Headers &Fields, const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  Text += fieldLines(Fields);
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

std::string answerText(int Status, const Headers &Fields,
                       const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" +
         fieldLines(Fields) + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace review
