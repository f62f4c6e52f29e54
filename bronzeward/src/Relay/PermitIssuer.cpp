#include "bronzeward/src/Relay/PermitIssuer.h"

#include <algorithm>

namespace bronzeward {

/// How far ahead permits are issued.
constexpr Duration MaxAhead = 250ms;
/// Most permits for one request.
constexpr std::uint32_t MaxPermits = 64;
/// Time after which the schedule of an upstream without requests is dropped.
constexpr Duration ScheduleRetention = 1min;

void PermitIssuer::onMembers(const std::vector<Member> &Members,
                             Duration Settling, TimePoint Now) {
  MemberSet Latest{Now, Now + Settling, {}};
  for (const Member &Item : Members)
    if (!Item.Leaving)
      Latest.Instances.push_back(Item.Identity.Instance);
  std::sort(Latest.Instances.begin(), Latest.Instances.end());
  if (!History.empty() && Latest.Instances == History.back().Instances)
    return;
  History.push_back(std::move(Latest));
  while (History.size() > 1 && History[1].SettledAt <= Now)
    History.pop_front();
  std::erase_if(Schedules, [this](const auto &Item) {
    return issuerOf(Item.first) != Self;
  });
}

InstanceId PermitIssuer::issuerAmong(const MemberSet &Set,
                                     const UpstreamRun &Run) const {
  if (Set.Instances.empty())
    return Self;
  const std::uint64_t Seed = hash64(
      Run.Name.Value,
      static_cast<std::uint64_t>(Run.Started.time_since_epoch().count()));
  return *std::max_element(
      Set.Instances.begin(), Set.Instances.end(),
      [Seed](const InstanceId &Left, const InstanceId &Right) {
        return hash64(Left.Value, Seed) < hash64(Right.Value, Seed);
      });
}

InstanceId PermitIssuer::issuerOf(const UpstreamRun &Run) const {
  return History.empty() ? Self : issuerAmong(History.back(), Run);
}

TimePoint PermitIssuer::issuesFrom(const UpstreamRun &Run) const {
  TimePoint From;
  for (auto Set = History.rbegin(); Set != History.rend(); ++Set) {
    if (issuerAmong(*Set, Run) != Self)
      break;
    From = Set->SettledAt;
  }
  return From;
}

IssuedPermits PermitIssuer::issue(const UpstreamRun &Run, CallRate Rate,
                                  std::uint32_t Wanted, TimePoint Now) {
  IssuedPermits Result;
  const Duration Interval = PermitSchedule::interval(Rate);
  Result.NextFree = std::max(issuesFrom(Run), Now + Interval);
  Result.Issuing =
      issuerOf(Run) == Self && issuesFrom(Run) <= Now && Now < StopAt;
  if (!Result.Issuing)
    return Result;
  std::erase_if(Schedules, [Now](const auto &Item) {
    return Now > Item.second.last() + ScheduleRetention;
  });
  // Calls that were sent before the limit was known count too, so that the
  // first permit is issued one interval later.
  PermitSchedule &Schedule = Schedules.try_emplace(Run, Now).first->second;
  for (std::uint32_t Count = std::min(Wanted, MaxPermits);
       Count > 0 && Schedule.next(Rate) <= Now + MaxAhead; --Count)
    Result.UsableFrom.push_back(Schedule.take(Rate, Now));
  Result.NextFree = std::max(Schedule.next(Rate), Now);
  return Result;
}

} // namespace bronzeward
