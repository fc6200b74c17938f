#pragma once

#include <Base/monotonic_time.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

namespace bilberryyard {

/// Limits bytes over any window of 10 s, the window over which control traffic is averaged
/// (docs/design.md section 1). A token bucket would allow a full burst plus the refill in one window.
class byte_budget {
public:
    static constexpr duration window = std::chrono::seconds { 10 };

    /// @param bytesPerSecond The average to keep.
    explicit byte_budget(uint32_t bytesPerSecond);

    /// @param now The time.
    /// @return Bytes that may be sent now.
    uint64_t available(monotonic_time now) const;

    /// Records bytes that were sent, even when they exceed the budget.
    /// @param bytes The number of bytes.
    /// @param now The time.
    void charge(uint64_t bytes, monotonic_time now);

    /// @return The bytes that a whole window may hold.
    uint64_t capacity() const { return m_capacity; }

private:
    uint64_t m_capacity;
    std::deque<std::pair<monotonic_time, uint64_t>> m_sent;
};

} // namespace bilberryyard
