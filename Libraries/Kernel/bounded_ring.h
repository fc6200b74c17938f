#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace bilberryyard {

/// A bounded ring that joins exactly one producer thread to one consumer thread.
/// When the ring is full the item is refused and counted, so a slow consumer never blocks a producer.
template <typename Item>
class bounded_ring {
public:
    /// @param capacity Largest number of items that are held.
    explicit bounded_ring(size_t capacity)
        : m_queue(capacity)
    {
    }

    /// Offers an item; called by the producer only.
    /// @param item The item.
    /// @return Whether it was taken.
    bool push(Item item)
    {
        if (m_queue.push(std::move(item)))
            return true;
        m_refused.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Takes the oldest item; called by the consumer only.
    /// @return The item, or nothing when the ring is empty.
    std::optional<Item> pop()
    {
        Item item;
        if (!m_queue.pop(item))
            return std::nullopt;
        return item;
    }

    /// @return How many items were refused because the ring was full.
    uint64_t refusedCount() const { return m_refused.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<Item> m_queue;
    std::atomic<uint64_t> m_refused { 0 };
};

} // namespace bilberryyard
