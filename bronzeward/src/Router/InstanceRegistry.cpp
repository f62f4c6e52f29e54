#include "bronzeward/src/Router/InstanceRegistry.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

/// Time after which a silent instance drops off the list.
constexpr std::chrono::seconds LeaseTime{10};
/// Time between two extensions of the lease.
constexpr Duration KeepAlivePeriod = 3s;
/// Time between two readings of the list: a base, and a part for each member,
/// so that an instance reads as much in a large fleet as in a small one.
constexpr Duration ListPeriod = 2s;
constexpr Duration ListPeriodPerMember = 20ms;
/// Longest pause before a failed call is repeated.
constexpr Duration RetryPause = 1s;

std::string encodeMember(const Member &Item) {
  return json::serialize(json::object{{"life", registrationOf(Item.Identity)},
                                      {"failure_domain", Item.Domain.Value},
                                      {"peer_address", Item.PeerAddress},
                                      {"leaving", Item.Leaving},
                                      {"capacity", Item.Capacity}});
}

Result<Member> parseMember(const StoreEntry &Entry) {
  try {
    const json::value Value = json::parse(Entry.Value);
    Member Item;
    Item.Identity.Instance.Value =
        Entry.Key.substr(std::string_view(InstancePrefix).size());
    const std::uint64_t Life = Value.at("life").to_number<std::uint64_t>();
    Item.Identity.Epoch = (Life == 0 ? Entry.Revision : Life)
                          << RegistrationShift;
    Item.Domain.Value = Value.at("failure_domain").as_string().c_str();
    Item.PeerAddress = Value.at("peer_address").as_string().c_str();
    Item.Leaving = Value.at("leaving").as_bool();
    // Missing in entries of earlier versions.
    if (const json::value *Stated = Value.as_object().if_contains("capacity"))
      Item.Capacity = Stated->to_number<double>();
    return Item;
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse instance entry", Entry.Key,
                Failure.what());
  }
}

InstanceRegistry::InstanceRegistry(Member Own, StoreClient &Client,
                                   TimerQueue &Queue, Random &Source)
    : Self(std::move(Own)), Store(Client), Timers(Queue), Jitter(Source) {}

std::string InstanceRegistry::ownKey() const {
  return InstancePrefix + Self.Identity.Instance.Value;
}

void InstanceRegistry::start(TimePoint Now, RegisteredHandler OnRegistered,
                             ListedHandler OnListed) {
  Registered = std::move(OnRegistered);
  Listed = std::move(OnListed);
  obtainLease(Now);
  list(Now);
}

void InstanceRegistry::retry(TimePoint Now) {
  const double Share = 0.5 + 0.5 * Jitter.unit();
  Timers.schedule(Now +
                      std::chrono::duration_cast<Duration>(RetryPause * Share),
                  [this](TimePoint At) { obtainLease(At); });
}

void InstanceRegistry::obtainLease(TimePoint Now) {
  if (Removed)
    return;
  Store.call(GrantLease{LeaseTime}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status != StoreStatus::Ok) {
                 retry(At);
                 return;
               }
               Lease = Reply.Lease;
               // Mostly the name is free, or its entry is of this life.
               writeOwnEntry(OwnRevision, At);
             });
}

void InstanceRegistry::readOwnEntry(TimePoint Now) {
  Store.call(
      ReadKey{ownKey()}, Now, [this](const StoreReply &Reply, TimePoint At) {
        if (Reply.Status != StoreStatus::Ok) {
          retry(At);
          return;
        }
        writeOwnEntry(
            Reply.Entries.empty() ? 0 : Reply.Entries.front().Revision, At);
      });
}

void InstanceRegistry::writeOwnEntry(std::uint64_t ExpectedRevision,
                                     TimePoint Now) {
  Store.call(
      CompareAndSwap{ownKey(), encodeMember(Self), ExpectedRevision, Lease},
      Now, [this](const StoreReply &Reply, TimePoint At) {
        if (Reply.Status == StoreStatus::Conflict) {
          readOwnEntry(At);
          return;
        }
        if (Reply.Status != StoreStatus::Ok) {
          retry(At);
          return;
        }
        OwnRevision = Reply.Revision;
        onWritten(At);
      });
}

void InstanceRegistry::onWritten(TimePoint Now) {
  if (!Announced) {
    Announced = true;
    Self.Identity.Epoch = OwnRevision << RegistrationShift;
    Registered(Self.Identity, Now);
    // The next periodic list is seconds away, and may not have this entry yet.
    readList(false, Now);
  }
  Timers.schedule(Now + KeepAlivePeriod,
                  [this](TimePoint Due) { keepAlive(Due); });
}

void InstanceRegistry::keepAlive(TimePoint Now) {
  if (Removed)
    return;
  Store.call(KeepAlive{Lease}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Conflict) {
                 // The lease lapsed; the life goes on under a new one.
                 obtainLease(At);
                 return;
               }
               Timers.schedule(At + KeepAlivePeriod,
                               [this](TimePoint Due) { keepAlive(Due); });
             });
}

void InstanceRegistry::list(TimePoint Now) {
  readList(true, Now);
  const Duration Steady = ListPeriod + ListedMembers * ListPeriodPerMember;
  Timers.schedule(Now + (Announced ? Steady : RetryPause),
                  [this](TimePoint Due) { list(Due); });
}

void InstanceRegistry::readList(bool MayBeStale, TimePoint Now) {
  Store.call(ListKeys{InstancePrefix, "", MayBeStale}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Ok)
                 takeList(Reply.Entries, At);
             });
}

void InstanceRegistry::takeList(const std::vector<StoreEntry> &Entries,
                                TimePoint Now) {
  std::vector<Member> Members;
  for (const StoreEntry &Entry : Entries) {
    Result<Member> Item = parseMember(Entry);
    if (Item)
      Members.push_back(std::move(Item).value());
  }
  ListedMembers = static_cast<int>(Members.size());
  Listed(std::move(Members), Now);
}

void InstanceRegistry::leave(TimePoint Now) {
  Self.Leaving = true;
  if (Announced)
    readOwnEntry(Now);
}

void InstanceRegistry::remove(TimePoint Now) {
  Removed = true;
  Store.call(DeleteKey{ownKey()}, Now, [](const StoreReply &, TimePoint) {});
}

} // namespace bronzeward
