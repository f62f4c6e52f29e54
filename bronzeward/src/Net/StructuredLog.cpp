#include "bronzeward/src/Net/StructuredLog.h"

#include "bronzeward/src/Net/LoopGuard.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <algorithm>
#include <iostream>

namespace bronzeward {

namespace json = boost::json;

/// Maximum number of lines that wait for the writer.
constexpr std::size_t RingCapacity = 16384;
/// Maximum number of candidates listed in one line, least loaded first.
constexpr std::size_t MaxListedCandidates = 5;

StructuredLog::StructuredLog(std::string Name)
    : Instance(std::move(Name)), Ring(RingCapacity) {
  namespace keywords = boost::log::keywords;
  boost::log::core::get()->remove_all_sinks();
  boost::log::add_console_log(std::cout,
                              keywords::format =
                                  boost::log::expressions::stream
                                  << boost::log::expressions::smessage,
                              keywords::auto_flush = true);
  Writer = std::thread([this] { run(); });
}

StructuredLog::~StructuredLog() {
  {
    std::lock_guard<std::mutex> Guard(Lock);
    Stopping = true;
  }
  Ready.notify_one();
  Writer.join();
}

void StructuredLog::push(Record Item) {
  if (!Ring.push(Item))
    return;
  {
    std::lock_guard<std::mutex> Guard(Lock);
    if (Pending)
      return;
    Pending = true;
  }
  Ready.notify_one();
}

void StructuredLog::onChoice(const ChoiceRecord &Item) { push(Item); }

void StructuredLog::onEnd(const RequestId &Request,
                          const WorkspaceId &Workspace, std::uint16_t Status,
                          const std::string &Outcome,
                          const std::string &Reason) {
  push(EndRecord{Request, Workspace, Status, Outcome, Reason});
}

void StructuredLog::onEvent(const std::string &Event,
                            const std::string &Detail) {
  push(EventRecord{Event, Detail});
}

void StructuredLog::run() {
  bool Last = false;
  while (!Last) {
    {
      std::unique_lock<std::mutex> Guard(Lock);
      Ready.wait(Guard, [this] { return Pending || Stopping; });
      Pending = false;
      Last = Stopping;
    }
    runGuarded([this] {
      std::vector<Record> Batch;
      Ring.drain(Batch);
      for (const Record &Item : Batch)
        runGuarded([this, &Item] { write(Item); });
    });
  }
}

static json::object describeChoice(const ChoiceRecord &Item) {
  std::vector<const Candidate *> Sorted;
  for (const Candidate &Option : Item.Candidates)
    Sorted.push_back(&Option);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const Candidate *Left, const Candidate *Right) {
              return Left->Load < Right->Load;
            });
  Sorted.resize(std::min(Sorted.size(), MaxListedCandidates));
  json::array Listed;
  for (const Candidate *Option : Sorted)
    Listed.push_back(json::object{{"upstream", Option->Name.Value},
                                  {"load", Option->Load},
                                  {"cached_tokens", Option->CachedTokens}});
  json::object Line{{"event", "choice"},
                    {"request", Item.Request.Value},
                    {"service", Item.Service.Value},
                    {"attempt", Item.Attempt},
                    {"upstream", Item.Candidates[Item.Chosen.Index].Name.Value},
                    {"score", Item.Chosen.Score},
                    {"reason", Item.Chosen.Reason},
                    {"candidates", Item.Candidates.size()},
                    {"least_loaded", std::move(Listed)}};
  if (Item.RegistryRevision) {
    Line["list_revision"] = *Item.RegistryRevision;
    Line["list_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(Item.RegistryAge)
            .count();
  }
  return Line;
}

void StructuredLog::write(const Record &Item) {
  json::object Line;
  if (const auto *Chosen = std::get_if<ChoiceRecord>(&Item)) {
    Line = describeChoice(*Chosen);
  } else if (const auto *Ended = std::get_if<EndRecord>(&Item)) {
    Line = {{"event", "end"},
            {"request", Ended->Request.Value},
            {"workspace", Ended->Workspace.Value},
            {"status", Ended->Status},
            {"outcome", Ended->Outcome},
            {"reason", Ended->Reason}};
  } else if (const auto *Event = std::get_if<EventRecord>(&Item)) {
    Line = {{"event", Event->Event}, {"detail", Event->Detail}};
  }
  Line.emplace("instance", Instance);
  const std::int64_t Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  Line.emplace("time_ms", Ms);
  BOOST_LOG_TRIVIAL(info) << json::serialize(Line);
}

} // namespace bronzeward
