#include "bronzeward/src/Router/RouterStatus.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

std::string statusJson(const RouterStatus &Status) {
  json::array Members;
  for (const Member &Item : Status.Members)
    Members.push_back(json::object{{"instance", Item.Identity.Instance.Value},
                                   {"failure_domain", Item.Domain.Value},
                                   {"peer_address", Item.PeerAddress},
                                   {"leaving", Item.Leaving}});
  json::array Quarantined;
  for (const ContentFingerprint &Content : Status.Quarantined)
    Quarantined.push_back(json::value(Content.Value));
  json::array Evacuated;
  for (const FailureDomain &Domain : Status.EvacuatedDomains)
    Evacuated.push_back(json::value(Domain.Value));
  const json::object Object{
      {"instance", Status.Instance.Value},
      {"failure_domain", Status.Domain.Value},
      {"ready", Status.Ready},
      {"not_ready_reason", Status.NotReadyReason},
      {"draining", Status.Draining},
      {"configuration_version", Status.Configuration.Number},
      {"upstreams", Status.Upstreams},
      {"requests_in_flight", Status.InFlight},
      {"pending_operations", Status.PendingOperations},
      {"carried_bills", Status.CarriedBills},
      {"held_grants_micros", Status.HeldGrants.micros()},
      {"store_failing", Status.StoreFailing},
      {"evacuated_failure_domains", std::move(Evacuated)},
      {"members", std::move(Members)},
      {"quarantined", std::move(Quarantined)}};
  return json::serialize(Object) + "\n";
}

namespace internal {

/// \brief Writes metrics in the Prometheus text format.
class MetricsWriter {
public:
  void counter(const char *Name, const char *Help, std::uint64_t Value) {
    write(Name, Help, "counter", std::to_string(Value));
  }
  void gauge(const char *Name, const char *Help, std::int64_t Value) {
    write(Name, Help, "gauge", std::to_string(Value));
  }
  void latencies(const char *Name, const char *Help,
                 const LatencyCounts &Latencies) {
    const std::string Full = std::string("bronzeward_") + Name;
    Text += "# HELP " + Full + " " + Help + "\n";
    Text += "# TYPE " + Full + " histogram\n";
    for (const LatencyBucket &Item : Latencies.Buckets)
      bucket(Full, json::serialize(json::value(Item.Bound)), Item.Count);
    bucket(Full, "+Inf", Latencies.Total);
    Text += Full + "_sum " + std::to_string(Latencies.SumSeconds) + "\n";
    Text += Full + "_count " + std::to_string(Latencies.Total) + "\n";
  }
  std::string Text;

private:
  void bucket(const std::string &Full, const std::string &Bound,
              std::uint64_t Count) {
    Text +=
        Full + "_bucket{le=\"" + Bound + "\"} " + std::to_string(Count) + "\n";
  }
  void write(const char *Name, const char *Help, const char *Type,
             const std::string &Value) {
    const std::string Full = std::string("bronzeward_") + Name;
    Text += "# HELP " + Full + " " + Help + "\n";
    Text += "# TYPE " + Full + " " + Type + "\n";
    Text += Full + " " + Value + "\n";
  }
};

} // namespace internal

