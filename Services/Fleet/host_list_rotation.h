#pragma once

#include <Fleet/fleet_message.h>
#include <cstddef>

namespace bilberryyard {

/// Selects by round robin the one hello message of each round that requests the receiver's host list. Requesting it
/// from every peer would transfer the same list many times; the traffic would grow with the square of the number of
/// hosts.
class host_list_rotation {
public:
    /// @param peers Number of hello messages in this round.
    void beginRound(size_t peers)
    {
        m_requestedIndex = peers > 0 ? (m_requestedIndex + 1) % peers : 0;
        m_nextIndex = 0;
    }

    /// @return Whether the next hello message of this round requests the host list.
    host_list next() { return m_nextIndex++ == m_requestedIndex ? host_list::Requested : host_list::NotRequested; }

private:
    size_t m_requestedIndex = 0;
    size_t m_nextIndex = 0;
};

} // namespace bilberryyard
