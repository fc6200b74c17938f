#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace bilberryyard {

/// A bounded ring buffer from exactly one producer thread to one consumer thread. When it is full, new items are
/// refused and counted, so a slow consumer never blocks a producer.
template <typename Item>
class bounded_ring {
public:
    /// @param capacity Maximum number of queued items.
    explicit bounded_ring(size_t capacity)
        : m_queue(capacity)
    {
    }

    /// Called by the producer only.
    /// @return Whether the item was queued; false when the ring is full.
    bool push(Item item)
    {
        if (m_queue.push(std::move(item)))
            return true;
        m_refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Called by the consumer only.
    /// @return The oldest item, or nothing when the ring is empty.
    std::optional<Item> pop()
    {
        Item item;
        if (!m_queue.pop(item))
            return std::nullopt;
        return item;
    }

    /// @return Number of items that were refused because the ring was full.
    uint64_t refusedCount() const { return m_refused.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<Item> m_queue;
    std::atomic<uint64_t> m_refused { 0 };
};

} // namespace bilberryyard
