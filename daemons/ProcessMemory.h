#pragma once

namespace bronzeward {

/// \brief Bounds the memory that the allocator and the threads' stacks reserve
/// without using it. To be called before any thread starts.
void boundMemory();

} // namespace bronzeward
