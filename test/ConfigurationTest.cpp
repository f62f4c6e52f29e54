#include "bronzeward/Config"
#include "bronzeward/Router"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const char *DeploymentTable = "[deployment]\nname = \"d\"\n";

std::string serviceOf(const std::string &Name, const std::string &Depends) {
  return "[[service]]\nname = \"" + Name + "\"\nkind = \"plain\"\nroute = \"/" +
         Name + "\"\ndepends_on = [" + Depends +
         "]\n[[upstream]]\nname = \"u-" + Name + "\"\nservice = \"" + Name +
         "\"\naddress = \"127.0.0.1:1\"\nfailure_domain = \"a\"\n";
}

Diagnostics faultsOf(const std::string &Text) {
  const auto Parsed = parseConfiguration(Text);
  return Parsed ? Diagnostics() : Parsed.error();
}

TEST_CASE("A valid configuration is accepted", "[Configuration]") {
  CHECK(faultsOf(DeploymentTable + serviceOf("a", "\"b\"") + serviceOf("b", ""))
            .empty());
}

TEST_CASE("Several faults are reported in one run, with their positions",
          "[Configuration]") {
  const Diagnostics Faults =
      faultsOf(std::string(DeploymentTable) +
               "[[service]]\nname = \"x\"\nkind = \"odd\"\nspeed = 3\n"
               "models = [\"m\"]\nmax_output_tokens = -4\n");
  REQUIRE(Faults.size() == 4);
  CHECK(Faults[1].Line == 5);
  CHECK(Faults[1].Path == "service.x.kind");
  CHECK(Faults[2].Line == 6);
  CHECK(Faults[2].Found == "an unknown key");
  CHECK(Faults[3].Line == 8);
  CHECK(Faults[3].Allowed == "a whole number from 1 to 1000000");
}

TEST_CASE("A syntax error is reported with its line", "[Configuration]") {
  const Diagnostics Faults = faultsOf("[deployment]\nname = \n");
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Line == 2);
  CHECK(Faults[0].Path == "syntax");
}

TEST_CASE("Missing and cyclic dependencies are reported by name",
          "[Configuration]") {
  const Diagnostics Missing =
      faultsOf(DeploymentTable + serviceOf("a", "\"none\""));
  REQUIRE(Missing.size() == 1);
  CHECK(Missing[0].Found == "none");
  const Diagnostics Cyclic = faultsOf(
      DeploymentTable + serviceOf("a", "\"b\"") + serviceOf("b", "\"a\""));
  REQUIRE(Cyclic.size() == 2);
  CHECK(Cyclic[0].Found.find("a -> b -> a") != std::string::npos);
}

/// Records calls and messages; the test delivers the replies.
class RecordingPorts : public StorePort, public PeerPort {
public:
  void send(StoreCallId Id, const StoreCall &Call) override {
    Calls.emplace_back(Id, Call);
  }
  void send(const InstanceId &, const PeerMessage &Message) override {
    Sent.push_back(Message);
  }
  std::vector<std::pair<StoreCallId, StoreCall>> Calls;
  std::vector<PeerMessage> Sent;
};

TEST_CASE("The version in force never decreases", "[Configuration]") {
  RecordingPorts Ports;
  TimerQueue Timers;
  Random Source(1);
  StoreClient Client(Ports, Timers, Source, StorePolicy());
  Membership Members;
  ConfigurationFollower Follower(InstanceId{"i"}, FailureDomain{"a"}, Members,
                                 Client, Ports, Timers);
  std::vector<std::uint64_t> Accepted;
  const TimePoint Now{1h};
  Follower.start(Now, [&](ConfigurationVersion Version, const Configuration &,
                          TimePoint) { Accepted.push_back(Version.Number); });
  const std::string Text = DeploymentTable + serviceOf("a", "");

  Follower.onText(InstanceId{"j"}, {{5}, packText(Text)}, Now);
  Follower.onText(InstanceId{"j"}, {{4}, packText(Text)}, Now);
  Follower.onText(InstanceId{"j"}, {{5}, packText(Text)}, Now);
  Follower.onText(InstanceId{"j"}, {{6}, packText("not a text")}, Now);
  CHECK(Follower.version().Number == 5);

  // A store restored from a backup has an older head.
  ConfigurationHead Old;
  Old.Current = {{3}, sha256Hex(Text), "op", WallTime()};
  StoreReply Reply;
  Reply.Status = StoreStatus::Ok;
  Reply.Entries.push_back({ConfigurationKey, encodeConfigurationHead(Old), 1});
  Client.onReply(Ports.Calls.at(0).first, Reply, Now);
  CHECK(Follower.version().Number == 5);
  CHECK(Ports.Calls.size() == 1);

  PeerDigest Newer;
  Newer.Configuration = {9};
  Follower.onDigest(InstanceId{"j"}, Newer, Now);
  REQUIRE(Ports.Sent.size() == 1);
  CHECK(std::holds_alternative<ConfigurationRequest>(Ports.Sent[0]));
  Follower.onText(InstanceId{"j"}, {{9}, packText(Text)}, Now);
  CHECK(Accepted == std::vector<std::uint64_t>{5, 9});
}

} // namespace
} // namespace bronzeward
