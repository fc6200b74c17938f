#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace bilberryyard {

/// A bounded queue from several producer threads to one consumer thread. When it is full, new items are refused, so a
/// slow consumer never blocks a producer.
template <typename Item>
class bounded_mailbox {
public:
    /// @param capacity Maximum number of queued items.
    explicit bounded_mailbox(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @return Whether the item was queued; false when the mailbox is full.
    bool push(Item item)
    {
        std::lock_guard const lock(m_mutex);
        if (m_items.size() >= m_capacity)
            return false;
        m_items.push_back(std::move(item));
        m_size.store(m_items.size(), std::memory_order_release);
        return true;
    }

    /// Called by the consumer only. Does not lock while the mailbox is empty.
    /// @return The oldest item, or nothing when the mailbox is empty.
    std::optional<Item> pop()
    {
        if (m_size.load(std::memory_order_acquire) == 0)
            return std::nullopt;
        std::lock_guard const lock(m_mutex);
        auto item = std::move(m_items.front());
        m_items.pop_front();
        m_size.store(m_items.size(), std::memory_order_release);
        return item;
    }

private:
    size_t m_capacity;
    std::mutex m_mutex;
    std::deque<Item> m_items;
    std::atomic<size_t> m_size { 0 };
};

} // namespace bilberryyard
