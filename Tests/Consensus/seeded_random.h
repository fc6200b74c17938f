#pragma once

#include <Base/hashing.h>
#include <cstdint>

/// Random numbers that depend on the seed only, on every platform.
class seeded_random {
public:
    explicit seeded_random(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// @return A number below the bound.
    uint64_t below(uint64_t bound) { return bilberryyard::hashPair(m_seed, ++m_drawCount) % bound; }
    /// @return True in `percent` of 100 calls.
    bool chance(uint64_t percent) { return below(100) < percent; }

private:
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
};
