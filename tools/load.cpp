/// \file
/// Load tool: sends small requests over kept connections, closed loop, and
/// prints requests a second and latency percentiles. Given two targets, it
/// measures them in turn and prints the difference.

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <iostream>

DEFINE_string(target, "127.0.0.1:8080", "address to load, ip:port");
DEFINE_string(path, "/v1/chat/completions", "path of the request");
DEFINE_string(method, "POST", "method of the request");
DEFINE_string(body,
              "{\"model\":\"draft-large\",\"max_tokens\":1,\"messages\":"
              "[{\"role\":\"user\",\"content\":\"hello\"}]}",
              "body of the request");
DEFINE_string(key, "", "bearer key");
DEFINE_int32(connections, 16, "requests in flight at a time");
DEFINE_int32(requests, 10000, "requests to send");

namespace bronzeward::tools {

/// \brief Counts answers and their latencies.
struct Totals {
  std::vector<double> FirstByteMs;
  std::vector<double> LatenciesMs;
  std::uint64_t Failed = 0;
  std::map<std::uint16_t, std::uint64_t> ByStatus;
};

/// \brief One connection's loop of requests.
class Loop : public std::enable_shared_from_this<Loop> {
public:
  Loop(std::shared_ptr<HttpConnectionPool> Kept, SocketAddress Where,
       Totals &Sums, std::int64_t &Remaining)
      : Connections(std::move(Kept)), Target(std::move(Where)), Out(Sums),
        Left(Remaining) {}

  void next() {
    if (Left-- <= 0)
      return;
    HttpRequest Request;
    Request.Host = Target.Host;
    Request.Port = Target.Port;
    Request.Method = FLAGS_method;
    Request.Target = FLAGS_path;
    Request.ContentType = "application/json";
    Request.Body = FLAGS_body;
    if (!FLAGS_key.empty())
      Request.Headers = {{"Authorization", "Bearer " + FLAGS_key}};
    startExchange(Connections, std::move(Request),
                  std::make_shared<Answer>(shared_from_this()));
  }

private:
  class Answer : public HttpListener {
  public:
    explicit Answer(std::shared_ptr<Loop> Asker)
        : Owner(std::move(Asker)), Began(std::chrono::steady_clock::now()) {}
    void onHead(const HttpHead &Head) override {
      ++Owner->Out.ByStatus[Head.Status];
    }
    void onBody(std::string_view) override {
      if (First)
        Owner->Out.FirstByteMs.push_back(elapsedMs());
      First = false;
    }
    void onEnd() override {
      Owner->Out.LatenciesMs.push_back(elapsedMs());
      Owner->next();
    }
    void onFailure(HttpFailure, const std::string &) override {
      ++Owner->Out.Failed;
      Owner->next();
    }

  private:
    [[nodiscard]] double elapsedMs() const {
      return std::chrono::duration<double, std::milli>(
                 std::chrono::steady_clock::now() - Began)
          .count();
    }

    std::shared_ptr<Loop> Owner;
    TimePoint Began;
    bool First = true;
  };

  std::shared_ptr<HttpConnectionPool> Connections;
  SocketAddress Target;
  Totals &Out;
  std::int64_t &Left;
};

static double percentile(const std::vector<double> &Sorted, double Share) {
  const std::size_t Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

static int run() {
  const Result<SocketAddress> Target = parseAddress("target", FLAGS_target);
  if (!Target) {
    std::cerr << describe(Target.error()) << "\n";
    return SettingsExitCode;
  }
  boost::asio::io_context Io;
  Totals Sums;
  std::int64_t Left = FLAGS_requests;
  const TimePoint Began = std::chrono::steady_clock::now();
  const std::shared_ptr<HttpConnectionPool> Kept = makeHttpConnectionPool(Io);
  for (int Index = 0; Index < FLAGS_connections; ++Index)
    std::make_shared<Loop>(Kept, Target.value(), Sums, Left)->next();
  Io.run();
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Began;
  std::sort(Sums.LatenciesMs.begin(), Sums.LatenciesMs.end());
  std::sort(Sums.FirstByteMs.begin(), Sums.FirstByteMs.end());
  if (Sums.LatenciesMs.empty()) {
    std::cerr << "no answer from " << FLAGS_target << "\n";
    return 1;
  }
  std::printf(
      "%zu answers, %.0f a second, first byte ms p50 %.3f p95 %.3f, "
      "whole ms p50 %.3f p95 %.3f p99 %.3f, failed %llu",
      Sums.LatenciesMs.size(),
      static_cast<double>(Sums.LatenciesMs.size()) / Took.count(),
      percentile(Sums.FirstByteMs, 0.5), percentile(Sums.FirstByteMs, 0.95),
      percentile(Sums.LatenciesMs, 0.5), percentile(Sums.LatenciesMs, 0.95),
      percentile(Sums.LatenciesMs, 0.99),
      static_cast<unsigned long long>(Sums.Failed));
  for (const auto &[Status, Count] : Sums.ByStatus)
    std::printf(", status %u: %llu", static_cast<unsigned>(Status),
                static_cast<unsigned long long>(Count));
  std::printf("\n");
  return 0;
}

} // namespace bronzeward::tools

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::tools::run();
}