std::string statusMetrics(const RouterStatus &Status) {
  internal::MetricsWriter Out;
  // The long histograms go last: collectors may keep only the beginning of the
  // text, which must show the instance's state.
  Out.gauge("requests_in_flight", "Requests in flight.", Status.InFlight);
  Out.gauge("pending_operations", "Ledger operations without a result yet.",
            static_cast<std::int64_t>(Status.PendingOperations));
  Out.gauge("carried_bills", "Bills carried for other instances.",
            static_cast<std::int64_t>(Status.CarriedBills));
  Out.gauge("held_grants_micros", "Budget held in grants by this instance.",
            Status.HeldGrants.micros());
  Out.gauge("configuration_version", "Configuration version in force.",
            static_cast<std::int64_t>(Status.Configuration.Number));
  Out.gauge("upstreams", "Upstreams that may get new requests.",
            static_cast<std::int64_t>(Status.Upstreams));
  Out.gauge("upstreams_revision",
            "Store revision up to which changes of upstreams are known.",
            static_cast<std::int64_t>(Status.UpstreamsRevision));
  Out.gauge(
      "upstreams_age_ms", "Time since that revision was confirmed.",
      std::chrono::duration_cast<std::chrono::milliseconds>(Status.UpstreamsAge)
          .count());
  Out.gauge("rate_limited_upstreams", "Upstreams that state a rate limit.",
            static_cast<std::int64_t>(Status.RateLimitedUpstreams));
  Out.gauge("evacuated_failure_domains",
            "Failure domains whose upstreams get no calls.",
            static_cast<std::int64_t>(Status.EvacuatedDomains.size()));
  Out.gauge("store_failing", "Whether the store does not answer.",
            Status.StoreFailing ? 1 : 0);
  Out.gauge("ready", "Whether the instance takes requests.",
            Status.Ready ? 1 : 0);
  Out.gauge("longest_loop_delay_ms",
            "Longest delay of a periodic task since the start.",
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Status.LongestLoopDelay)
                .count());
  Out.gauge("caller_memory_bytes",
            "Memory of requests and answers held for callers.",
            static_cast<std::int64_t>(Status.Connections.CallerMemory));
  Out.counter("memory_refusals_total",
              "Requests refused and answers cut for lack of memory.",
              Status.Connections.MemoryRefusals);
  Out.counter("callers_left_before_read_total",
              "Requests whose caller had left when they were read.",
              Status.Connections.LeftBeforeRead);
  Out.counter("callers_left_before_send_total",
              "Calls whose caller had left when they were to be sent.",
              Status.Connections.LeftBeforeSend);
  Out.counter("cancelled_unacknowledged_total",
              "Calls cancelled before all their bytes were acknowledged.",
              Status.Connections.CancelledUnacknowledged);
  Out.counter("store_timeouts_total", "Store calls without a reply in time.",
              Status.Store.Timeouts);
  Out.counter("configuration_texts_sent_total", "Configurations sent to peers.",
              Status.Texts.Sent);
  Out.counter("configuration_texts_received_total",
              "Configurations received from peers.", Status.Texts.Received);
  Out.counter("configuration_texts_known_total",
              "Received configurations that were not newer.",
              Status.Texts.Known);
  Out.gauge("lost_grants_micros",
            "Grants of former incarnations in the records committed here.",
            Status.LostGrants.micros());
  const RequestCounters &Requests = Status.Requests;
  Out.counter("requests_total", "Requests received.", Requests.Accepted);
  Out.counter("requests_answered_total", "Requests answered in full.",
              Requests.Answered);
  Out.counter("requests_refused_total", "Requests refused, not run.",
              Requests.RefusedNotRun);
  Out.counter("requests_ended_ran_total",
              "Requests that ran and ended without a complete answer.",
              Requests.EndedRan);
  Out.counter("requests_ended_unknown_total",
              "Requests that ended with an unknown outcome.",
              Requests.EndedUnknown);
  Out.counter("retries_total", "Attempts after the first.", Requests.Retries);
  Out.counter("sent_to_rate_limited_total",
              "Attempts sent to upstreams that stated a rate limit.",
              Requests.SentToRateLimited);
  Out.counter("callers_gone_total", "Callers that disconnected early.",
              Requests.CallersGone);
  Out.counter("over_reported_total",
              "Upstream usage reports cut to the reservation.",
              Requests.OverReported);
  Out.counter("invalid_answers_total",
              "Answers that violated the protocol or a limit.",
              Requests.InvalidAnswers);
  Out.counter("quarantined_total", "Contents quarantined by this instance.",
              Requests.Quarantined);
  Out.counter("store_reads_total", "Reads of one key of the store.",
              Status.Store.Reads);
  Out.counter("store_lists_total", "Reads of all keys with a prefix.",
              Status.Store.Lists);
  Out.counter("store_watches_total", "Watches of the store.",
              Status.Store.Watches);
  Out.counter("store_writes_total", "Write calls to the store.",
              Status.Store.Writes);
  Out.counter("store_leases_total", "Leases requested.", Status.Store.Leases);
  Out.counter("store_renewals_total", "Extensions of a lease.",
              Status.Store.Renewals);
  Out.counter("store_failures_total", "Store calls that failed.",
              Status.Store.Failures);
  Out.counter("store_calls_held_back_total",
              "Store calls not sent: breaker open or too many in flight.",
              Status.Store.NotSent);
  Out.counter("upstream_departures_total",
              "Upstreams that announced their end or lost their entry.",
              Status.Departures.Departures);
  Out.counter("upstream_departures_kept_total",
              "Departed upstreams that stayed usable for a while.",
              Status.Departures.Kept);
  Out.counter("upstream_departures_from_peers_total",
              "Departures that became known by a peer.",
              Status.Departures.FromPeers);
  for (const RingCount &Ring : Status.Connections.Rings)
    Out.counter(("ring_" + Ring.Name + "_refused_total").c_str(),
                "Items rejected by the full ring into this thread.",
                Ring.Refused);
  Out.latencies("first_byte_seconds",
                "Time from arrival to the first byte for the caller.",
                Status.FirstByte);
  Out.latencies("whole_answer_seconds",
                "Time from arrival to the end of the whole answer.",
                Status.Whole);
  return Out.Text;
}

} // namespace bronzeward
