#pragma once

#include <Routing/flow_entry.h>
#include <cstddef>
#include <vector>

namespace bilberryyard {

/// A small hash table of flow entries with linear probing, sorted by flow identifier. The home slot of an entry
/// increases with its hash, so the search for a missing flow ends at the first larger identifier. Grows by a quarter.
class flow_segment {
public:
    /// @return The entry of the flow, or null. Valid until the next insertion or removal.
    flow_entry* find(flow_id const& id)
    {
        auto const slot = slotFor(id);
        return slot < m_slots.size() && m_slots[slot].state != flow_state::Free && m_slots[slot].id() == id
            ? &m_slots[slot]
            : nullptr;
    }

    /// Adds the entry of a flow that is not in the segment yet.
    /// @return The stored entry. Valid until the next insertion or removal.
    flow_entry& insert(flow_entry const& entry);

    /// Removes the entry in a slot; the following entries may move into it.
    /// @param slot Index of a slot in use.
    void eraseSlot(size_t slot);

    /// Releases memory when fewer than a quarter of the slots are in use.
    void shrink();

    size_t size() const { return m_size; }
    size_t slotCount() const { return m_slots.size(); }
    flow_entry& at(size_t slot) { return m_slots[slot]; }
    flow_entry const& at(size_t slot) const { return m_slots[slot]; }
    size_t slotOf(flow_entry const& entry) const { return static_cast<size_t>(&entry - m_slots.data()); }

    /// @return Bytes allocated for slots.
    size_t memoryBytes() const { return m_slots.capacity() * sizeof(flow_entry); }

private:
    /// Slots after the last home slot, for entries that are displaced past it.
    static constexpr size_t overflowSlots = 4;

    size_t homeOf(uint64_t hash) const
    {
        return static_cast<size_t>(((hash >> 32) * static_cast<uint64_t>(m_homes)) >> 32);
    }
    size_t slotFor(flow_id const& id) const
    {
        auto slot = homeOf(id.hash);
        while (slot < m_slots.size() && m_slots[slot].state != flow_state::Free && m_slots[slot].id() < id)
            ++slot;
        return slot;
    }
    bool place(flow_entry const& entry);
    void rebuild(size_t homes);

    std::vector<flow_entry> m_slots;
    uint32_t m_homes = 0;
    uint32_t m_size = 0;
};

} // namespace bilberryyard
