#pragma once

#include <Base/monotonic_time.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

namespace bilberryyard {

/// Limits the bytes sent in any window of 10 s, over which control traffic is averaged (docs/design.md section 1).
/// A token bucket would allow a full burst plus the refill in one window.
class byte_budget {
public:
    static constexpr duration window = std::chrono::seconds { 10 };

    /// @param bytesPerSecond Largest average rate over the window.
    explicit byte_budget(uint32_t bytesPerSecond);

    /// @return Number of bytes that may be sent now.
    uint64_t available(monotonic_time now) const;

    /// Records sent bytes, also when they exceed the budget.
    void charge(uint64_t bytes, monotonic_time now);

    /// @return Largest number of bytes in one window.
    uint64_t capacity() const { return m_capacity; }

private:
    uint64_t m_capacity;
    std::deque<std::pair<monotonic_time, uint64_t>> m_sent;
};

} // namespace bilberryyard
