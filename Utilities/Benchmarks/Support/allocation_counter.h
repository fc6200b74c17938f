#pragma once

#include <cstddef>

namespace bilberryyard {

/// Counts the bytes that the program has allocated with operator new, by the usable size of each block.
class allocation_counter {
public:
    /// @return Bytes that the program has allocated and not yet freed.
    static size_t allocatedBytes();
};

} // namespace bilberryyard
