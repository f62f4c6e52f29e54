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

// Load pattern: a store that reads the key to continue from as another one.
TEST_CASE("A list that does not advance is truncated", "[PagedList]") {
  PagedList List;
  CHECK(List.add(page({"a", "b"}, 7, true)) == "b");
  CHECK_FALSE(List.add(page({"b"}, 7, true)));
  const StoreReply All = List.take();
  CHECK(All.Status == StoreStatus::Ok);
  CHECK(All.Truncated);
  CHECK_FALSE(All.Problem.empty());
  CHECK(keysOf(All).front() == "a");
}

TEST_CASE("A list that repeats several pages is truncated", "[PagedList]") {
  PagedList List;
  CHECK(List.add(page({"a"}, 7, true)) == "a");
  CHECK(List.add(page({"b"}, 7, true)) == "b");
  CHECK_FALSE(List.add(page({"a"}, 7, true)));
  CHECK(List.take().Truncated);
}

TEST_CASE("A list is truncated at a page without a key that can be read",
          "[PagedList]") {
  PagedList List;
  CHECK(List.add(page({"a"}, 7, true)) == "a");
  CHECK_FALSE(List.add(page({}, 7, true)));
  CHECK(List.take().Truncated);
}

// Guards against log lines that are no valid text.
TEST_CASE("The reason for a truncation holds no bytes of the store",
          "[PagedList]") {
  PagedList List;
  CHECK(List.add(page({"a\xff"}, 7, true)) == "a\xff");
  CHECK_FALSE(List.add(page({"a\xff"}, 7, true)));
  CHECK(List.take().Problem.find('\xff') == std::string::npos);
}

TEST_CASE("A list of too many entries is truncated", "[PagedList]") {
  PagedList List;
  std::vector<std::string> Keys(100'000);
  Keys.back() = "last";
  CHECK_FALSE(List.add(page(Keys, 7, true)));
  CHECK(List.take().Truncated);
  // A list that ends just there is whole.
  PagedList Whole;
  CHECK_FALSE(Whole.add(page(Keys, 7, false)));
  CHECK_FALSE(Whole.take().Truncated);
}

} // namespace
} // namespace bronzeward
