#include "bronzeward/Router"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

/// Beginning of the metrics that the smallest collector known keeps.
constexpr std::size_t KeptBytes = 4096;

TEST_CASE("A cut metrics text still has the version in force",
          "[RouterStatus]") {
  RouterStatus Status;
  Status.Configuration.Number = 48;
  Status.Texts.Known = 7;
  for (int Bucket = 0; Bucket < 40; ++Bucket)
    Status.FirstByte.Buckets.push_back({0.001 * Bucket, 1});
  const std::string Kept = statusMetrics(Status).substr(0, KeptBytes);
  for (const char *Line :
       {"bronzeward_configuration_version 48\n", "bronzeward_ready 0\n",
        "bronzeward_store_failing 0\n",
        "bronzeward_configuration_texts_known_total 7\n"})
    CHECK(Kept.find(Line) != std::string::npos);
}

} // namespace
} // namespace bronzeward
