#include "bronzeward/Router"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

/// Bytes of the metrics that the collector with the smallest limit keeps.
constexpr std::size_t CollectorLimit = 4096;

// Guards against losing the instance's state: a collector keeps only the
// beginning of a text that long histograms fill.
TEST_CASE("Truncated metrics still show the instance's state",
          "[RouterStatus]") {
  RouterStatus Status;
  Status.Configuration.Number = 48;
  Status.Texts.Known = 7;
  for (int Bucket = 0; Bucket < 40; ++Bucket)
    Status.FirstByte.Buckets.push_back({0.001 * Bucket, 1});
  const std::string Kept = statusMetrics(Status).substr(0, CollectorLimit);
  for (const char *Line :
       {"bronzeward_configuration_version 48\n", "bronzeward_ready 0\n",
        "bronzeward_store_failing 0\n",
        "bronzeward_configuration_texts_known_total 7\n"})
    CHECK(Kept.find(Line) != std::string::npos);
}

} // namespace
} // namespace bronzeward
