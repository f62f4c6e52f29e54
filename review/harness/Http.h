#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// \brief A request or an answer of HTTP/1.1.
struct Message {
  std::string Method;
  std::string Target;
  int Status = 0;
  Headers Fields;
  std::string Body;
  /// Whether the whole message was read.
  bool Whole = false;

  /// \returns the value of a header; empty if there is none.
  [[nodiscard]] std::string field(const std::string &Name) const;
};

/// \brief A TCP socket that is closed with its owner.
class Socket {
public:
  explicit Socket(int Opened = -1) : Descriptor(Opened) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket() { close(); }

  [[nodiscard]] bool open() const { return Descriptor >= 0; }
  [[nodiscard]] int descriptor() const { return Descriptor; }
  void close();
  /// \brief Closes the connection with a reset.
  void reset();

private:
  int Descriptor;
};

/// \returns a socket that listens at an address; closed on failure.
Socket listenAt(const std::string &Ip, std::uint16_t Port);
/// \returns a connected socket; closed on failure.
Socket connectTo(const std::string &Ip, std::uint16_t Port,
                 std::chrono::milliseconds Timeout);
/// \returns the next connection; closed if none arrived in time.
Socket acceptFrom(const Socket &Listener, std::chrono::milliseconds Timeout);

/// \brief Reads messages from one connection.
class Reader {
public:
  /// \param Stop is asked every few milliseconds whether to give up.
  Reader(const Socket &Source, std::function<bool()> Stop)
      : From(Source), Stopped(std::move(Stop)) {}

  Message readRequest();
  Message readAnswer();

private:
  [[nodiscard]] bool fill();
  [[nodiscard]] bool readLine(std::string &Line);
  [[nodiscard]] bool readBytes(std::size_t Count, std::string &Out);
  [[nodiscard]] bool readHead(Message &Out);
  [[nodiscard]] bool readBody(Message &Out, bool UntilClosed);

  const Socket &From;
  std::function<bool()> Stopped;
  std::string Buffered;
};

/// \returns whether the peer closed the connection.
bool closedByPeer(const Socket &Connection);
/// \returns whether all bytes were sent.
bool sendAll(const Socket &To, const std::string &Bytes);
std::string requestText(const std::string &Method, const std::string &Target,
                        const Headers &Fields, const std::string &Body);
std::string answerText(int Status, const Headers &Fields,
                       const std::string &Body);

} // namespace review
