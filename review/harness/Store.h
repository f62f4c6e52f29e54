#pragma once

#include "review/harness/Http.h"

#include <boost/json.hpp>

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace review {

/// \brief Stand-in for the platform's metadata store.
class Store {
public:
  Store(std::string Ip, std::uint16_t Port);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  [[nodiscard]] bool listening() const { return Listener.open(); }
  /// \brief Writes a key as the operator or an engine.
  void put(const std::string &Key, const std::string &Value);
  /// \brief Removes a key as an engine that leaves.
  void remove(const std::string &Key);
  /// \returns the keys that begin with a prefix.
  [[nodiscard]] std::size_t count(const std::string &Prefix);
  /// \brief Is away for a moment and comes back from an old copy: what the
  /// system wrote since is lost, what the operator and the engines wrote is
  /// written again.
  /// \param Age age of the copy.
  void restoreCopy(std::chrono::milliseconds Age,
                   std::chrono::milliseconds Away);
  /// \returns the number of calls answered so far.
  [[nodiscard]] std::uint64_t calls() const { return Calls; }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::uint64_t Revision = 0;
    std::optional<Item> Written;
    Clock::time_point At;
  };
  struct Lease {
    std::chrono::milliseconds Length{0};
    Clock::time_point Granted;
    Clock::time_point Ends;
  };
  struct Reply {
    int Status = 200;
    boost::json::object Body;
  };

  void acceptLoop();
  void expireLoop();
  void serve(Socket Connection);
  Reply handle(const Message &Request);
  /// \returns whether a call exceeds the rates of the platform's store.
  bool exceedsRate(bool Writes);
  Reply readKey(const std::map<std::string, std::string> &Query);
  Reply readRange(const std::map<std::string, std::string> &Query);
  Reply watch(const std::map<std::string, std::string> &Query);
  Reply commit(const Message &Request);
  /// \returns the items that a transaction's conditions name.
  [[nodiscard]] boost::json::array
  presentItems(const boost::json::value &Transaction) const;
  Reply grantLease(const Message &Request);
  Reply keepLease(std::int64_t Number);
  void write(const std::string &Key, const std::string &Value,
             std::int64_t LeaseNumber);
  void erase(const std::string &Key);
  static boost::json::object describe(const std::string &Key, const Item &Held);

  std::string Ip;
  std::uint16_t Port;
  Socket Listener;
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::map<std::int64_t, Lease> Leases;
  static constexpr std::uint64_t FirstRevision = 100;
  std::uint64_t Revision = FirstRevision;
  std::int64_t LastLease = 70000;
  std::atomic<std::uint64_t> Era = 1;
  std::atomic<std::uint64_t> Calls = 0;
  Clock::time_point SecondBegin;
  int ReadsInSecond = 0;
  int WritesInSecond = 0;
  std::atomic<bool> IsAway = false;
  std::atomic<bool> Stopping = false;
  std::mutex ThreadsLock;
  std::list<std::thread> Threads;
};

} // namespace review
