#include "directory_fetch.h"

#include <algorithm>

namespace bilberryyard {

directory_fetch::directory_fetch(directory_request request)
    : m_request(std::move(request))
{
}

directory_request const& directory_fetch::nextRequest(monotonic_time now)
{
    m_nextRequestAt = now + pageTimeout;
    ++m_requestsSincePage;
    return m_request;
}

void directory_fetch::mergePositions(std::vector<feed_position> const& positions)
{
    if (!m_hasPages) {
        m_positions = positions;
        return;
    }
    // Only a directory that all pages know in the same epoch has a position.
    std::erase_if(m_positions, [&](feed_position& known) {
        auto const other = std::find_if(positions.begin(), positions.end(), [&](auto const& position) {
            return position.announcer == known.announcer && position.epoch == known.epoch;
        });
        if (other == positions.end())
            return true;
        known.revision = std::min(known.revision, other->revision);
        return false;
    });
}

bool directory_fetch::accept(directory_page const& page)
{
    if (m_isComplete || page.scope != m_request.scope || page.cursor != m_request.cursor)
        return false;
    mergePositions(page.positions);
    m_hasPages = true;
    m_requestsSincePage = 0;
    m_request.cursor = page.next;
    m_isComplete = page.isLast;
    m_nextRequestAt = {};
    return true;
}

} // namespace bilberryyard
