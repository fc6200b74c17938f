#pragma once

#include <cstddef>

namespace bilberryyard {

/// Counts the bytes that the program holds through operator new, by the usable size of each block.
class allocation_counter {
public:
    /// @return the bytes allocated and not yet freed by the whole program
    static size_t heldBytes();
};

} // namespace bilberryyard
