#pragma once

#include "bronzeward/src/Store/StoreClient.h"

#include <functional>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief One key of the store that several instances read and then write. A
/// write fails if the key has changed since it was read.
class StoreRecord {
public:
  /// \param Text value of the key; nothing if there is none.
  using ReadHandler =
      std::function<void(const std::optional<std::string> &Text, TimePoint)>;
  using WrittenHandler = std::function<void(TimePoint)>;
  using FailureHandler = std::function<void(TimePoint)>;

  /// \param OnFailure called when a call failed or a write conflicted.
  StoreRecord(std::string Name, StoreClient &Client, FailureHandler OnFailure)
      : Key(std::move(Name)), Store(Client), Failed(std::move(OnFailure)) {}

  /// \returns whether a call is under way.
  [[nodiscard]] bool busy() const { return Busy; }
  void read(TimePoint Now, ReadHandler Done);
  /// \brief Replaces what was read last.
  void write(const std::string &Text, TimePoint Now, WrittenHandler Done);

private:
  std::string Key;
  StoreClient &Store;
  FailureHandler Failed;
  std::uint64_t RevisionRead = 0;
  bool Busy = false;
};

} // namespace bronzeward
