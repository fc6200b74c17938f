#pragma once

#include <Base/hashing.h>
#include <cstdint>

/// Random numbers that depend only on the seed and are the same on every platform.
class seeded_random {
public:
    explicit seeded_random(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// @return A random number in [0, bound).
    uint64_t below(uint64_t bound) { return bilberryyard::hashPair(m_seed, ++m_drawCount) % bound; }
    /// @return True with a probability of `percent` in 100.
    bool chance(uint64_t percent) { return below(100) < percent; }

private:
    uint64_t m_seed;
    uint64_t m_drawCount = 0;
};
