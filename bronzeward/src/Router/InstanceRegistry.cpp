#include "bronzeward/src/Router/InstanceRegistry.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

/// Time after which the entry of an instance that no longer extends its lease
/// is deleted.
constexpr std::chrono::seconds LeaseDuration{10};
/// Time between two extensions of the lease.
constexpr Duration KeepAlivePeriod = 3s;
/// Time between two reads of the list: a base plus an amount per member, so
/// that an instance of a large fleet reads about as many entries per second as
/// one of a small fleet.
constexpr Duration ListPeriod = 2s;
constexpr Duration ListPeriodPerMember = 20ms;
/// Longest delay before a failed call is repeated.
constexpr Duration MaxRetryDelay = 1s;

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
    const std::uint64_t Registration =
        Value.at("life").to_number<std::uint64_t>();
    Item.Identity.Epoch = (Registration == 0 ? Entry.Revision : Registration)
                          << RegistrationShift;
    Item.Domain.Value = Value.at("failure_domain").as_string().c_str();
    Item.PeerAddress = Value.at("peer_address").as_string().c_str();
    Item.Leaving = Value.at("leaving").as_bool();
    // Entries written by earlier versions lack the field.
    if (const json::value *Capacity = Value.as_object().if_contains("capacity"))
      Item.Capacity = Capacity->to_number<double>();
    return Item;
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse instance entry", Entry.Key,
                Failure.what());
  }
}

InstanceRegistry::InstanceRegistry(Member Own, StoreClient &Client,
                                   TimerQueue &Queue, Random &RandomSource)
    : Self(std::move(Own)), Store(Client), Timers(Queue), Jitter(RandomSource) {
}

std::string InstanceRegistry::ownKey() const {
  return InstancePrefix + Self.Identity.Instance.Value;
}

void InstanceRegistry::start(TimePoint Now, RegisteredHandler OnRegistered,
                             ListedHandler OnListed) {
  RegisteredCallback = std::move(OnRegistered);
  ListedCallback = std::move(OnListed);
  obtainLease(Now);
  list(Now);
}

void InstanceRegistry::retry(TimePoint Now) {
  const double Fraction = 0.5 + 0.5 * Jitter.unit();
  Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(MaxRetryDelay * Fraction),
      [this](TimePoint At) { obtainLease(At); });
}

void InstanceRegistry::obtainLease(TimePoint Now) {
  if (Removed)
    return;
  Store.call(GrantLease{LeaseDuration}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status != StoreStatus::Ok) {
                 retry(At);
                 return;
               }
               Lease = Reply.Lease;
               // In most cases there is no entry of this name, or this
               // incarnation wrote it. Otherwise the write conflicts and the
               // entry is read.
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
  if (!HasIncarnation) {
    HasIncarnation = true;
    Self.Identity.Epoch = OwnRevision << RegistrationShift;
    RegisteredCallback(Self.Identity, Now);
    // The next periodic read is seconds away, and may not show this entry yet.
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
                 // The lease expired; the incarnation continues under a new
                 // one.
                 obtainLease(At);
                 return;
               }
               Timers.schedule(At + KeepAlivePeriod,
                               [this](TimePoint Due) { keepAlive(Due); });
             });
}

Duration InstanceRegistry::listPeriod(std::size_t Members) {
  return ListPeriod + static_cast<int>(Members) * ListPeriodPerMember;
}

void InstanceRegistry::list(TimePoint Now) {
  readList(true, Now);
  Timers.schedule(
      Now + (HasIncarnation ? listPeriod(Listed.size()) : MaxRetryDelay),
      [this](TimePoint Due) { list(Due); });
}

void InstanceRegistry::readList(bool MayBeStale, TimePoint Now) {
  Store.call(ListKeys{InstancePrefix, "", MayBeStale}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Ok)
                 applyList(Reply, At);
             });
}

void InstanceRegistry::applyList(const StoreReply &Reply, TimePoint Now) {
  std::map<InstanceId, Member> Latest;
  for (const StoreEntry &Entry : Reply.Entries) {
    const Result<Member> Item = parseMember(Entry);
    if (Item)
      Latest[Item.value().Identity.Instance] = Item.value();
  }
  if (Reply.Truncated)
    Latest.merge(Listed);
  Listed = std::move(Latest);
  std::vector<Member> Members;
  for (const auto &[Name, Item] : Listed)
    Members.push_back(Item);
  ListedCallback(std::move(Members), Now);
}

void InstanceRegistry::leave(TimePoint Now) {
  Self.Leaving = true;
  if (HasIncarnation)
    readOwnEntry(Now);
}

void InstanceRegistry::remove(TimePoint Now) {
  Removed = true;
  Store.call(DeleteKey{ownKey()}, Now, [](const StoreReply &, TimePoint) {});
}

} // namespace bronzeward
