#pragma once

#include <cstdint>
#include <span>

namespace bilberryyard {

/// Hashes bytes with xxHash64.
/// @param bytes The input.
/// @param seed Distinguishes independent uses.
/// @return The hash, the same on every host for the same input and seed.
uint64_t hashBytes(std::span<uint8_t const> bytes, uint64_t seed);

/// Mixes two 64-bit values into one; used for rendezvous hashing.
/// @param first The first value.
/// @param second The second value.
/// @return The hash.
uint64_t hashPair(uint64_t first, uint64_t second);

} // namespace bilberryyard
