#pragma once

#include <Fleet/fleet_message.h>
#include <cstddef>

namespace bilberryyard {

/// Which of the greetings of a round ask for a list of hosts: one of them, another each time. Lists from everybody
/// would grow with the square of the number of hosts, and say the same.
class host_list_rotation {
public:
    /// @param peers How many hosts are greeted in this round.
    void beginRound(size_t peers)
    {
        m_asked = peers > 0 ? (m_asked + 1) % peers : 0;
        m_next = 0;
    }

    /// @return What to ask the next host of this round for.
    host_list next() { return m_next++ == m_asked ? host_list::Wanted : host_list::Unwanted; }

private:
    size_t m_asked = 0;
    size_t m_next = 0;
};

} // namespace bilberryyard
