#pragma once

#include "bronzeward/Store"

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace bronzeward::standins {

/// \brief Keys, revisions and leases of the stand-in for the platform's store.
class KeyValueState {
public:
  struct Entry {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Version = 0;
    std::int64_t Lease = 0;
  };

  /// \brief Carries out one call of etcd's v3 JSON gateway.
  /// \returns the reply, or nothing for an unknown path or a bad body.
  std::optional<boost::json::object>
  call(const std::string &Target, const std::string &Body, TimePoint Now);
  /// \brief Deletes the keys of lapsed leases.
  void expire(TimePoint Now);

  [[nodiscard]] const std::map<std::string, Entry> &entries() const {
    return Entries;
  }

private:
  struct Lease {
    std::chrono::seconds TimeToLive{0};
    TimePoint Until;
  };

  boost::json::object range(const boost::json::object &In) const;
  boost::json::object transact(const boost::json::object &In);
  boost::json::object remove(const boost::json::object &In);
  boost::json::object grant(const boost::json::object &In, TimePoint Now);
  boost::json::object keepAlive(const boost::json::object &In, TimePoint Now);
  [[nodiscard]] boost::json::object header() const;
  [[nodiscard]] bool holds(const boost::json::object &Compare) const;

  std::map<std::string, Entry> Entries;
  std::map<std::int64_t, Lease> Leases;
  std::uint64_t Revision = 1;
  std::int64_t LastLease = 1000;
};

} // namespace bronzeward::standins
