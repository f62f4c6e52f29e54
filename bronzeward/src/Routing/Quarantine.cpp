#include "bronzeward/src/Routing/Quarantine.h"

namespace bronzeward {

/// Crashes after which a content is quarantined.
constexpr int CrashesToQuarantine = 2;
/// Time after which a suspect or a quarantine expires.
constexpr Duration QuarantineTime = 10min;
/// Calls that break at one upstream within this time broke at the same crash.
constexpr Duration CrashSpan = 1s;
/// Maximum number of contents stored.
constexpr std::size_t MaxEntries = 4096;

void Quarantine::prune(TimePoint Now) {
  if (Entries.size() < MaxEntries)
    return;
  std::erase_if(Entries, [Now](const auto &Item) {
    return Now >= Item.second.Until && Now >= Item.second.LiftedUntil;
  });
  if (Entries.size() >= MaxEntries)
    Entries.erase(Entries.begin());
}

bool Quarantine::onCrash(const ContentFingerprint &Content,
                         const UpstreamName &Upstream, TimePoint Now) {
  prune(Now);
  Entry &Item = Entries[Content];
  if (Now >= Item.Until)
    Item.Crashes = 0;
  const bool Known = Item.Crashes > 0 && Item.LastCrashed == Upstream &&
                     Now < Item.LastCrashAt + CrashSpan;
  if (!Known)
    ++Item.Crashes;
  Item.LastCrashed = Upstream;
  Item.LastCrashAt = Now;
  Item.Until = Now + QuarantineTime;
  return Item.Crashes >= CrashesToQuarantine;
}

void Quarantine::onCompleted(const ContentFingerprint &Content) {
  const auto Found = Entries.find(Content);
  if (Found != Entries.end() && Found->second.Crashes < CrashesToQuarantine)
    Entries.erase(Found);
}

void Quarantine::onReported(const ContentFingerprint &Content, TimePoint Now) {
  prune(Now);
  Entry &Item = Entries[Content];
  if (Now < Item.LiftedUntil)
    return;
  // A report does not extend a quarantine; otherwise instances that report a
  // content to each other would renew it forever.
  if (Item.Crashes >= CrashesToQuarantine && Now < Item.Until)
    return;
  Item.Crashes = CrashesToQuarantine;
  Item.Until = Now + QuarantineTime;
}

void Quarantine::lift(const ContentFingerprint &Content, TimePoint Now) {
  Entry &Item = Entries[Content];
  Item.Crashes = 0;
  Item.Until = Now;
  Item.LiftedUntil = Now + QuarantineTime;
}

bool Quarantine::suspected(const ContentFingerprint &Content,
                           TimePoint Now) const {
  const auto Found = Entries.find(Content);
  return Found != Entries.end() && Found->second.Crashes > 0 &&
         Now < Found->second.Until;
}

bool Quarantine::quarantined(const ContentFingerprint &Content,
                             TimePoint Now) const {
  const auto Found = Entries.find(Content);
  return Found != Entries.end() && Now < Found->second.Until &&
         Found->second.Crashes >= CrashesToQuarantine;
}

std::vector<ContentFingerprint>
Quarantine::quarantinedContents(TimePoint Now) const {
  std::vector<ContentFingerprint> Contents;
  for (const auto &[Content, Item] : Entries)
    if (Item.Crashes >= CrashesToQuarantine && Now < Item.Until)
      Contents.push_back(Content);
  return Contents;
}

} // namespace bronzeward
