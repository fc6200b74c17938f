#include "allocation_counter.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

// Not atomic, because the benchmarks have one thread.
size_t totalAllocatedBytes = 0;

void* allocate(size_t size, size_t alignment)
{
    auto* const block = alignment > alignof(std::max_align_t)
        ? std::aligned_alloc(alignment, (size + alignment - 1) / alignment * alignment)
        : std::malloc(size);
    if (!block)
        throw std::bad_alloc();
    totalAllocatedBytes += malloc_usable_size(block);
    return block;
}

void release(void* block) noexcept
{
    totalAllocatedBytes -= malloc_usable_size(block);
    std::free(block);
}

} // namespace

void* operator new(size_t size) { return allocate(size, 0); }
void* operator new[](size_t size) { return allocate(size, 0); }
void* operator new(size_t size, std::align_val_t alignment) { return allocate(size, static_cast<size_t>(alignment)); }
void* operator new[](size_t size, std::align_val_t alignment) { return allocate(size, static_cast<size_t>(alignment)); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, size_t) noexcept { release(block); }
void operator delete[](void* block, size_t) noexcept { release(block); }
void operator delete(void* block, std::align_val_t) noexcept { release(block); }
void operator delete[](void* block, std::align_val_t) noexcept { release(block); }
void operator delete(void* block, size_t, std::align_val_t) noexcept { release(block); }
void operator delete[](void* block, size_t, std::align_val_t) noexcept { release(block); }

namespace bilberryyard {

size_t allocation_counter::allocatedBytes() { return totalAllocatedBytes; }

} // namespace bilberryyard
