#include "bench/EngineModel.h"

#include <algorithm>

namespace bronzeward::bench {

/// Bytes of prompt in one token.
constexpr std::int64_t BytesPerToken = 4;

void EngineModel::submit(EngineJob Job, TimePoint Now) {
  Waiting.push_back(std::move(Job));
  startNext(Now);
}

LoadReport EngineModel::load(TimePoint Now) const {
  return {static_cast<std::int64_t>(Running),
          static_cast<std::int64_t>(Waiting.size()), Now};
}

void EngineModel::startNext(TimePoint Now) {
  while (!Waiting.empty() && Running < Costs.Slots) {
    ++Running;
    Prefilling.push_back(std::move(Waiting.front()));
    Waiting.pop_front();
  }
  prefillNext(Now);
}

void EngineModel::prefillNext(TimePoint Now) {
  if (PrefillBusy || Prefilling.empty())
    return;
  PrefillBusy = true;
  EngineJob Job = std::move(Prefilling.front());
  Prefilling.pop_front();
  const std::int64_t Cached =
      std::min(Job.PromptTokens,
               static_cast<std::int64_t>(Cache.matching(Job.Blocks) *
                                         PrefixBlockBytes / BytesPerToken));
  Cache.insert(Job.Blocks);
  const Duration Time = Costs.PrefillToken * (Job.PromptTokens - Cached);
  Timers.schedule(Now + Time,
                  [this, Cached, Moved = std::move(Job)](TimePoint At) mutable {
                    PrefillBusy = false;
                    Moved.OnFirst(At, Cached);
                    decode(std::move(Moved), At);
                    prefillNext(At);
                  });
}

void EngineModel::decode(EngineJob Job, TimePoint Now) {
  const double Share =
      static_cast<double>(Running) / static_cast<double>(Costs.Slots);
  const Duration Token = std::chrono::duration_cast<Duration>(
      Costs.OutputToken * (1.0 + Costs.BatchSlowdown * Share));
  const TimePoint End = Now + Token * Job.OutputTokens;
  Timers.schedule(End, [this, Token, Moved = std::move(Job)](TimePoint At) {
    --Running;
    Moved.OnEnd(At, Token);
    startNext(At);
  });
}

} // namespace bronzeward::bench
