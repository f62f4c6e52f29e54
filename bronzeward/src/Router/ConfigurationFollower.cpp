#include "bronzeward/src/Router/ConfigurationFollower.h"

namespace bronzeward {

/// Instances of each failure domain that read the head record often.
constexpr std::size_t FrequentReadersPerDomain = 2;
/// Time between reads by those instances, and by the others.
constexpr Duration FrequentReadPeriod = 500ms;
constexpr Duration RareReadPeriod = 10s;

ConfigurationFollower::ConfigurationFollower(InstanceId Name,
                                             FailureDomain OwnDomain,
                                             const Membership &Listed,
                                             StoreClient &Client, PeerPort &Out,
                                             TimerQueue &Queue)
    : Self(std::move(Name)), Domain(std::move(OwnDomain)), Members(Listed),
      Store(Client), Peers(Out), Timers(Queue) {}

void ConfigurationFollower::start(TimePoint Now, AcceptedHandler OnAccepted) {
  Accepted = std::move(OnAccepted);
  poll(Now);
}

bool ConfigurationFollower::isFrequentReader() const {
  if (Version.Number == 0)
    return true;
  std::size_t Preceding = 0;
  for (const Member &Item : Members.members())
    if (Item.Domain == Domain && !Item.Leaving && Item.Identity.Instance < Self)
      ++Preceding;
  return Preceding < FrequentReadersPerDomain;
}

void ConfigurationFollower::poll(TimePoint Now) {
  Store.call(ReadKey{ConfigurationKey}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               onHead(Reply, At);
               const Duration Period =
                   isFrequentReader() ? FrequentReadPeriod : RareReadPeriod;
               Timers.schedule(At + Period,
                               [this](TimePoint Due) { poll(Due); });
             });
}

void ConfigurationFollower::onHead(const StoreReply &Reply, TimePoint Now) {
  if (Reply.Status != StoreStatus::Ok || Reply.Entries.empty())
    return;
  const Result<ConfigurationHead> Head =
      parseConfigurationHead(Reply.Entries.front().Value);
  if (Head && Head.value().Current.Version > Version)
    readText(Head.value().Current, Now);
}

void ConfigurationFollower::readText(const ConfigurationRevision &Revision,
                                     TimePoint Now) {
  Store.call(ReadKey{archiveKey(Revision.TextDigest)}, Now,
             [this, Revision](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Ok && !Reply.Entries.empty())
                 accept(Revision.Version, Reply.Entries.front().Value, At);
             });
}

void ConfigurationFollower::accept(ConfigurationVersion Newer,
                                   const std::string &Text, TimePoint Now) {
  if (Newer <= Version)
    return;
  auto Parsed = parseConfiguration(Text);
  if (!Parsed)
    return;
  Version = Newer;
  CurrentText = Text;
  Accepted(Version, std::move(Parsed).value(), Now);
}

void ConfigurationFollower::onDigest(const InstanceId &From,
                                     const PeerDigest &Message, TimePoint Now) {
  if (Message.Configuration <= Version || !Pull.mayAsk(From, Now))
    return;
  Pull.onAsked(From, Now);
  Peers.send(From, ConfigurationRequest{});
}

void ConfigurationFollower::onText(const InstanceId &From,
                                   const ConfigurationText &Message,
                                   TimePoint Now) {
  Pull.onArrived(From);
  const Result<std::string> Text = unpackText(Message.Text);
  if (Text)
    accept(Message.Version, Text.value(), Now);
}

void ConfigurationFollower::onRequest(const InstanceId &From) {
  if (Version.Number > 0)
    Peers.send(From, ConfigurationText{Version, packText(CurrentText)});
}

} // namespace bronzeward
