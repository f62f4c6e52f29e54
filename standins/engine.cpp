/// \file
/// Stand-in for a model engine: streams tokens, caches prompt prefixes,
/// reports load, and ends all connections on a marked prompt.

#include "standins/Service.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9001", "address, ip:port");
DEFINE_int32(slots, 16, "requests run at a time");
DEFINE_int32(token_ms, 20, "time for one output token");
DEFINE_int32(prefill_us, 50, "time for one prompt token that is not cached");
DEFINE_int32(restart_ms, 500, "time away after a crash");
DEFINE_int32(output_tokens, 16, "tokens of an answer, if the limit allows");
DEFINE_string(crash_mark, "crash-the-engine",
              "text in a prompt that crashes the engine");

DEFINE_string(history, "", "file for the steps of each request; none if empty");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");

namespace bronzeward::standins {

namespace json = boost::json;
using Timer = boost::asio::steady_timer;

/// Bytes of prompt that make one token.
constexpr std::size_t BytesPerToken = 4;

/// \brief One request in the engine.
struct Job {
  CallerTicket Ticket;
  std::string Run;
  std::string Key;
  std::string Model;
  bool Streamed = false;
  std::int64_t MaxTokens = 0;
  std::int64_t InputTokens = 0;
  std::int64_t CachedTokens = 0;
  std::int64_t Made = 0;
  std::unique_ptr<Timer> Step;
};

/// \brief The engine, in one thread beside its server's thread.
class Engine : public Service {
public:
  Engine() { keepHistory(FLAGS_history); }

private:
  void take(CallerEvent &Event) override {
    if (const auto *Gone = std::get_if<CallerGone>(&Event)) {
      cancel(Gone->Ticket);
      return;
    }
    const CallerRequest &Request = std::get<CallerRequest>(Event);
    if (std::chrono::steady_clock::now() < AwayUntil) {
      Server.disconnect(Request.Ticket);
    } else if (Request.Target == "/load") {
      report(Request.Ticket);
    } else if (Request.Target == "/leave") {
      Leaving = true;
      report(Request.Ticket);
    } else if (Request.Target == "/orders") {
      obey(Request);
    } else if (Request.Body.find(FLAGS_crash_mark) != std::string::npos) {
      crash(Request.Ticket);
    } else {
      begin(Request);
    }
  }

  void report(CallerTicket To) {
    answerJson(To, {{"running", Jobs.size()},
                    {"queued", Queue.size()},
                    {"executed", Executed},
                    {"cancelled", Cancelled},
                    {"crashes", Crashes},
                    {"orders", Orders},
                    {"orders_out_of_order", OrdersOutOfOrder},
                    {"leaving", Leaving},
                    {"age_ms", 0}});
  }

  /// Takes an order such as {"fencing":7,"load":"draft-large"}. An engine that
  /// checks fencing numbers refuses one below the highest it saw.
  void obey(const CallerRequest &Request) {
    boost::system::error_code Failure;
    const json::value Order = json::parse(Request.Body, Failure);
    const json::value *Number = Failure || !Order.is_object()
                                    ? nullptr
                                    : Order.as_object().if_contains("fencing");
    Answer Made;
    if (Number == nullptr || !Number->is_int64()) {
      Made.Status = 400;
    } else if (Number->as_int64() < HighestFencing && FLAGS_checks_fencing) {
      Made.Status = 409;
    } else {
      OrdersOutOfOrder += Number->as_int64() < HighestFencing ? 1 : 0;
      HighestFencing = std::max(HighestFencing, Number->as_int64());
      ++Orders;
    }
    Server.answer(Request.Ticket, Made);
  }

  void crash(CallerTicket Cause) {
    ++Crashes;
    AwayUntil = std::chrono::steady_clock::now() +
                std::chrono::milliseconds(FLAGS_restart_ms);
    Server.disconnect(Cause);
    for (const auto &Entry : Jobs)
      Server.disconnect(Entry.first);
    for (const Job &Waiting : Queue)
      Server.disconnect(Waiting.Ticket);
    Jobs.clear();
    Queue.clear();
    Cached.clear();
  }

  void begin(const CallerRequest &Request) {
    boost::system::error_code Failure;
    const json::value Parsed = json::parse(Request.Body, Failure);
    if (Failure || !Parsed.is_object()) {
      Answer Made;
      Made.Status = 400;
      Server.answer(Request.Ticket, Made);
      return;
    }
    const json::object &Body = Parsed.as_object();
    Job Fresh;
    Fresh.Ticket = Request.Ticket;
    Fresh.Run = nameRun(Request);
    Fresh.Key = Request.Key;
    record("arrived", Fresh.Run, Fresh.Key);
    Fresh.Model = Body.at("model").as_string().c_str();
    const json::value *Stream = Body.if_contains("stream");
    Fresh.Streamed = Stream != nullptr && Stream->as_bool();
    Fresh.MaxTokens = std::min<std::int64_t>(
        FLAGS_output_tokens, Body.at("max_tokens").to_number<std::int64_t>());
    const json::value *Messages = Body.if_contains("messages");
    const std::string Prompt =
        json::serialize(Messages != nullptr ? *Messages : Body.at("prompt"));
    Fresh.InputTokens = static_cast<std::int64_t>(
        (Prompt.size() + BytesPerToken - 1) / BytesPerToken);
    const PrefixBlocks Blocks = prefixBlocks(Prompt);
    Fresh.CachedTokens = static_cast<std::int64_t>(
        Cached.matching(Blocks) * PrefixBlockBytes / BytesPerToken);
    Cached.insert(Blocks);
    ++Executed;
    if (Jobs.size() < static_cast<std::size_t>(FLAGS_slots))
      start(std::move(Fresh));
    else
      Queue.push_back(std::move(Fresh));
  }

