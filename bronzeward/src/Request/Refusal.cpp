#include "bronzeward/src/Request/Refusal.h"

namespace bronzeward {

const char *nameOf(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

const RefusalDescription &descriptionOf(Reason Cause) {
  using std::chrono::seconds;
  // One row per reason, in the order of the enumeration.
  static const RefusalDescription Descriptions[] = {
      {400, "invalid-request", "the request is not valid", false, seconds(0)},
      {404, "unknown-model", "no service has this model", false, seconds(0)},
      {404, "unknown-route", "no service has this route", false, seconds(0)},
      {401, "wrong-key", "the API key is missing or unknown", false,
       seconds(0)},
      {400, "idempotency-key-required",
       "this service needs an Idempotency-Key header", false, seconds(0)},
      {422, "idempotency-key-reused",
       "the idempotency key was used with another request", false, seconds(0)},
      {413, "too-large", "the body is too large", false, seconds(0)},
      {431, "headers-too-large", "the headers are too large", false,
       seconds(0)},
      {503, "too-many-connections", "too many connections", true, seconds(1)},
      {408, "slow-request", "the request did not arrive in time", true,
       seconds(1)},
      {402, "budget-exhausted",
       "the prepaid budget does not cover this request", true, seconds(30)},
      {503, "store-unavailable",
       "the platform's store is unreachable; nothing can be claimed or billed",
       true, seconds(5)},
      {429, "workspace-limit", "the workspace has too many running requests",
       true, seconds(1)},
      {429, "service-limit", "the service has too many running requests", true,
       seconds(1)},
      {503, "dependency-unavailable",
       "a service that it depends on is unavailable", true, seconds(5)},
      {503, "no-upstream", "no upstream accepts requests now", true,
       seconds(2)},
      {422, "quarantined", "this content crashed upstreams", false, seconds(0)},
      {503, "draining", "this instance is stopping", true, seconds(1)},
      {503, "not-ready", "this instance has no configuration yet", true,
       seconds(2)},
      {502, "upstream-failed", "the upstream failed", true, seconds(1)},
      {504, "deadline-exceeded", "the deadline passed", true, seconds(1)},
      {409, "already-started",
       "a request with this key was started; its outcome is not known here",
       true, seconds(5)},
      {409, "answer-not-kept",
       "the request ran and was billed; its answer was too long to record",
       false, seconds(0)},
      {503, "bill-not-durable",
       "the answer is withheld since its bill could not be stored", true,
       seconds(5)},
      {402, "budget-lost",
       "the reserved budget was reclaimed while the request ran", true,
       seconds(5)},
      {503, "budget-held",
       "the rest of the budget is reserved for other requests", true,
       seconds(1)},
      {503, "overloaded",
       "the service has no capacity for this request in time", true,
       seconds(1)},
      {503, "memory-short", "this instance has no memory for the request now",
       true, seconds(1)},
      {503, "stream-origin-unknown",
       "the stream cannot go on: it is not known which version of the "
       "upstream's software began it",
       false, seconds(0)},
  };
  return Descriptions[static_cast<std::size_t>(Cause)];
}

} // namespace bronzeward
