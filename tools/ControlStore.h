#pragma once

#include "bronzeward/Ledger"
#include "bronzeward/Net"
#include "daemons/Settings.h"

namespace bronzeward::tools {

/// \brief One finished HTTP exchange.
struct HttpReply {
  std::uint16_t Status = 0;
  std::string Body;
};

/// \brief Sends one HTTP request and waits for its answer.
[[nodiscard]] Result<HttpReply> exchange(HttpRequest Request);

/// \brief The platform's store, one blocking call at a time.
class ControlStore {
public:
  /// \param Form published form that the store speaks.
  ControlStore(SocketAddress Where, const StoreCodec &Form)
      : Place(std::move(Where)), Codec(Form) {}

  /// \brief Makes one call. A reply that is lost has the status Unknown.
  [[nodiscard]] StoreReply call(const StoreCall &Call);

  /// \returns every key under a prefix. Pages after one that cannot be read
  /// are missing.
  [[nodiscard]] std::vector<StoreEntry> list(const std::string &Prefix);

  /// \returns the value and revision of a key; nothing where it is absent.
  [[nodiscard]] Result<std::optional<StoreEntry>> read(const std::string &Key);

  /// \returns the store's address, for messages.
  [[nodiscard]] std::string address() const {
    return Place.Host + ":" + std::to_string(Place.Port);
  }

private:
  SocketAddress Place;
  const StoreCodec &Codec;
};

} // namespace bronzeward::tools
