#include "bronzeward/src/Store/StoreRecord.h"

#include <utility>

namespace bronzeward {

void StoreRecord::read(TimePoint Now, ReadHandler Done) {
  Busy = true;
  Store.call(
      ReadKey{Key}, Now,
      [this, Done = std::move(Done)](const StoreReply &Reply, TimePoint At) {
        Busy = false;
        if (Reply.Status != StoreStatus::Ok) {
          Failed(At);
          return;
        }
        std::optional<std::string> Text;
        RevisionRead = 0;
        if (!Reply.Entries.empty()) {
          RevisionRead = Reply.Entries.front().Revision;
          Text = Reply.Entries.front().Value;
        }
        Done(Text, At);
      });
}

void StoreRecord::write(const std::string &Text, TimePoint Now,
                        WrittenHandler Done) {
  Busy = true;
  Store.call(
      CompareAndSwap{Key, Text, RevisionRead, StoreLeaseId{}}, Now,
      [this, Done = std::move(Done)](const StoreReply &Reply, TimePoint At) {
        Busy = false;
        if (Reply.Status == StoreStatus::Ok)
          Done(At);
        else
          Failed(At);
      });
}

} // namespace bronzeward
