#pragma once

#include "bronzeward/Routing"

#include <deque>
#include <functional>
#include <list>

namespace bronzeward::bench {

/// \brief One request as an engine sees it.
struct EngineJob {
  PrefixBlocks Blocks;
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;
  /// Called at the first token, with the cached tokens.
  std::function<void(TimePoint, std::int64_t)> OnFirst;
  /// Called at the end, with the mean time between tokens.
  std::function<void(TimePoint, Duration)> OnEnd;
};

/// \brief What an engine costs.
struct EngineCosts {
  std::size_t Slots = 16;
  Duration PrefillToken = 100us;
  Duration OutputToken = 20ms;
  /// Tokens slow down by this factor when all slots run.
  double BatchSlowdown = 0.5;
  std::size_t CacheBlocks = 2048;
};

/// \brief Cost model of a model engine: a queue before its slots, one prompt
/// computed at a time, tokens slower the more requests run.
class EngineModel {
public:
  EngineModel(EngineCosts Price, TimerQueue &Queue)
      : Costs(Price), Timers(Queue), Cache(Price.CacheBlocks) {}

  void submit(EngineJob Job, TimePoint Now);
  [[nodiscard]] LoadReport load(TimePoint Now) const;

private:
  void startNext(TimePoint Now);
  void prefillNext(TimePoint Now);
  void decode(EngineJob Job, TimePoint Now);

  EngineCosts Costs;
  TimerQueue &Timers;
  PrefixIndex Cache;
  std::deque<EngineJob> Waiting;
  std::deque<EngineJob> Prefilling;
  bool PrefillBusy = false;
  std::size_t Running = 0;
};

} // namespace bronzeward::bench
