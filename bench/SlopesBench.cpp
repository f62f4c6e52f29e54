/// \file
/// Measures the slopes that docs/CAPACITY.md is worked out from, each at three
/// or more sizes.

#include "bronzeward/Budget"
#include "bronzeward/Routing"
#include "bronzeward/src/Net/PeerCodec.h"

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

namespace bronzeward::bench {

static Configuration upstreamsOf(std::int64_t Count) {
  Configuration Text;
  ServiceSpec Service;
  Service.Name.Value = "draft";
  Text.Services.push_back(Service);
  for (std::int64_t Index = 0; Index < Count; ++Index) {
    UpstreamSpec Spec;
    Spec.Name.Value = "engine-" + std::to_string(Index);
    Spec.Service = Service.Name;
    Spec.Domain.Value = "domain-" + std::to_string(Index % 15);
    Text.Upstreams.push_back(Spec);
  }
  return Text;
}

static void choice(benchmark::State &State) {
  const Configuration Text = upstreamsOf(State.range(0));
  UpstreamTable Table(FailureDomain{"domain-0"});
  Table.configure(Text);
  Random Source(1);
  const std::unique_ptr<ChoicePolicy> Policy =
      makeChoicePolicy(ChoicePolicyKind::ExpectedDelay);
  const TimePoint Now{};
  std::vector<PrefixBlocks> Prompts;
  Prompts.reserve(64);
  for (int Index = 0; Index < 64; ++Index)
    Prompts.push_back(
        prefixBlocks(std::string(4096, static_cast<char>('a' + Index % 26))));
  std::size_t Turn = 0;
  for (auto _ : State) {
    const PrefixBlocks &Blocks = Prompts[Turn++ % Prompts.size()];
    const std::vector<Candidate> Found =
        Table.sample(Text.Services[0], Blocks, {}, false, Source, Now);
    const Choice Chosen = Policy->choose({1024, Blocks[0]}, Found, Source);
    const UpstreamName &Name = Found[Chosen.Index].Name;
    Table.onFirstToken(Name, Table.onDispatched(Name, Blocks, 1024, false, Now),
                       100ms);
    Table.onCompleted(Name, false, 1s, Now);
  }
}
BENCHMARK(choice)->Arg(20)->Arg(100)->Arg(1000)->Arg(10000);

static Bill billOf(std::int64_t Number) {
  Bill Made;
  Made.Workspace.Value = "workspace-" + std::to_string(Number % 340);
  Made.Key.Value = "0b0e4f6c-6f3c-4a54-9a27-" + std::to_string(Number);
  Made.Request.Value = "instance-0001-123456-" + std::to_string(Number);
  Made.Content.Value = std::string(64, 'c');
  Made.AnswerDigest = std::string(64, 'd');
  Made.Service.Value = "draft";
  Made.Upstream.Value = "engine-1234";
  Made.Holder = {InstanceId{"instance-0001"}, 123456};
  Made.Rate.Call = Money(10);
  Made.Cost = Money(10);
  return Made;
}

static SlotRecord fundedRecord(std::int64_t Accounts) {
  SlotLedger Ledger{SlotRecord()};
  for (std::int64_t Index = 0; Index < Accounts; ++Index)
    Ledger.apply(TopUp{WorkspaceId{"workspace-" + std::to_string(Index)},
                       OperationId{"t"}, Money(1'000'000'000)});
  return Ledger.record();
}

/// One group commit: apply a batch of bills, encode the head record.
static void groupCommit(benchmark::State &State) {
  const SlotRecord Base = fundedRecord(340);
  std::size_t Bytes = 0;
  for (auto _ : State) {
    State.PauseTiming();
    SlotLedger Ledger{Base};
    State.ResumeTiming();
    for (std::int64_t Number = 0; Number < State.range(0); ++Number)
      Ledger.apply(CommitBill{billOf(Number), false});
    Bytes = encodeSlotRecord(Ledger.record()).size();
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
  State.counters["bytes_per_bill"] =
      static_cast<double>(Bytes - encodeSlotRecord(Base).size()) /
      static_cast<double>(State.range(0));
  State.SetItemsProcessed(State.iterations() * State.range(0));
}
BENCHMARK(groupCommit)->Arg(10)->Arg(100)->Arg(1000);

/// Bytes of a head record by accounts, each with two grants.
static void accountBytes(benchmark::State &State) {
  SlotLedger Ledger{fundedRecord(State.range(0))};
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    for (const char *Holder : {"instance-0001", "instance-0002"}) {
      DrawGrant Change;
      Change.Workspace.Value = "workspace-" + std::to_string(Index);
      Change.Holder = {InstanceId{Holder}, 1};
      Change.Sequence = 1;
      Change.Minimum = Change.Wanted = Money(10);
      Ledger.apply(Change);
    }
  std::size_t Bytes = 0;
  for (auto _ : State)
    Bytes = encodeSlotRecord(Ledger.record()).size();
  State.counters["bytes_per_account"] =
      static_cast<double>(Bytes) / static_cast<double>(State.range(0));
}
BENCHMARK(accountBytes)->Arg(10)->Arg(100)->Arg(1000);

static void configurationParse(benchmark::State &State) {
  std::string Text = "[deployment]\nname = \"bench\"\n";
  Text += "[[service]]\nname = \"draft\"\nkind = \"model\"\n"
          "models = [\"m\"]\n";
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Text += "[[upstream]]\nname = \"engine-" + std::to_string(Index) +
            "\"\nservice = \"draft\"\naddress = \"10.0.0.1:8000\"\n"
            "failure_domain = \"domain-1\"\n";
  for (auto _ : State)
    benchmark::DoNotOptimize(parseConfiguration(Text).has_value());
  State.counters["text_bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(configurationParse)->Arg(20)->Arg(1000)->Arg(10000);

/// Encoded bytes of one digest with that many quarantined contents.
static void digestEncode(benchmark::State &State) {
  PeerDigest Digest;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Digest.Suspects.push_back(ContentFingerprint{std::string(64, 'f')});
  std::size_t Bytes = 0;
  for (auto _ : State) {
    capnp::MallocMessageBuilder Message;
    internal::write(Message.initRoot<schema::PeerMessage>(),
                    InstanceId{"instance-0001"}, Digest);
    Bytes = capnp::computeSerializedSizeInWords(Message) * sizeof(capnp::word);
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(digestEncode)->Arg(0)->Arg(4)->Arg(16);

static void committerOf(benchmark::State &State) {
  std::vector<Member> Listed;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    Member Item;
    Item.Identity.Instance.Value = "instance-" + std::to_string(Index);
    Listed.push_back(Item);
  }
  Membership Members;
  Members.update(std::move(Listed));
  std::uint32_t Slot = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Members.committerOf(SlotId{Slot++ % 100}, InstanceId{"self"}));
}
BENCHMARK(committerOf)->Arg(8)->Arg(100)->Arg(1600);

} // namespace bronzeward::bench

BENCHMARK_MAIN();
