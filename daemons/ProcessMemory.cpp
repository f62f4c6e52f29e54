#include "daemons/ProcessMemory.h"

#include <cstddef>
#include <pthread.h>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace bronzeward {

#ifdef __GLIBC__

/// Size of the stacks of all threads but the first. Handlers and decoders do
/// not recurse deeply.
constexpr std::size_t ThreadStackBytes = std::size_t{1024} * 1024;
/// One arena: each further one reserves 64 MiB, and memory that one thread
/// frees there is of no use to the others. Two of the three threads allocate
/// little.
constexpr int MaxArenas = 1;
/// Larger blocks, such as long bodies, are returned to the kernel when freed.
/// A fixed value also keeps the allocator from raising it to 32 MiB.
constexpr int MappedBlockBytes = 128 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr int KeptFreeBytes = 2 * 1024 * 1024;

void boundMemory() {
  ::mallopt(M_ARENA_MAX, MaxArenas);
  ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
  pthread_attr_t Attributes;
  if (pthread_attr_init(&Attributes) != 0)
    return;
  if (pthread_attr_setstacksize(&Attributes, ThreadStackBytes) == 0)
    pthread_setattr_default_np(&Attributes);
  pthread_attr_destroy(&Attributes);
}

#else

void boundMemory() {}

#endif

} // namespace bronzeward