  void start(Job Fresh) {
    const CallerTicket Ticket = Fresh.Ticket;
    Fresh.Step = std::make_unique<Timer>(Io);
    const std::int64_t Prefill =
        FLAGS_prefill_us * (Fresh.InputTokens - Fresh.CachedTokens);
    Job &Placed = Jobs.emplace(Ticket, std::move(Fresh)).first->second;
    record("began", Placed.Run, Placed.Key);
    if (Placed.Streamed) {
      Answer Head;
      Head.ContentType = "text/event-stream";
      Server.beginStream(Ticket, Head);
    }
    wait(Placed, std::chrono::microseconds(Prefill));
  }

  void wait(Job &Item, std::chrono::microseconds Time) {
    Item.Step->expires_after(Time);
    Item.Step->async_wait(
        [this, Ticket = Item.Ticket](boost::system::error_code Failure) {
          const auto Found = Jobs.find(Ticket);
          if (!Failure && Found != Jobs.end())
            step(Found->second);
        });
  }

  static json::object usage(const Job &Item) {
    return {{"prompt_tokens", Item.InputTokens},
            {"completion_tokens", Item.Made},
            {"total_tokens", Item.InputTokens + Item.Made},
            {"prompt_tokens_details",
             json::object{{"cached_tokens", Item.CachedTokens}}}};
  }

  static json::object chunk(const Job &Item, json::value Delta,
                            json::value Finish) {
    return {{"id", Item.Run},
            {"object", "chat.completion.chunk"},
            {"model", Item.Model},
            {"choices",
             json::array{json::object{{"index", 0},
                                      {"delta", std::move(Delta)},
                                      {"finish_reason", std::move(Finish)}}}},
            {"usage", usage(Item)}};
  }

  void step(Job &Item) {
    if (Item.Made >= Item.MaxTokens) {
      finish(Item);
      return;
    }
    ++Item.Made;
    if (Item.Streamed)
      Server.sendPart(
          Item.Ticket,
          "data: " +
              json::serialize(chunk(
                  Item, json::object{{"content", word(Item.Made)}}, nullptr)) +
              "\n\n");
    wait(Item, std::chrono::milliseconds(FLAGS_token_ms));
  }

  static std::string word(std::int64_t Index) {
    return "word" + std::to_string(Index) + " ";
  }

  void finish(Job &Item) {
    record("ended", Item.Run, Item.Key);
    if (Item.Streamed) {
      Server.endStream(
          Item.Ticket,
          "data: " + json::serialize(chunk(Item, json::object{}, "stop")) +
              "\n\ndata: [DONE]\n\n");
    } else {
      std::string Text;
      for (std::int64_t Index = 1; Index <= Item.Made; ++Index)
        Text += word(Index);
      Answer Whole;
      Whole.ContentType = "application/json";
      Whole.Body = json::serialize(json::object{
          {"id", Item.Run},
          {"object", "chat.completion"},
          {"model", Item.Model},
          {"choices", json::array{json::object{
                          {"index", 0},
                          {"message", json::object{{"role", "assistant"},
                                                   {"content", Text}}},
                          {"finish_reason", "stop"}}}},
          {"usage", usage(Item)}});
      Server.answer(Item.Ticket, Whole);
    }
    Jobs.erase(Item.Ticket);
    startNext();
  }

  void cancel(CallerTicket Ticket) {
    const auto Found = Jobs.find(Ticket);
    if (Found != Jobs.end()) {
      record("cancelled", Found->second.Run, Found->second.Key);
      Jobs.erase(Found);
      ++Cancelled;
    }
    std::erase_if(Queue, [&](const Job &Item) {
      if (Item.Ticket != Ticket)
        return false;
      record("cancelled", Item.Run, Item.Key);
      return true;
    });
    startNext();
  }

  void startNext() {
    if (Queue.empty() || Jobs.size() >= static_cast<std::size_t>(FLAGS_slots))
      return;
    Job Next = std::move(Queue.front());
    Queue.erase(Queue.begin());
    start(std::move(Next));
  }

  std::map<CallerTicket, Job> Jobs;
  std::vector<Job> Queue;
  PrefixIndex Cached{4096};
  TimePoint AwayUntil;
  bool Leaving = false;
  std::int64_t Executed = 0;
  std::int64_t Cancelled = 0;
  std::int64_t Crashes = 0;
  std::int64_t Orders = 0;
  std::int64_t OrdersOutOfOrder = 0;
  std::int64_t HighestFencing = 0;
};

} // namespace bronzeward::standins

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::standins::Engine().run(FLAGS_listen);
}
