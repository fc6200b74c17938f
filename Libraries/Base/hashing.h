#pragma once

#include <cstdint>
#include <span>

namespace bilberryyard {

/// Hashes bytes with xxHash64.
/// @param seed Different seeds give independent hash functions.
/// @return The hash, the same on every host for the same input and seed.
uint64_t hashBytes(std::span<uint8_t const> bytes, uint64_t seed);

/// Hashes two values into one with xxHash64; used for rendezvous hashing and for pseudo-random choices.
uint64_t hashPair(uint64_t first, uint64_t second);

} // namespace bilberryyard
