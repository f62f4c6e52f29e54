#include "bronzeward/Ledger"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const WorkspaceId Khan{"khan"};
const Incarnation First{InstanceId{"a"}, 1};
const Incarnation Second{InstanceId{"b"}, 1};

SlotLedger funded(std::int64_t Micros) {
  SlotLedger Ledger{SlotRecord()};
  REQUIRE(Ledger.apply(TopUp{Khan, OperationId{"t1"}, Money(Micros)}).Status ==
          OperationStatus::Applied);
  return Ledger;
}

DrawGrant drawOf(const Incarnation &Holder, std::uint64_t Sequence,
                 std::int64_t Minimum, std::int64_t Wanted) {
  return {Khan, Holder, Sequence, Money(Minimum), Money(Wanted), 1};
}

CommitBill billOf(const std::string &Key, const Incarnation &Holder,
                  std::int64_t Cost) {
  CommitBill Change;
  Change.Settled.Workspace = Khan;
  Change.Settled.Key.Value = Key;
  Change.Settled.Request.Value = "request-" + Key + Holder.Instance.Value;
  Change.Settled.Content.Value = "content-" + Key;
  Change.Settled.Holder = Holder;
  Change.Settled.Rate.Call = Money(Cost);
  Change.Settled.Cost = Money(Cost);
  return Change;
}

OpenClaim claimOf(const std::string &Key, const std::string &Request,
                  const std::string &Content) {
  OpenClaim Change;
  Change.Workspace = Khan;
  Change.Opened.Key.Value = Key;
  Change.Opened.Request.Value = Request;
  Change.Opened.Content.Value = Content;
  Change.Opened.Holder = First;
  return Change;
}

TEST_CASE("A top-up is applied once per operation id", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  CHECK(Ledger.apply(TopUp{Khan, OperationId{"t1"}, Money(100)}).Status ==
        OperationStatus::Repeated);
  CHECK(Ledger.apply(TopUp{Khan, OperationId{"t1"}, Money(7)}).Status ==
        OperationStatus::KeyReused);
  CHECK(findAccount(Ledger.record(), Khan)->Prepaid == Money(100));
}

TEST_CASE("A top-up that overflows is rejected", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  const Money Huge(std::numeric_limits<std::int64_t>::max());
  CHECK(Ledger.apply(TopUp{Khan, OperationId{"t2"}, Huge}).Status ==
        OperationStatus::Rejected);
  CHECK(Ledger.apply(TopUp{Khan, OperationId{"t3"}, Money(-1)}).Status ==
        OperationStatus::Rejected);
}

TEST_CASE("Grants never exceed the budget", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  CHECK(Ledger.apply(drawOf(First, 1, 10, 80)).Amount == Money(80));
  CHECK(Ledger.apply(drawOf(Second, 1, 10, 80)).Amount == Money(20));
  const OperationResult Refused = Ledger.apply(drawOf(Second, 2, 1, 1));
  CHECK(Refused.Status == OperationStatus::Insufficient);
  CHECK(Refused.Holders.size() == 2);
}

TEST_CASE("A repeated draw has no effect", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(drawOf(First, 1, 10, 30));
  const OperationResult Again = Ledger.apply(drawOf(First, 1, 10, 30));
  CHECK(Again.Status == OperationStatus::Repeated);
  CHECK(Again.Amount == Money(30));
  CHECK(outstanding(Ledger.record().Accounts[0]) == Money(30));
}

TEST_CASE("A key is billed once", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(drawOf(First, 1, 50, 50));
  Ledger.apply(drawOf(Second, 1, 50, 50));
  CHECK(Ledger.apply(billOf("k", First, 10)).Status ==
        OperationStatus::Applied);
  CHECK(Ledger.apply(billOf("k", First, 10)).Status ==
        OperationStatus::Repeated);
  CHECK(Ledger.apply(billOf("k", Second, 10)).Status ==
        OperationStatus::BilledBefore);
  CommitBill Other = billOf("k", Second, 10);
  Other.Settled.Content.Value = "another body";
  CHECK(Ledger.apply(Other).Status == OperationStatus::KeyReused);
  CHECK(Ledger.record().Accounts[0].Settled == Money(10));
  CHECK(verifySlot(Ledger.record(), {}).empty());
}

TEST_CASE("A holder whose grant was reclaimed is fenced", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(drawOf(First, 1, 100, 100));
  Ledger.apply(ReclaimGrants{First});
  Ledger.apply(drawOf(Second, 1, 100, 100));
  CHECK(Ledger.apply(billOf("late", First, 10)).Status ==
        OperationStatus::Fenced);
  CHECK(Ledger.apply(drawOf(First, 2, 1, 1)).Status == OperationStatus::Fenced);
  CHECK(Ledger.record().Accounts[0].Settled == Money());
}

