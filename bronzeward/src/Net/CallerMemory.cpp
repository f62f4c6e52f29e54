#include "bronzeward/src/Net/CallerMemory.h"

#include <algorithm>

namespace bronzeward {

/// Maximum size of a holder that may use the reserved part.
constexpr std::size_t SmallBytes = 65536;
/// Fraction of the limit that is reserved for small holders: one divided by
/// this number.
constexpr std::size_t ReservedDivisor = 8;
/// Time without progress after which a holder lags.
constexpr Duration ArrivalGrace = 500ms;
/// Longer than for requests, since an answer that is cut has run.
constexpr Duration AnswerGrace = 5s;
/// A request that arrives more slowly than this lags.
constexpr double MinBytesPerSecond = 32768.0;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

bool CallerMemory::fits(std::size_t Bytes, std::size_t Others) const {
  const std::size_t Reserved =
      Bytes <= SmallBytes ? 0 : Limit / ReservedDivisor;
  return Others + Bytes + Reserved <= Limit;
}

MemoryVerdict CallerMemory::hold(HolderId Holder, HoldKind Kind,
                                 std::size_t Bytes, TimePoint Now) {
  const auto Found = Holdings.find(Holder);
  const std::size_t Before = Found == Holdings.end() ? 0 : Found->second.Bytes;
  const std::size_t Others = Held - Before;
  MemoryVerdict Verdict;
  if (Kind != HoldKind::Kept && Bytes > Before && !fits(Bytes, Others))
    Verdict = makeRoom(Holder, Bytes, Others, Now);
  if (!Verdict.Granted)
    return Verdict;
  Holding &Item = Holdings[Holder];
  if (Found == Holdings.end() || Item.Kind != Kind)
    Item.Since = Now;
  Held = Held - Before + Bytes;
  Item.Kind = Kind;
  Item.Bytes = Bytes;
  Item.LastProgress = Now;
  return Verdict;
}

void CallerMemory::onProgress(HolderId Holder, TimePoint Now) {
  const auto Found = Holdings.find(Holder);
  if (Found != Holdings.end())
    Found->second.LastProgress = Now;
}

void CallerMemory::release(HolderId Holder) {
  const auto Found = Holdings.find(Holder);
  if (Found == Holdings.end())
    return;
  Held -= Found->second.Bytes;
  Holdings.erase(Found);
}

std::vector<CallerMemory::Victim> CallerMemory::laggards(HolderId Except,
                                                         TimePoint Now) const {
  std::vector<Victim> Found;
  for (const auto &[Holder, Item] : Holdings) {
    if (Holder == Except || Item.Kind == HoldKind::Kept)
      continue;
    const Duration Idle = Now - Item.LastProgress;
    const Duration Age = Now - Item.Since;
    const bool Arriving = Item.Kind == HoldKind::Arriving;
    const bool Slow =
        Arriving && Age >= ArrivalGrace &&
        static_cast<double>(Item.Bytes) < MinBytesPerSecond * seconds(Age);
    if (Slow || Idle >= (Arriving ? ArrivalGrace : AnswerGrace))
      Found.push_back({Holder, Item.Kind, Item.Bytes,
                       static_cast<double>(Item.Bytes) * seconds(Age + Idle)});
  }
  std::sort(Found.begin(), Found.end(),
            [](const Victim &Left, const Victim &Right) {
              if (Left.Kind != Right.Kind)
                return Left.Kind == HoldKind::Arriving;
              return Left.Waste > Right.Waste;
            });
  return Found;
}

MemoryVerdict CallerMemory::makeRoom(HolderId For, std::size_t Bytes,
                                     std::size_t Others, TimePoint Now) {
  MemoryVerdict Verdict;
  for (const Victim &Item : laggards(For, Now)) {
    if (fits(Bytes, Others))
      break;
    Others -= Item.Bytes;
    Verdict.Evicted.push_back(Item.Holder);
  }
  Verdict.Granted = fits(Bytes, Others);
  if (!Verdict.Granted)
    Verdict.Evicted.clear();
  for (const HolderId &Holder : Verdict.Evicted)
    release(Holder);
  return Verdict;
}

} // namespace bronzeward
