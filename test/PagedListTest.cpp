#include "bronzeward/Store"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

StoreReply page(const std::vector<std::string> &Keys, std::uint64_t Revision,
                bool More) {
  StoreReply Reply;
  Reply.Status = StoreStatus::Ok;
  for (const std::string &Key : Keys)
    Reply.Entries.push_back({Key, "v", 1, false});
  Reply.Revision = Revision;
  Reply.More = More;
  if (!Keys.empty())
    Reply.LastKey = Keys.back();
  return Reply;
}

std::vector<std::string> keysOf(const StoreReply &Reply) {
  std::vector<std::string> Keys;
  for (const StoreEntry &Entry : Reply.Entries)
    Keys.push_back(Entry.Key);
  return Keys;
}

TEST_CASE("Pages are joined in order, as of the first page's revision",
          "[PagedList]") {
  PagedList List;
  CHECK(List.add(page({"a", "b"}, 7, true)) == "b");
  CHECK_FALSE(List.add(page({"c"}, 9, false)));
  const StoreReply All = List.take();
  CHECK(All.Status == StoreStatus::Ok);
  CHECK(All.Revision == 7);
  CHECK(keysOf(All) == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("The page after one of skipped items is read", "[PagedList]") {
  PagedList List;
  StoreReply Skipped = page({}, 7, true);
  Skipped.LastKey = "a";
  Skipped.Problem = "item skipped";
  CHECK(List.add(Skipped) == "a");
  CHECK_FALSE(List.add(page({"b"}, 7, false)));
  const StoreReply All = List.take();
  CHECK(keysOf(All) == std::vector<std::string>{"b"});
  CHECK(All.Problem == "item skipped");
}

} // namespace
} // namespace bronzeward