TEST_CASE("The bill of a released answer is written off, not overspent",
          "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(drawOf(First, 1, 100, 100));
  Ledger.apply(ReclaimGrants{First});
  Ledger.apply(drawOf(Second, 1, 95, 95));
  CommitBill Carried = billOf("carried", First, 10);
  Carried.AnswerReleased = true;
  CHECK(Ledger.apply(Carried).Status == OperationStatus::Applied);
  const Account &Budget = Ledger.record().Accounts[0];
  CHECK(Budget.Settled == Money(5));
  CHECK(Budget.WrittenOff == Money(5));
  CHECK(available(Budget) >= Money());
  CHECK(verifySlot(Ledger.record(), {}).empty());
}

TEST_CASE("A claim has one owner and replays its answer", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(drawOf(First, 1, 100, 100));
  CHECK(Ledger.apply(claimOf("k", "r1", "c")).Status ==
        OperationStatus::Applied);
  CHECK(Ledger.apply(claimOf("k", "r1", "c")).Status ==
        OperationStatus::Repeated);
  CHECK(Ledger.apply(claimOf("k", "r2", "c")).Status ==
        OperationStatus::ClaimHeld);
  CHECK(Ledger.apply(claimOf("k", "r2", "other")).Status ==
        OperationStatus::KeyReused);
  CommitBill Finished = billOf("k", First, 5);
  Finished.Settled.Request.Value = "r1";
  Finished.Settled.Content.Value = "c";
  Finished.Settled.Answer = RecordedAnswer{200, "text/plain", "filed", true};
  CHECK(Ledger.apply(Finished).Status == OperationStatus::Applied);
  const OperationResult Replayed = Ledger.apply(claimOf("k", "r3", "c"));
  CHECK(Replayed.Status == OperationStatus::ClaimFinished);
  REQUIRE(Replayed.Answer);
  CHECK(Replayed.Answer->Body == "filed");
}

TEST_CASE("A released key may be claimed again", "[SlotLedger]") {
  SlotLedger Ledger = funded(100);
  Ledger.apply(claimOf("k", "r1", "c"));
  Ledger.apply(
      ReleaseClaim{Khan, IdempotencyKey{"k"}, RequestId{"someone else"}});
  CHECK(Ledger.apply(claimOf("k", "r2", "c")).Status ==
        OperationStatus::ClaimHeld);
  Ledger.apply(ReleaseClaim{Khan, IdempotencyKey{"k"}, RequestId{"r1"}});
  CHECK(Ledger.apply(claimOf("k", "r2", "c")).Status ==
        OperationStatus::Applied);
}

TEST_CASE("Bills moved to a segment are still indexed, verified and chained",
          "[SlotLedger]") {
  SlotLedger Ledger = funded(1000);
  Ledger.apply(drawOf(First, 1, 1000, 1000));
  for (int Number = 0; Number < 20; ++Number)
    Ledger.apply(billOf(std::to_string(Number), First, 3));
  const Segment Older = Ledger.rollBills(5, "s1");
  CHECK(Older.Bills.size() == 15);
  CHECK(Ledger.record().Bills.size() == 5);
  CHECK(verifySlot(Ledger.record(), {Older}).empty());
  CHECK_FALSE(verifySlot(Ledger.record(), {}).empty());

  const std::shared_ptr<BilledKeys> Keys = std::make_shared<BilledKeys>();
  Keys->insert("s1", Older);
  SlotLedger Reloaded{Ledger.record(), Keys};
  CHECK(Reloaded.apply(billOf("2", Second, 3)).Status ==
        OperationStatus::BilledBefore);

  Segment Forged = Older;
  Forged.Bills[3].Cost = Money(1);
  CHECK_FALSE(verifySlot(Ledger.record(), {Forged}).empty());
}

TEST_CASE("A record is unchanged by encoding and decoding", "[SlotLedger]") {
  SlotLedger Ledger = funded(1000);
  Ledger.apply(drawOf(First, 1, 500, 500));
  Ledger.apply(claimOf("c", "r", "x"));
  CommitBill Finished = billOf("k", First, 5);
  Finished.Settled.Answer = RecordedAnswer{200, "text/plain", "filed", true};
  Ledger.apply(Finished);
  const std::string Bytes = encodeSlotRecord(Ledger.record());
  const Result<SlotRecord> Read = decodeSlotRecord(Bytes, "key");
  REQUIRE(Read);
  CHECK(Read.value() == Ledger.record());
  const Result<SlotRecord> Broken =
      decodeSlotRecord(std::string_view(Bytes).substr(0, 9), "key");
  REQUIRE_FALSE(Broken);
  CHECK(Broken.error().Peer == "key");
}

} // namespace
} // namespace bronzeward
