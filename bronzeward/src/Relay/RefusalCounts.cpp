#include "bronzeward/src/Relay/RefusalCounts.h"

namespace bronzeward {

std::string RefusalCounts::take() {
  std::string Text;
  for (const auto &[Code, Count] : Counts)
    Text += (Text.empty() ? "" : ", ") + Code + " " + std::to_string(Count);
  Counts.clear();
  return Text;
}

} // namespace bronzeward
